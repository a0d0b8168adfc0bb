use std::sync::Arc;
use std::time::Duration;

use crate::config::{CustomerConfig, KindConfig};
use crate::id::{CustomerId, GrantId, KindId, LinkId, ServiceName};
use crate::message::{HandOver, HeaderField};
use crate::outcome::{BodyDigest, IdempotencyKey};
use crate::time::ClockTime;

/// A caller's request with its customer and kind resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    pub(super) customer: CustomerId,
    pub(super) kind: KindId,
    pub(super) service: ServiceName,
    pub(super) idempotent: bool,
    pub(super) queue_timeout: Duration,
    pub(super) timeout: Duration,
    pub(super) method: Arc<str>,
    pub(super) target: Arc<str>,
    pub(super) headers: Vec<HeaderField>,
    pub(super) body: Vec<u8>,
    pub(super) key: Option<IdempotencyKey>,
}

impl CallerRequest {
    /// Creates a builder for a request of `customer` and `kind`.
    ///
    /// The defaults are `POST`, the path of the kind, its timeouts, and an empty body.
    #[must_use]
    pub fn builder(customer: &CustomerConfig, kind: &KindConfig) -> RequestBuilder {
        RequestBuilder {
            request: Self {
                customer: customer.id,
                kind: kind.id,
                service: kind.service.clone(),
                idempotent: kind.idempotent,
                queue_timeout: kind.queue_timeout,
                timeout: kind.timeout,
                method: Arc::from("POST"),
                target: Arc::clone(&kind.path),
                headers: Vec::new(),
                body: Vec::new(),
                key: None,
            },
        }
    }

    pub(super) fn digest(&self) -> BodyDigest {
        BodyDigest::of_request(&self.method, &self.target, &self.body)
    }
}

/// Builder of a [`CallerRequest`].
#[derive(Debug, Clone)]
pub struct RequestBuilder {
    request: CallerRequest,
}

impl RequestBuilder {
    /// Sets the HTTP method.
    #[must_use]
    pub fn method(mut self, method: &str) -> Self {
        self.request.method = Arc::from(method);
        self
    }

    /// Sets the HTTP request target.
    #[must_use]
    pub fn target(mut self, target: &str) -> Self {
        self.request.target = Arc::from(target);
        self
    }

    /// Sets the header fields passed to the endpoint.
    #[must_use]
    pub fn headers(mut self, headers: Vec<HeaderField>) -> Self {
        self.request.headers = headers;
        self
    }

    /// Sets the request body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.request.body = body;
        self
    }

    /// Sets the idempotency key; ignored for idempotent kinds.
    #[must_use]
    pub fn key(mut self, key: Option<IdempotencyKey>) -> Self {
        self.request.key = key.filter(|_| !self.request.idempotent);
        self
    }

    /// Limits both the time to the response and the time in the queue; never extends them.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.request.timeout = self.request.timeout.min(timeout);
        self.request.queue_timeout = self.request.queue_timeout.min(timeout);
        self
    }

    /// Builds the request.
    #[must_use]
    pub fn build(self) -> CallerRequest {
        self.request
    }
}

/// A request in a router, from its arrival to its last event.
#[derive(Debug, Clone)]
pub(super) struct HeldRequest {
    pub(super) call: CallerRequest,
    pub(super) arrived: ClockTime,
    pub(super) phase: RequestPhase,
    /// Number of response body bytes passed to the caller, absent before the response's head.
    pub(super) forwarded_bytes: Option<u64>,
    pub(super) is_caller_gone: bool,
    /// Whether an earlier attempt was handed over and may have run.
    pub(super) may_have_run: bool,
}

/// Stage of a request between its arrival and its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// Waits for a grant from any sidecar of its service.
    Waiting,
    /// Needs a claim for its key, which is sent to the key's home at `claim_at`.
    Unclaimed { claim_at: ClockTime },
    /// Waits for the reply of the key's home to its claim.
    Claiming { link: LinkId, sent_at: ClockTime },
    /// Waits for a grant from the key's home, which holds the claim.
    Claimed { link: LinkId },
    /// Is at a sidecar, with the time of its cancellation if it was cancelled.
    HandedOver {
        link: LinkId,
        grant: GrantId,
        cancelled: Option<ClockTime>,
    },
}

impl HeldRequest {
    pub(super) fn queue_deadline(&self) -> ClockTime {
        self.arrived + self.call.queue_timeout
    }

    pub(super) fn deadline(&self) -> ClockTime {
        self.arrived + self.call.timeout
    }

    /// Returns whether the request may be handed over on `link` now.
    pub(super) fn can_run_on(&self, link: LinkId) -> bool {
        match self.phase {
            RequestPhase::Waiting => true,
            RequestPhase::Claimed { link: home_link } => home_link == link,
            _ => false,
        }
    }

    /// Returns the link whose loss affects the request.
    pub(super) const fn link(&self) -> Option<LinkId> {
        match self.phase {
            RequestPhase::Claiming { link, .. }
            | RequestPhase::Claimed { link }
            | RequestPhase::HandedOver { link, .. } => Some(link),
            RequestPhase::Waiting | RequestPhase::Unclaimed { .. } => None,
        }
    }

    pub(super) fn hand_over(&self, grant: GrantId, id: u64, left: u32, now: ClockTime) -> HandOver {
        HandOver {
            grant: grant.get(),
            left,
            request: id,
            method: self.call.method.to_string(),
            target: self.call.target.to_string(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            remaining_ms: self.deadline().since(now).as_millis() as u64,
            key: self
                .call
                .key
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            customer: self.call.customer.get(),
            kind: self.call.kind.get(),
        }
    }
}
