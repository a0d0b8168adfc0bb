use std::time::Duration;

use crate::id::{CustomerId, EndpointId, RequestDigest, RequestId, ServiceName};
use crate::quarantine::Suspect;
use crate::serving::PromptShape;
use crate::time::ClockTime;

/// Properties of a request that decide where and when it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayCall {
    /// Service whose endpoints can run the request.
    pub service: ServiceName,
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Size and shared parts of the prompt; none for requests without a prompt.
    pub prompt: Option<PromptShape>,
    /// Arrival time at the router.
    pub arrived: ClockTime,
    /// Longest time from arrival to the answer, or to its first event, that counts as on time.
    pub objective: Duration,
    /// Longest pause between events that counts as on time; none if the route sets no limit.
    pub pause: Option<Duration>,
    /// Time after which the caller has no use for an answer.
    pub deadline: ClockTime,
    /// Whether the request may be retried after an attempt that may have run.
    pub may_retry: bool,
    /// Largest number of endpoints to which the request may be sent.
    pub max_attempts: u32,
    /// What an endpoint may crash on: the shared parts of the prompt, and the request itself.
    pub suspects: Vec<Suspect>,
    /// Whether the request tries what is refused otherwise.
    pub is_trial: bool,
    /// Endpoints that had no room for the request within their limit.
    pub passed_over: Vec<EndpointId>,
    /// Endpoints of other attempts, including those that were not reached.
    pub tried: Vec<EndpointId>,
    /// Number of other attempts that were sent to their endpoint, or may yet be.
    pub sent: u32,
    /// The silent attempt beside which this one is made; none for all other attempts.
    pub standby_for: Option<RequestId>,
}

/// Builder of a [`GatewayCall`].
#[derive(Debug, Clone)]
pub struct CallBuilder {
    call: GatewayCall,
}

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer arrived completely.
    Complete,
    /// The answer ended with its connection and looks whole, as it also would if the endpoint had
    /// crashed.
    CompleteUnframed,
    /// The caller disconnected or its deadline passed.
    Abandoned,
    /// The endpoint was not reached; the request did not run.
    NotReached,
    /// The endpoint stopped taking requests before this one was sent.
    EndpointLeft,
    /// The endpoint reported that it is full; the request did not run.
    Full,
    /// Another incarnation answered at the address; the request did not run.
    Misdirected,
    /// The endpoint answered with a failure; the request counts as run.
    Failed,
    /// The answer broke off or never came; the request may have run.
    Broken,
}

impl GatewayCall {
    /// Returns a builder of a call that arrived at `arrived`.
    ///
    /// By default the call has no prompt, an objective of 1 s, no deadline and a single attempt.
    #[must_use]
    pub const fn builder(
        service: ServiceName,
        customer: CustomerId,
        arrived: ClockTime,
    ) -> CallBuilder {
        CallBuilder {
            call: Self {
                service,
                customer,
                prompt: None,
                suspects: Vec::new(),
                arrived,
                objective: Duration::from_secs(1),
                pause: None,
                deadline: ClockTime::MAX,
                may_retry: false,
                max_attempts: 1,
                is_trial: false,
                passed_over: Vec::new(),
                tried: Vec::new(),
                sent: 0,
                standby_for: None,
            },
        }
    }

    /// Returns the charge to the customer, in cost units; 1 without a prompt.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.prompt.as_ref().map_or(1, PromptShape::cost)
    }
}

impl CallBuilder {
    /// Sets the prompt; `None` for requests without one.
    #[must_use]
    pub fn prompt(mut self, prompt: Option<PromptShape>) -> Self {
        let shared = prompt.iter().flat_map(PromptShape::shared);
        self.call
            .suspects
            .splice(0..0, shared.map(|part| part.id.into()));
        self.call.prompt = prompt;
        self
    }

    /// Sets the digest by which the request is known if its caller sends it again; `None` if it is not.
    #[must_use]
    pub fn digest(mut self, digest: Option<RequestDigest>) -> Self {
        self.call.suspects.extend(digest.map(Suspect::from));
        self
    }

    /// Sets the longest time to the first event and the longest pause that count as on time.
    #[must_use]
    pub const fn objective(mut self, objective: Duration, pause: Option<Duration>) -> Self {
        self.call.objective = objective;
        self.call.pause = pause;
        self
    }

    /// Sets the time after which the caller has no use for an answer.
    #[must_use]
    pub const fn deadline(mut self, deadline: ClockTime) -> Self {
        self.call.deadline = deadline;
        self
    }

    /// Sets whether the request may be retried after an attempt that may have run, and the largest
    /// number of endpoints to try.
    #[must_use]
    pub const fn attempts(mut self, may_retry: bool, max_attempts: u32) -> Self {
        self.call.may_retry = may_retry;
        self.call.max_attempts = max_attempts;
        self
    }

    /// Returns the finished call.
    #[must_use]
    pub fn build(self) -> GatewayCall {
        self.call
    }
}

impl AttemptEnd {
    /// Returns whether the request was sent, in whole or in part.
    #[must_use]
    pub const fn is_sent(self) -> bool {
        !matches!(self, Self::NotReached | Self::EndpointLeft)
    }

    /// Returns whether the endpoint answered the request, be it with a failure.
    #[must_use]
    pub const fn has_answered(self) -> bool {
        matches!(self, Self::Complete | Self::CompleteUnframed | Self::Failed)
    }

    /// Returns whether the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !self.is_sent() || matches!(self, Self::Full | Self::Misdirected)
    }

    /// Returns a stable short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CompleteUnframed => "complete-unframed",
            Self::Abandoned => "abandoned",
            Self::NotReached => "not-reached",
            Self::EndpointLeft => "endpoint-left",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Broken => "broken",
        }
    }
}
