use super::SidecarMachine;
use crate::fair::GrantScheduler;
use crate::id::{HostName, Incarnation, ServiceName};
use crate::member::ViewLease;
use crate::outcome::OutcomeLedger;
use crate::retry::EndpointBackoff;
use crate::time::WallTime;

/// Collects the settings of a [`SidecarMachine`].
#[derive(Debug, Clone)]
pub struct SidecarBuilder {
    pub(super) host: HostName,
    pub(super) service: ServiceName,
    pub(super) incarnation: Incarnation,
    pub(super) started: WallTime,
}

impl SidecarBuilder {
    pub(super) const fn new(host: HostName, service: ServiceName) -> Self {
        Self {
            host,
            service,
            incarnation: Incarnation::new(0),
            started: WallTime::from_unix_millis(0),
        }
    }

    /// Sets the incarnation of this process, which also serves as its fencing number.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets when this process started; requests with keys minted earlier are not run.
    #[must_use]
    pub const fn started(mut self, started: WallTime) -> Self {
        self.started = started;
        self
    }

    /// Builds the machine, which makes no grants until it has a configuration.
    #[must_use]
    pub fn build(self) -> SidecarMachine {
        let scheduler = GrantScheduler::builder()
            .incarnation(self.incarnation)
            .build();
        let ledger = OutcomeLedger::builder(self.started).build();
        let lease = ViewLease::new(self.host.clone());
        SidecarMachine::assemble(self, scheduler, ledger, lease, EndpointBackoff::new())
    }
}
