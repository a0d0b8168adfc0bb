use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::gateway::{
    AttemptEnd, CustomerShare, GatewayAction, GatewayMachine, HostAdmission, RefusalDetail,
    RefusalReason, StopWindow,
};
use cicadalock_core::id::{CustomerId, EndpointId, RequestId};
use cicadalock_core::message::DeskMessage;
use cicadalock_core::serving::{ServingConfig, StoreFreshness};
use cicadalock_core::time::ClockTime;
use serde_json::{Value, json};
use tokio::sync::{Notify, oneshot};

use super::answer_buffer::AnswerBuffers;
use super::caller_limits::CallerTimeLimits;
use super::connection_pool::ConnectionPool;
use super::desk_links::DeskLinks;
use super::gateway_metrics::GatewayMetrics;
use super::gateway_settings::GatewaySettings;
use super::store_follower::StoreUpdate;
use super::suspension::SuspensionGuard;
use crate::clock::ProcessClock;
use crate::events::EventLog;

/// Interval between two readings of the runtime's timer lag; three late ones in a row indicate an
/// overload.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a timer above which the process counts as suspended while the timer ran.
const LATE_TIMER: Duration = Duration::from_millis(50);

/// Time to read what arrived while the process was suspended.
pub(super) const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// Decision of the machine on a waiting request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum StartVerdict {
    /// The request is to be sent to an endpoint.
    Start(EndpointAssignment),
    /// The request is refused; this attempt did not run.
    Refuse {
        reason: RefusalReason,
        retry_after: Duration,
        detail: RefusalDetail,
    },
}

/// Endpoint that a request is to be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EndpointAssignment {
    pub(super) request: RequestId,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) started_at: ClockTime,
    pub(super) waited: Duration,
    pub(super) expected: Duration,
}

/// State shared by all tasks of the gateway's runtime.
#[derive(Debug)]
pub(super) struct GatewayShared {
    pub(super) settings: RefCell<GatewaySettings>,
    pub(super) clock: ProcessClock,
    pub(super) log: EventLog,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) machine: RefCell<GatewayMachine>,
    pub(super) config: RefCell<Option<Arc<ServingConfig>>>,
    pub(super) caller_limits: CallerTimeLimits,
    pub(super) freshness: Cell<StoreFreshness>,
    pub(super) pool: ConnectionPool,
    pub(super) answer_buffers: AnswerBuffers,
    pub(super) desks: DeskLinks,
    /// Set once the process was asked to stop.
    pub(super) stop_window: Cell<Option<StopWindow>>,
    /// Whether a configuration is awaited that other routers have in force.
    is_waiting_for_config: Cell<bool>,
    /// Whether the number of callers' connections is close to its limit.
    pub(super) is_near_connection_limit: Cell<bool>,
    host: RefCell<HostAdmission>,
    suspension: Cell<SuspensionGuard>,
    /// Notified after each read of the store.
    store_read: Notify,
    waiters: RefCell<SortedMap<RequestId, oneshot::Sender<StartVerdict>>>,
    /// When [`Self::run_timer`] runs the machine next.
    timer_due: Cell<Option<ClockTime>>,
    /// Notifies [`Self::run_timer`] that the machine has to run earlier.
    wake: Notify,
    next_request: Cell<u64>,
}

impl GatewayShared {
    pub(super) fn new(settings: GatewaySettings, log: EventLog, clock: ProcessClock) -> Rc<Self> {
        let mut machine = GatewayMachine::new(settings.zone.clone(), settings.bounds);
        machine.set_reporter(rand::random());
        Rc::new(Self {
            settings: RefCell::new(settings),
            clock,
            log,
            metrics: Arc::new(GatewayMetrics::new()),
            machine: RefCell::new(machine),
            config: RefCell::new(None),
            caller_limits: CallerTimeLimits::default(),
            freshness: Cell::new(StoreFreshness::default()),
            pool: ConnectionPool::default(),
            answer_buffers: AnswerBuffers::default(),
            desks: DeskLinks::default(),
            stop_window: Cell::new(None),
            is_waiting_for_config: Cell::new(false),
            is_near_connection_limit: Cell::new(false),
            host: RefCell::new(HostAdmission::default()),
            suspension: Cell::new(SuspensionGuard::new(clock.now())),
            store_read: Notify::new(),
            waiters: RefCell::new(SortedMap::new()),
            timer_due: Cell::new(None),
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

    /// Returns the time since the platform's store last confirmed that all changes are known;
    /// `None` before the first successful read.
    pub(super) fn store_data_age(&self) -> Option<Duration> {
        self.freshness.get().age(self.now())
    }

    /// Returns whether the token data is recent enough to authenticate callers.
    pub(super) fn is_token_data_fresh(&self) -> bool {
        let limit = self.settings.borrow().times.max_token_data_age();
        self.freshness.get().is_within(limit, self.now())
    }

    /// Returns whether the tokens are those of the newest configuration that other routers have in
    /// force, as far as this one has heard since its start.
    pub(super) fn is_token_data_current(&self) -> bool {
        self.machine.borrow().is_config_current(self.now())
    }

    /// Returns whether the load balancer may route callers to this process.
    pub(super) fn is_ready(&self) -> bool {
        !self.should_shed_connections()
            && self.config.borrow().is_some()
            && self.is_token_data_fresh()
            && self.is_token_data_current()
    }

    /// Returns whether callers should open their next connection to another host: while the process
    /// stops, is close to its connection limit, or is overloaded or was until shortly before.
    pub(super) fn should_shed_connections(&self) -> bool {
        let is_recovering = self.host.borrow().is_recovering(self.now());
        self.is_stopping() || self.is_near_connection_limit.get() || is_recovering
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop_window.get().is_some()
    }

    /// Returns whether a request that no endpoint has got yet may be passed on; `objective` is `None` for
    /// streams.
    pub(super) fn may_pass_on(&self, objective: Option<Duration>) -> bool {
        let window = self.stop_window.get();
        window.is_none_or(|window| window.takes(objective, self.now()))
    }

    /// Counts a request of a customer, and returns whether the host can keep up with it.
    pub(super) fn admits(&self, customer: CustomerId) -> bool {
        self.host.borrow_mut().admits(customer, self.now())
    }

    /// Measures the runtime's timer lag until dropped.
    pub(super) async fn watch_lag(&self) {
        loop {
            let due = self.now() + LAG_INTERVAL;
            self.machine.borrow_mut().expect_timer(due);
            tokio::time::sleep(LAG_INTERVAL).await;
            self.check_suspension();
            let now = self.now();
            let lag = now.since(due);
            let (was_behind, is_behind, admitted) = {
                let mut host = self.host.borrow_mut();
                let was_behind = host.is_limited();
                host.record(lag, now);
                (was_behind, host.is_limited(), host.fraction())
            };
            self.machine.borrow_mut().record_lag(lag, now);
            self.metrics.lag.observe(lag.as_secs_f64());
            if is_behind != was_behind {
                let event = if was_behind {
                    "host-caught-up"
                } else {
                    "host-behind"
                };
                self.log.write(
                    event,
                    json!({"lag_ms": lag.as_millis() as u64, "admitted": admitted}),
                );
            }
        }
    }

    /// Waits for a read of the store if the process was suspended since the last one.
    ///
    /// While it was suspended, endpoints may have left.
    pub(super) async fn wait_for_current_copy(&self) {
        self.check_suspension();
        loop {
            let mut suspension = self.suspension.get();
            let hold = suspension.hold_until(self.freshness.get(), self.now());
            self.suspension.set(suspension);
            let Some(until) = hold else {
                return;
            };
            let limit = until.since(self.now()).max(Duration::from_millis(1));
            // After the timeout, nothing is held back any more.
            let _ = tokio::time::timeout(limit, self.store_read.notified()).await;
        }
    }

    /// Waits for `span`, as a limit on the silence of an endpoint.
    ///
    /// While the process is suspended, the endpoint is not silent: what it sent is read first.
    pub(super) async fn wait_for_silence(&self, span: Duration) {
        let due = tokio::time::Instant::now() + span;
        tokio::time::sleep_until(due).await;
        if due.elapsed() > LATE_TIMER {
            tokio::time::sleep(CATCH_UP_TIME).await;
        }
    }

    fn check_suspension(&self) {
        let mut suspension = self.suspension.get();
        let pause = suspension.tick(self.now());
        self.suspension.set(suspension);
        if let Some(pause) = pause {
            self.log
                .write("resumed", json!({"after_ms": pause.as_millis() as u64}));
        }
    }

    /// Registers a waiter for the machine's decision on a request.
    pub(super) fn register_waiter(&self, id: RequestId) -> oneshot::Receiver<StartVerdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        receiver
    }

    pub(super) fn remove_waiter(&self, id: RequestId) {
        self.waiters.borrow_mut().remove(&id);
    }

    /// Runs the machine's pending actions, and tells [`Self::run_timer`] if it is due earlier now.
    pub(super) fn drive(self: &Rc<Self>) {
        loop {
            let actions = self.machine.borrow_mut().take_actions(self.now());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.run_action(action);
            }
        }
        let due = self.machine.borrow().next_wake();
        let is_earlier = match (due, self.timer_due.get()) {
            (Some(due), Some(planned)) => due < planned,
            (due, None) => due.is_some(),
            (None, Some(_)) => false,
        };
        if is_earlier {
            self.timer_due.set(due);
            self.wake.notify_one();
        }
    }

    /// Runs the machine whenever one of its deadlines passes, until dropped.
    pub(super) async fn run_timer(self: &Rc<Self>) {
        loop {
            let due = self.machine.borrow().next_wake();
            self.timer_due.set(due);
            match due {
                Some(due) => {
                    let pause = due.since(self.now()).max(Duration::from_millis(1));
                    tokio::select! {
                        () = tokio::time::sleep(pause) => self.drive(),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    /// Handles a message of the desk of an endpoint; `None`, a message of unknown type, is ignored.
    pub(super) fn receive_desk_message(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        message: Option<DeskMessage>,
    ) {
        if let Some(message) = message {
            let now = self.now();
            self.machine
                .borrow_mut()
                .receive_desk_message(endpoint, message, now);
            self.report_config_wait();
            self.drive();
        }
    }

    /// Logs that the store shows an older configuration since the start than the one that other routers
    /// have in force, and when that has ended.
    fn report_config_wait(&self) {
        let machine = self.machine.borrow();
        let newest = machine.newest_config_heard();
        let is_waiting = newest.is_some() && !machine.is_config_current(self.now());
        if self.is_waiting_for_config.replace(is_waiting) == is_waiting {
            return;
        }
        let event = if is_waiting {
            "start-config-older"
        } else {
            "start-config-current"
        };
        let config = self.config.borrow();
        let version = config.as_ref().map(|config| config.version());
        self.log
            .write(event, json!({"version": version, "newest": newest}));
    }

    /// Applies what a read of the store changed to the configuration, the endpoints and the desks.
    pub(super) fn apply_store_update(self: &Rc<Self>, update: StoreUpdate) {
        let is_config_new = update.config.is_some();
        if update.restored.is_some() {
            self.machine.borrow_mut().recheck_config(self.now());
        }
        if let Some(config) = update.config {
            let bound = self.settings.borrow().times.config;
            self.caller_limits.set(config.limits(), bound);
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
            self.machine
                .borrow_mut()
                .set_endpoints(&list, config, self.now());
            let addresses = list.iter().map(|(id, listed)| (id.clone(), listed.address));
            self.pool.sweep(self.now(), addresses.collect());
            let port = self.settings.borrow().desk_port;
            let engines = list.iter().filter(|(_, listed)| {
                let traits = config.service(&listed.service);
                traits.is_some_and(|traits| traits.engine_slots.is_some())
            });
            let desks = engines
                .map(|(id, listed)| (id.clone(), SocketAddr::new(listed.address.ip(), port)));
            let desks: SortedMap<EndpointId, SocketAddr> = desks.collect();
            if is_config_new {
                let now = self.now();
                let mut machine = self.machine.borrow_mut();
                machine.set_config_version(config.version(), desks.len(), now);
            }
            self.desks.set_targets(self, &desks);
            self.report_config_wait();
        }
        self.drive();
        self.store_read.notify_waiters();
    }

    /// Logs what customers asked for, got and were refused since the last report, in tokens.
    fn report_shares(&self, shares: &[(CustomerId, CustomerShare)]) {
        let lines = shares.iter().map(|(customer, share)| {
            let [host, router, arrival, line] = share.refused;
            let id = customer.get();
            json!([id, share.asked, share.started, host, router, arrival, line])
        });
        let lines: Vec<Value> = lines.collect();
        self.log.write(
            "customer-shares",
            json!({
                "fields": ["customer", "asked", "started", "refused_host", "refused_router",
                    "refused_arrival", "refused_line"],
                "customers": lines,
            }),
        );
    }

    fn run_action(self: &Rc<Self>, action: GatewayAction) {
        let (id, verdict) = match action {
            GatewayAction::SendToDesk { endpoint, message } => {
                if !self.desks.send(&endpoint, message) {
                    let now = self.now();
                    self.machine.borrow_mut().desk_down(&endpoint, now);
                }
                return;
            }
            GatewayAction::CheckEndpoint { endpoint, address } => {
                self.check_endpoint(endpoint, address);
                return;
            }
            GatewayAction::ReportSuspect(change) => {
                self.report_suspect(&change);
                return;
            }
            GatewayAction::ReportInvalid(count) => {
                self.log
                    .write("evidence-invalid", json!({"entries": count}));
                return;
            }
            GatewayAction::ReportShares(shares) => {
                self.report_shares(&shares);
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
                let assignment = EndpointAssignment {
                    request,
                    endpoint,
                    address,
                    started_at: self.now(),
                    waited,
                    expected,
                };
                (request, StartVerdict::Start(assignment))
            }
            GatewayAction::Refuse {
                request,
                reason,
                retry_after,
                detail,
            } => {
                let verdict = StartVerdict::Refuse {
                    reason,
                    retry_after,
                    detail,
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
