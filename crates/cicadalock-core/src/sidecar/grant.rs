use crate::id::{CustomerId, KindId, LinkId};
use crate::message::HandOver;
use crate::outcome::IdempotencyKey;
use crate::time::ClockTime;

/// State of a grant, from its offer to the end of its call.
#[derive(Debug, Clone)]
pub(super) struct OpenGrant {
    pub(super) link: LinkId,
    pub(super) customer: CustomerId,
    pub(super) kind: KindId,
    /// Cost charged so far, in cost units.
    pub(super) charged: i64,
    /// Cost charged when the grant was offered, in cost units.
    pub(super) estimate: i64,
    pub(super) phase: GrantPhase,
}

/// Phase of an open grant.
#[derive(Debug, Clone)]
pub(super) enum GrantPhase {
    /// Offered to a router, whose request has not arrived.
    Offered { at: ClockTime },
    /// The request has arrived and waits for a free slot.
    Staged {
        request: Box<HandOver>,
        offered: ClockTime,
        received: ClockTime,
        deadline: ClockTime,
    },
    /// The endpoint is being called with the request.
    Running {
        since: ClockTime,
        key: Option<IdempotencyKey>,
        is_abortable: bool,
    },
}

impl OpenGrant {
    /// Returns the idempotency key of a running request, if it has one.
    pub(super) const fn key(&self) -> Option<&IdempotencyKey> {
        match &self.phase {
            GrantPhase::Running { key, .. } => key.as_ref(),
            _ => None,
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.phase, GrantPhase::Running { .. })
    }
}
