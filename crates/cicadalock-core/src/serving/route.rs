use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;

/// Shortest silence of a stream after which callers disconnect.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence of a stream after which callers disconnect, in objectives of the route.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;

/// Silence of a stream after which callers disconnect, in longest pauses of the route.
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// Time before its caller disconnects at which a silent stream is ended.
///
/// Covers the transit times and the router's own delay.
const CALLER_MARGIN: Duration = Duration::from_millis(200);

/// Fraction of the callers' timeout after which another endpoint is tried beside a silent one.
const STANDBY_FRACTION: f64 = 0.45;

/// Response type of a route, and whether its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// A request runs at most once per attempt of the caller.
    NonIdempotent,
    /// Responses are streams of events.
    Streaming {
        /// Whether another endpoint can resume the stream after the last forwarded event.
        is_resumable: bool,
    },
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Targets and limits of the requests with a given host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Response type, and whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency objective: time to the answer, or to the first event of a stream, within which a
    /// request counts in full.
    pub objective: Duration,
    /// Longest pause between events of a stream that is still on time.
    pub pause: Option<Duration>,
    /// Priority among routes; zero is the highest.
    pub priority: u32,
    /// Services with their weights; never empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Whether callers may omit a token.
    pub is_public: bool,
    /// Whether requests carry a prompt whose parts endpoints may have cached.
    pub has_prompt: bool,
}

/// Builder for a [`RouteConfig`].
#[derive(Debug, Clone)]
pub struct RouteBuilder {
    route: RouteConfig,
}

/// A configuration error with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteFinding {
    /// Name of the route, service or customer with the error.
    pub place: Arc<str>,
    /// Description of the error.
    pub problem: String,
}

impl RouteConfig {
    /// Creates a builder for a route that matches `host` and paths that start with `prefix`.
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

    /// Returns whether a request may be retried at another endpoint although the first may have run
    /// it.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming { is_resumable } => is_resumable,
        }
    }

    /// Returns whether responses are streams of events.
    #[must_use]
    pub const fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Streaming { .. })
    }

    /// Returns the silence after which a stream is ended, just before its caller disconnects.
    ///
    /// A caller that receives an error first may retry; one that disconnects counts as lost.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.caller_timeout() - CALLER_MARGIN
    }

    /// Returns the silence of a stream after which another endpoint is tried as well.
    #[must_use]
    pub fn standby_delay(&self) -> Duration {
        self.caller_timeout().mul_f64(STANDBY_FRACTION)
    }

    /// Returns the silence of a stream after which callers disconnect: the longest of two seconds,
    /// four objectives and eight longest pauses.
    fn caller_timeout(&self) -> Duration {
        let objectives = self.objective * CALLER_TIMEOUT_OBJECTIVES;
        let pauses = self.pause.unwrap_or_default() * CALLER_TIMEOUT_PAUSES;
        MIN_CALLER_TIMEOUT.max(objectives).max(pauses)
    }

    /// Selects a target by weight: `number` modulo the sum of weights, so equal numbers select the
    /// same target.
    ///
    /// Returns `None` if all weights are zero.
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
    /// Sets the response type, and whether requests may be retried.
    #[must_use]
    pub const fn kind(mut self, kind: RouteKind) -> Self {
        self.route.kind = kind;
        self
    }

    /// Sets the maximum time that a caller waits for a response.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.route.timeout = timeout;
        self
    }

    /// Sets the latency objective.
    #[must_use]
    pub const fn objective(mut self, objective: Duration) -> Self {
        self.route.objective = objective;
        self
    }

    /// Sets the longest pause between events of a stream that is still on time.
    #[must_use]
    pub const fn pause(mut self, pause: Option<Duration>) -> Self {
        self.route.pause = pause;
        self
    }

    /// Sets the priority; zero is the highest.
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

    /// Sets the maximum number of endpoints to which one request is sent.
    #[must_use]
    pub const fn max_attempts(mut self, attempts: u32) -> Self {
        self.route.max_attempts = attempts;
        self
    }

    /// Sets whether callers may omit a token.
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
    /// Returns all findings if the route is invalid.
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
