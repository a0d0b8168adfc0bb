use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;

/// Least silence after which callers leave a stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which callers leave a stream, in objectives.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;

/// Silence after which callers leave a stream, in longest pauses.
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// Part of callers' patience after which a silent stream is given up; the rest is for the ways.
const SILENCE_FRACTION: f64 = 0.9;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answers with a stream of events.
    Streaming {
        /// Whether another endpoint may go on after the last event that was passed on.
        is_resumable: bool,
    },
}

/// One service that a route's requests may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests with a host and path prefix go, and within which bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that earns full credit.
    pub objective: Duration,
    /// Longest pause between events of a stream that is still on time.
    pub pause: Option<Duration>,
    /// Rank among routes; zero goes first.
    pub priority: u32,
    /// Services with their weights; never empty.
    pub targets: Vec<RouteTarget>,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no token.
    pub is_public: bool,
    /// Whether requests carry a prompt whose parts endpoints may have kept.
    pub has_prompt: bool,
}

/// Collects the parts of a [`RouteConfig`].
#[derive(Debug, Clone)]
pub struct RouteBuilder {
    route: RouteConfig,
}

/// One fault of a route, or of the configuration that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteFinding {
    /// Route or service at fault.
    pub place: Arc<str>,
    /// What is wrong.
    pub problem: String,
}

impl RouteConfig {
    /// Starts the construction of a route for `host` and paths that begin with `prefix`.
    #[must_use]
    pub fn builder(name: &str, host: &str, prefix: &str) -> RouteBuilder {
        RouteBuilder {
            route: Self {
                name: Arc::from(name),
                host: Arc::from(host.to_ascii_lowercase()),
                prefix: Arc::from(prefix),
                kind: RouteKind::NonIdempotent,
                timeout: Duration::ZERO,
                objective: Duration::ZERO,
                pause: None,
                priority: 0,
                targets: Vec::new(),
                max_attempts: 1,
                is_public: false,
                has_prompt: false,
            },
        }
    }

    /// Tells whether a request may run at a second endpoint although it may have run at the first.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming { is_resumable } => is_resumable,
        }
    }

    /// Tells whether answers are streams of events.
    #[must_use]
    pub const fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Streaming { .. })
    }

    /// Silence after which a stream is given up: just before its caller leaves.
    ///
    /// Callers leave a silent stream after the longest of two seconds, four objectives and eight
    /// pauses. One that is told before may come back; one that left is counted as lost.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        let patience = MIN_CALLER_TIMEOUT.max(self.objective * CALLER_TIMEOUT_OBJECTIVES);
        let pauses = self.pause.unwrap_or_default() * CALLER_TIMEOUT_PAUSES;
        patience.max(pauses).mul_f64(SILENCE_FRACTION)
    }

    /// Picks a target by weight; equal numbers pick the same one.
    #[must_use]
    pub fn target(&self, number: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut rest = number.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

impl RouteBuilder {
    /// Sets what may be repeated.
    #[must_use]
    pub const fn kind(mut self, kind: RouteKind) -> Self {
        self.route.kind = kind;
        self
    }

    /// Sets the longest time that a caller is kept waiting.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.route.timeout = timeout;
        self
    }

    /// Sets the time that earns full credit.
    #[must_use]
    pub const fn objective(mut self, objective: Duration) -> Self {
        self.route.objective = objective;
        self
    }

    /// Sets the longest pause between events.
    #[must_use]
    pub const fn pause(mut self, pause: Option<Duration>) -> Self {
        self.route.pause = pause;
        self
    }

    /// Sets the rank.
    #[must_use]
    pub const fn priority(mut self, priority: u32) -> Self {
        self.route.priority = priority;
        self
    }

    /// Adds a service with its weight.
    #[must_use]
    pub fn target(mut self, service: ServiceName, weight: u32) -> Self {
        self.route.targets.push(RouteTarget { service, weight });
        self
    }

    /// Sets to how many endpoints one request may be sent.
    #[must_use]
    pub const fn max_attempts(mut self, attempts: u32) -> Self {
        self.route.max_attempts = attempts;
        self
    }

    /// Sets whether callers need no token.
    #[must_use]
    pub const fn public(mut self, is_public: bool) -> Self {
        self.route.is_public = is_public;
        self
    }

    /// Sets whether requests carry a prompt.
    #[must_use]
    pub const fn prompt(mut self, has_prompt: bool) -> Self {
        self.route.has_prompt = has_prompt;
        self
    }

    /// Builds the route.
    ///
    /// # Errors
    ///
    /// Fails with every fault found.
    pub fn build(self) -> Result<RouteConfig, Vec<RouteFinding>> {
        let route = self.route;
        let mut problems = Vec::new();
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            problems.push(format!(
                "prefix `{}` does not begin and end with `/`",
                route.prefix
            ));
        }
        if route.host.is_empty() {
            problems.push("host is empty".to_owned());
        }
        if route.timeout.is_zero() {
            problems.push("timeout is zero".to_owned());
        }
        if route.max_attempts == 0 {
            problems.push("max_attempts is zero".to_owned());
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            problems.push("no service has a weight".to_owned());
        }
        if problems.is_empty() {
            return Ok(route);
        }
        let place = route.name;
        let finding = |problem| RouteFinding {
            place: Arc::clone(&place),
            problem,
        };
        Err(problems.into_iter().map(finding).collect())
    }
}

impl fmt::Display for RouteFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}`: {}", self.place, self.problem)
    }
}
