use std::time::Duration;

use crate::id::{CustomerId, EndpointId, ServiceName};
use crate::serving::PromptShape;
use crate::time::ClockTime;

/// What a gateway must know of a request to place it.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayCall {
    /// Service that runs it.
    pub service: ServiceName,
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Its prompt, if it has one.
    pub prompt: Option<PromptShape>,
    /// When it came.
    pub arrived: ClockTime,
    /// Time to the answer or first event that earns full credit.
    pub objective: Duration,
    /// Longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// When its answer is of no more use.
    pub deadline: ClockTime,
    /// Whether it may run a second time.
    pub may_repeat: bool,
    /// Endpoints to which it may be sent.
    pub max_attempts: u32,
    /// Endpoints to which it was sent.
    pub tried: Vec<EndpointId>,
}

/// Collects the parts of a [`GatewayCall`].
#[derive(Debug, Clone)]
pub struct CallBuilder {
    call: GatewayCall,
}

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Complete,
    /// The caller left or its time ran out.
    Abandoned,
    /// The endpoint was not reached; the request did not run.
    NotReached,
    /// The endpoint said that it is full; the request did not run.
    Full,
    /// Another incarnation has the address; the request did not run.
    Misdirected,
    /// The endpoint failed the request, which counts as run.
    Failed,
    /// No whole answer came; the request may have run.
    Broken,
}

impl GatewayCall {
    /// Starts the construction of a call that came at `arrived`.
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
                arrived,
                objective: Duration::from_secs(1),
                pause: None,
                deadline: ClockTime::MAX,
                may_repeat: false,
                max_attempts: 1,
                tried: Vec::new(),
            },
        }
    }

    /// What the customer is charged, in cost units.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.prompt.as_ref().map_or(1, PromptShape::cost)
    }
}

impl CallBuilder {
    /// Sets the prompt.
    #[must_use]
    pub fn prompt(mut self, prompt: Option<PromptShape>) -> Self {
        self.call.prompt = prompt;
        self
    }

    /// Sets the times that earn full credit.
    #[must_use]
    pub const fn objective(mut self, objective: Duration, pause: Option<Duration>) -> Self {
        self.call.objective = objective;
        self.call.pause = pause;
        self
    }

    /// Sets when the answer is of no more use.
    #[must_use]
    pub const fn deadline(mut self, deadline: ClockTime) -> Self {
        self.call.deadline = deadline;
        self
    }

    /// Sets whether and at how many endpoints it may run.
    #[must_use]
    pub const fn attempts(mut self, may_repeat: bool, max_attempts: u32) -> Self {
        self.call.may_repeat = may_repeat;
        self.call.max_attempts = max_attempts;
        self
    }

    /// Builds the call.
    #[must_use]
    pub fn build(self) -> GatewayCall {
        self.call
    }
}

impl AttemptEnd {
    /// Tells whether the request certainly did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotReached | Self::Full | Self::Misdirected)
    }

    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Abandoned => "abandoned",
            Self::NotReached => "not-reached",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Broken => "broken",
        }
    }
}
