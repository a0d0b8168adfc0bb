use crate::id::{CustomerId, KindId, LinkId};
use crate::message::HandOver;
use crate::outcome::IdempotencyKey;
use crate::time::ClockTime;

/// A grant from its offer to the end of its run.
#[derive(Debug, Clone)]
pub(super) struct OpenGrant {
    pub(super) link: LinkId,
    pub(super) customer: CustomerId,
    pub(super) kind: KindId,
    /// Cost charged so far, in cost units.
    pub(super) charged: i64,
    /// Cost charged at the grant.
    pub(super) estimate: i64,
    pub(super) phase: GrantPhase,
}

/// Where a grant stands.
#[derive(Debug, Clone)]
pub(super) enum GrantPhase {
    /// Offered to a router.
    Offered { at: ClockTime },
    /// The request is here and waits for a free slot.
    Staged {
        request: Box<HandOver>,
        offered: ClockTime,
        received: ClockTime,
        deadline: ClockTime,
    },
    /// The endpoint has the request.
    Running {
        since: ClockTime,
        key: Option<IdempotencyKey>,
        is_abortable: bool,
    },
}

impl OpenGrant {
    /// Key of the request, if it is running under one.
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
