use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::gateway::{
    AttemptEnd, GatewayAction, GatewayMachine, LagMeter, RefusalReason,
};
use cicadalock_core::id::{EndpointId, RequestId};
use cicadalock_core::message::DeskMessage;
use cicadalock_core::serving::{ServingConfig, StoreFreshness};
use cicadalock_core::time::ClockTime;
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use super::connection_pool::ConnectionPool;
use super::desk_links::DeskLinks;
use super::gateway_metrics::GatewayMetrics;
use super::gateway_settings::GatewaySettings;
use super::store_follower::StoreUpdate;
use crate::clock::ProcessClock;
use crate::events::EventLog;

/// Pause between two readings of the runtime's delay; three make an overload.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// What the machine decided on a waiting request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum StartVerdict {
    /// Send it to an endpoint.
    Start(StartOrder),
    /// It did not run.
    Refuse {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StartOrder {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) waited: Duration,
    pub(super) expected: Duration,
}

/// What every task of a gateway's runtime shares.
#[derive(Debug)]
pub(super) struct GatewayShared {
    pub(super) settings: RefCell<GatewaySettings>,
    pub(super) clock: ProcessClock,
    pub(super) log: EventLog,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) machine: RefCell<GatewayMachine>,
    pub(super) config: RefCell<Option<Arc<ServingConfig>>>,
    pub(super) freshness: Cell<StoreFreshness>,
    pub(super) pool: ConnectionPool,
    pub(super) desks: DeskLinks,
    pub(super) is_stopping: Cell<bool>,
    /// Nearly every connection that callers may have is open.
    pub(super) is_near_connection_limit: Cell<bool>,
    lag: Cell<LagMeter>,
    waiters: RefCell<SortedMap<RequestId, oneshot::Sender<StartVerdict>>>,
    wake: Notify,
    next_request: Cell<u64>,
}

impl GatewayShared {
    pub(super) fn new(settings: GatewaySettings, log: EventLog, clock: ProcessClock) -> Rc<Self> {
        let machine = GatewayMachine::new(settings.zone.clone(), settings.bounds);
        Rc::new(Self {
            settings: RefCell::new(settings),
            clock,
            log,
            metrics: Arc::new(GatewayMetrics::new()),
            machine: RefCell::new(machine),
            config: RefCell::new(None),
            freshness: Cell::new(StoreFreshness::default()),
            pool: ConnectionPool::default(),
            desks: DeskLinks::default(),
            is_stopping: Cell::new(false),
            is_near_connection_limit: Cell::new(false),
            lag: Cell::new(LagMeter::default()),
            waiters: RefCell::new(SortedMap::new()),
            wake: Notify::new(),
            next_request: Cell::new(1),
        })
    }

    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    pub(super) fn next_id(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId::new(id)
    }

    /// Age of what is known of the platform; none before the first reading.
    pub(super) fn store_data_age(&self) -> Option<Duration> {
        self.freshness.get().age(self.now())
    }

    /// Tells whether tokens can be trusted now.
    pub(super) fn is_token_data_fresh(&self) -> bool {
        let limit = self.settings.borrow().times.token_limit();
        self.freshness.get().is_within(limit, self.now())
    }

    /// Tells whether callers may be sent here.
    pub(super) fn is_ready(&self) -> bool {
        !self.should_shed_connections()
            && self.config.borrow().is_some()
            && self.is_token_data_fresh()
    }

    /// Tells whether callers are to open their next connection to another host.
    pub(super) fn should_shed_connections(&self) -> bool {
        let is_recovering = self.lag.get().is_recovering(self.now());
        self.is_stopping.get() || self.is_near_connection_limit.get() || is_recovering
    }

    /// Tells whether this host runs so late that new requests are better served by others.
    pub(super) fn is_behind(&self) -> bool {
        self.lag.get().is_behind()
    }

    /// Measures how late the runtime is, until dropped.
    pub(super) async fn watch_lag(&self) {
        loop {
            let due = self.now() + LAG_INTERVAL;
            tokio::time::sleep(LAG_INTERVAL).await;
            let now = self.now();
            let lag = now.since(due);
            let was_behind = self.is_behind();
            let mut meter = self.lag.get();
            meter.record(lag, now);
            self.lag.set(meter);
            self.machine.borrow_mut().record_lag(lag, now);
            self.metrics.lag.observe(lag.as_secs_f64());
            if self.is_behind() != was_behind {
                let event = if was_behind {
                    "host-caught-up"
                } else {
                    "host-behind"
                };
                self.log
                    .write(event, json!({"lag_ms": lag.as_millis() as u64}));
            }
        }
    }

    /// Registers who waits for the machine's verdict on a request.
    pub(super) fn register_waiter(&self, id: RequestId) -> oneshot::Receiver<StartVerdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        receiver
    }

    /// Nobody waits for a verdict any more.
    pub(super) fn remove_waiter(&self, id: RequestId) {
        self.waiters.borrow_mut().remove(&id);
    }

    /// Carries out what the machine decided.
    pub(super) fn drive(&self) {
        loop {
            let actions = self.machine.borrow_mut().take_actions(self.now());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.run_action(action);
            }
        }
        self.wake.notify_one();
    }

    /// Lets the machine look at waiting requests when something is due, until dropped.
    pub(super) async fn run_timer(&self) {
        loop {
            let due = self.machine.borrow().next_wake();
            match due {
                Some(due) => {
                    let pause = due.since(self.now()).max(Duration::from_millis(1));
                    tokio::time::sleep(pause).await;
                    self.drive();
                }
                None => self.wake.notified().await,
            }
        }
    }

    /// Takes in a message of the desk beside an endpoint.
    pub(super) fn receive_desk_message(&self, endpoint: &EndpointId, message: Option<DeskMessage>) {
        if let Some(message) = message {
            let now = self.now();
            self.machine
                .borrow_mut()
                .receive_desk_message(endpoint, message, now);
            self.drive();
        }
    }

    /// Takes in what a read of the store changed.
    pub(super) fn apply_store_update(self: &Rc<Self>, update: StoreUpdate) {
        if let Some(config) = update.config {
            *self.config.borrow_mut() = Some(config);
        }
        if let Some(confirmed_at) = update.confirmed_at {
            let mut freshness = self.freshness.get();
            freshness.confirm(confirmed_at);
            self.freshness.set(freshness);
        }
        if let Some(list) = update.endpoints
            && let Some(config) = self.config.borrow().as_ref()
        {
            let mut machine = self.machine.borrow_mut();
            machine.set_endpoints(&list, config, self.now());
            drop(machine);
            self.pool
                .sweep(self.now(), |endpoint| list.contains_key(endpoint));
            let port = self.settings.borrow().desk_port;
            let engines = list.iter().filter(|(_, listed)| {
                let traits = config.service(&listed.service);
                traits.is_some_and(|traits| traits.engine_slots.is_some())
            });
            let desks = engines
                .map(|(id, listed)| (id.clone(), SocketAddr::new(listed.address.ip(), port)));
            self.desks.set_targets(self, &desks.collect());
        }
        self.drive();
    }

    fn run_action(&self, action: GatewayAction) {
        let (id, verdict) = match action {
            GatewayAction::SendToDesk { endpoint, message } => {
                if !self.desks.send(&endpoint, message) {
                    let now = self.now();
                    self.machine.borrow_mut().desk_down(&endpoint, now);
                }
                return;
            }
            GatewayAction::CloseDesk(endpoint) => {
                self.log
                    .write("desk-silent", json!({"endpoint": endpoint.as_str()}));
                self.desks.close(&endpoint);
                return;
            }
            GatewayAction::Start {
                request,
                endpoint,
                address,
                waited,
                expected,
            } => {
                let order = StartOrder {
                    endpoint,
                    address,
                    waited,
                    expected,
                };
                (request, StartVerdict::Start(order))
            }
            GatewayAction::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let verdict = StartVerdict::Refuse {
                    reason,
                    retry_after,
                };
                (request, verdict)
            }
        };
        let waiter = self.waiters.borrow_mut().remove(&id);
        let is_start = matches!(verdict, StartVerdict::Start(_));
        let is_delivered = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
        if !is_delivered && is_start {
            let mut machine = self.machine.borrow_mut();
            machine.end(id, AttemptEnd::Abandoned, self.clock.now());
        }
    }
}
