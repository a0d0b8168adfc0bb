use std::time::Duration;

use super::customer_meter::CustomerMeter;
use super::customer_usage::CustomerUsage;
use super::endpoint_desk::{DeskAsk, DeskRefusal, DeskState, EndpointDesk, RunKey};
use super::endpoint_gate::GateLimits;
use super::limit_broker::LimitBroker;
use super::rate_limiter::fleet_rate;
use super::request_rate::RequestRate;
use super::wait_forecast::WaitForecast;
use crate::collect::SortedMap;
use crate::id::{CustomerId, LinkId, RequestId};
use crate::message::{
    DemandFrame, DeskAskFrame, DeskHello, DeskMessage, DeskNotice, DeskRefusalFrame,
    DeskStateFrame, DeskSums, DeskTotals, EvidenceFrame, LimitFrame, UsageFrame,
};
use crate::place::PrefillRate;
use crate::quarantine::EvidenceBoard;
use crate::time::{ClockTime, PastTime};

/// Interval at which overdue requests are refused and silent routers are disconnected.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Intervals at which the desk checks whether to send its state: to routers with requests here, and
/// to all others.
///
/// Every router receives the state at least once per second.
const STATE_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Error of a router's wait forecast that is tolerated: a thirtieth of the usual objective.
const FORECAST_TOLERANCE: Duration = Duration::from_millis(25);

/// Change of the prefill rate that is tolerated, as a fraction of the rate last sent.
const RATE_TOLERANCE: f64 = 0.1;

/// Interval at which the usage of the customer served most is computed again, for logs of refusals.
const BEST_USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a router is disconnected and its requests are dropped.
///
/// A live router sends a message every second.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time for which the configuration of a router that has disconnected is remembered.
///
/// Longer than routers take to start again; shorter than a configuration would be missed that the store
/// has lost for good.
const CONFIG_MEMORY: Duration = Duration::from_secs(60);

/// Time after its first router within which all routers connect to a desk that has started.
///
/// Routers try again after three seconds at most.
const ROUTER_RETURN_TIME: Duration = Duration::from_millis(3_500);

/// Action that the owner of a [`DeskMachine`] has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskAction {
    /// Send a message to a router.
    Send(LinkId, DeskMessage),
    /// End the connection of a silent router.
    Close(LinkId),
}

/// State machine of one model endpoint's desk, to which every router connects.
#[derive(Debug)]
pub struct DeskMachine {
    desk: EndpointDesk,
    meter: CustomerMeter,
    /// What routers reported of crashes, passed on to all of them.
    board: EvidenceBoard,
    /// The limit that the endpoint named, and when it was named or found to have ended.
    limit: (Option<RequestRate>, Option<PastTime>),
    broker: LimitBroker,
    /// Newest configuration of the routers that have disconnected, and when that was.
    departed_config: Option<(u64, ClockTime)>,
    /// When the first router connected.
    first_router_at: Option<ClockTime>,
    routers: SortedMap<LinkId, RouterState>,
    actions: Vec<DeskAction>,
    last_sweep: ClockTime,
    invalid_evidence: usize,
    /// Usage of the customer served most, and when it was computed.
    best_usage: (CustomerUsage, ClockTime),
}

/// The newest configurations that routers have in force, or had until shortly before.
#[derive(Debug, Clone, Copy)]
struct NewestConfigs {
    /// The newest version of a connected router, and that router.
    newest: (Option<LinkId>, Option<u64>),
    /// The newest version of all others.
    next: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct RouterState {
    last_heard: ClockTime,
    last_sent: ClockTime,
    /// Last check whether to send the state.
    last_check: ClockTime,
    /// Requests of this router that are waiting or running.
    requests: u32,
    /// The router's own estimate of the wait.
    forecast: WaitForecast,
    rate: PrefillRate,
    limit_sent: Option<RequestRate>,
    /// Version of the configuration that the router has in force.
    config_version: Option<u64>,
    /// The newest version of other routers that was sent to it.
    config_sent: Option<u64>,
}

impl DeskMachine {
    /// Creates a desk that takes its endpoint's limits from the hello of each router.
    #[must_use]
    pub fn new() -> Self {
        Self {
            desk: EndpointDesk::new(GateLimits::engine(1, 0)),
            meter: CustomerMeter::default(),
            board: EvidenceBoard::default(),
            limit: (None, None),
            broker: LimitBroker::default(),
            departed_config: None,
            first_router_at: None,
            routers: SortedMap::new(),
            actions: Vec::new(),
            last_sweep: ClockTime::default(),
            invalid_evidence: 0,
            best_usage: (CustomerUsage::default(), ClockTime::default()),
        }
    }

    /// Handles a message from a router.
    ///
    /// Messages before the router's hello are ignored.
    pub fn receive(&mut self, link: LinkId, message: DeskMessage, now: ClockTime) {
        if let DeskMessage::Hello(hello) = &message {
            self.register_router(link, hello, now);
            return;
        }
        let Some(router) = self.routers.get_mut(&link) else {
            return;
        };
        router.last_heard = now;
        match message {
            DeskMessage::Ask(frame) => self.handle_ask(link, &frame, now),
            DeskMessage::Withdraw(notice) => {
                let key = key(link, notice);
                // The grant may have been sent before the withdrawal arrived.
                if !self.desk.withdraw(key) {
                    self.end_run(key, now);
                }
                self.forget_request(link);
            }
            DeskMessage::FirstEvent(notice) => self.desk.first_event(key(link, notice), now),
            DeskMessage::End(notice) => {
                self.end_run(key(link, notice), now);
                self.forget_request(link);
            }
            DeskMessage::Totals(totals) => self.handle_totals(link, &totals, now),
            DeskMessage::Evidence(frame) => self.pass_on_evidence(link, frame, now),
            DeskMessage::Limit(frame) => self.set_limit(frame, now),
            DeskMessage::Demand(frame) => self.share_out(link, &frame, now),
            DeskMessage::Config(notice) => router.config_version = Some(notice.version),
            _ => {}
        }
    }

    /// Handles the loss of a router's connection: drops its requests and usage.
    pub fn link_down(&mut self, link: LinkId, now: ClockTime) {
        let router = self.routers.remove(&link);
        if let Some(version) = router.and_then(|router| router.config_version) {
            let remembered = self.remembered_config(now);
            if remembered.is_none_or(|remembered| version >= remembered) {
                self.departed_config = Some((version, now));
            }
        }
        self.meter.drop_link(link);
        self.broker.drop_link(link);
        self.desk.drop_link(link);
    }

    /// Returns when [`take_actions`](Self::take_actions) is next due; `None` without routers.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        if self.desk.waiting() > 0 {
            return Some(self.last_sweep + SWEEP_INTERVAL);
        }
        let due = self
            .routers
            .values()
            .map(|router| router.last_check + router.interval());
        due.min()
    }

    /// Refuses overdue requests, admits waiting ones and returns the actions to perform.
    pub fn take_actions(&mut self, now: ClockTime) -> Vec<DeskAction> {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            for refusal in self.desk.refuse_overdue(now) {
                self.refuse(refusal, now);
            }
            self.close_silent_links(now);
            self.board.expire(now);
        }
        for (link, request) in self.desk.admit(&mut self.meter, now) {
            let request = request.get();
            let grant = DeskMessage::Grant(DeskNotice { request });
            self.actions.push(DeskAction::Send(link, grant));
        }
        self.send_states(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of entries of evidence so far that were not valid.
    #[must_use]
    pub const fn invalid_evidence(&self) -> usize {
        self.invalid_evidence
    }

    /// Returns the admission controller of the endpoint.
    #[must_use]
    pub const fn desk(&self) -> &EndpointDesk {
        &self.desk
    }

    fn register_router(&mut self, link: LinkId, hello: &DeskHello, now: ClockTime) {
        self.first_router_at.get_or_insert(now);
        let mut limits = GateLimits::engine(hello.slots, hello.memory);
        limits.pause = Duration::from_millis(u64::from(hello.pause_ms));
        self.desk.gate_mut().set_limits(limits);
        let mut requests = 0;
        for run in &hello.runs {
            if let Some(frame) = &run.ask {
                let key = (link, RequestId::new(frame.request));
                self.desk
                    .adopt(key, &desk_ask(frame, now), run.is_read, now);
                requests += 1;
            }
        }
        self.routers.insert(
            link,
            RouterState {
                last_heard: now,
                last_sent: ClockTime::default(),
                last_check: ClockTime::default(),
                requests,
                forecast: WaitForecast::default(),
                rate: PrefillRate::default(),
                limit_sent: None,
                config_version: hello.config_version,
                config_sent: None,
            },
        );
        for frame in self.board.to_frames(now) {
            self.actions
                .push(DeskAction::Send(link, DeskMessage::Evidence(frame)));
        }
    }

    fn handle_ask(&mut self, link: LinkId, frame: &DeskAskFrame, now: ClockTime) {
        let customer = CustomerId::new(frame.customer);
        self.meter
            .set(customer, link, f64::from(frame.received), now);
        if let Some(router) = self.routers.get_mut(&link) {
            router.requests += 1;
            let prefill = router.rate.time(f64::from(frame.units));
            let spacing = self.desk.gate().limit_spacing();
            router.forecast.add(prefill.max(spacing), now);
        }
        let key = (link, RequestId::new(frame.request));
        if let Err(refusal) = self.desk.ask(key, desk_ask(frame, now), &self.meter, now) {
            self.refuse(refusal, now);
        }
    }

    /// Ends a run, and gives back what was charged for it if it ended before its first event.
    fn end_run(&mut self, key: RunKey, now: ClockTime) {
        if let Some(charge) = self.desk.end(key) {
            let cost = (charge.cost as f64, charge.charged_at);
            self.meter.refund(charge.customer, key.0, cost, now);
        }
    }

    /// Stores the customers' usage through a router; replies with the sums over all routers if it
    /// wants them.
    fn handle_totals(&mut self, link: LinkId, totals: &DeskTotals, now: ClockTime) {
        for total in &totals.lines {
            let customer = CustomerId::new(total.customer);
            self.meter
                .set(customer, link, f64::from(total.received), now);
        }
        if totals.wants_sums {
            let lines = self.meter.totals(None, now);
            let sums = DeskMessage::Sums(DeskSums { lines });
            self.actions.push(DeskAction::Send(link, sums));
        }
    }

    /// Sends what is new in a router's evidence to all other routers.
    fn pass_on_evidence(&mut self, link: LinkId, frame: EvidenceFrame, now: ClockTime) {
        let (news, invalid) = self.board.merge(frame, now);
        self.invalid_evidence += invalid;
        if news.is_empty() {
            return;
        }
        for other in self.routers.keys().filter(|other| **other != link) {
            let message = DeskMessage::Evidence(news.clone());
            self.actions.push(DeskAction::Send(*other, message));
        }
    }

    /// Applies a limit that the endpoint named, unless something newer is known.
    fn set_limit(&mut self, frame: LimitFrame, now: ClockTime) {
        let limit = frame.limit.map(RequestRate::per_second);
        let named_at = PastTime::from_age(now, Duration::from_millis(frame.age_ms.into()));
        if Some(named_at) < self.limit.1 {
            return;
        }
        self.limit = (limit, Some(named_at));
        let rate = limit.map(fleet_rate);
        self.desk.gate_mut().set_rate_limit(rate, now);
    }

    /// Shares out the limit of an endpoint without a desk.
    fn share_out(&mut self, link: LinkId, frame: &DemandFrame, now: ClockTime) {
        let routers: Vec<LinkId> = self.routers.keys().copied().collect();
        for (router, share) in self.broker.report(link, frame, &routers, now) {
            self.actions
                .push(DeskAction::Send(router, DeskMessage::Share(share)));
        }
    }

    fn refuse(&mut self, refusal: DeskRefusal, now: ClockTime) {
        let (link, request) = refusal.key;
        self.forget_request(link);
        if now.since(self.best_usage.1) >= BEST_USAGE_INTERVAL {
            self.best_usage = (self.meter.best_usage(now), now);
        }
        let (best, best_at) = self.best_usage;
        let own = self.meter.usage(refusal.customer, now);
        let best_age = best.age + now.since(best_at);
        let frame = DeskRefusalFrame {
            request: request.get(),
            come_back_ms: refusal.retry_after.as_millis() as u32,
            is_limited: refusal.is_limited,
            is_overdue: refusal.is_overdue,
            own: Some(usage_frame(own.received, own.age)),
            best: Some(usage_frame(best.received, best_age)),
        };
        self.actions
            .push(DeskAction::Send(link, DeskMessage::Refuse(frame)));
    }

    fn forget_request(&mut self, link: LinkId) {
        if let Some(router) = self.routers.get_mut(&link) {
            router.requests = router.requests.saturating_sub(1);
        }
    }

    fn send_states(&mut self, now: ClockTime) {
        let limit = self.limit.0;
        let newest = self.newest_configs(now);
        let is_due = |link: LinkId, router: &RouterState| {
            let has_news = router.limit_sent != limit || router.config_sent < newest.without(link);
            has_news || router.is_check_due(now)
        };
        let is_any_due = self
            .routers
            .iter()
            .any(|(link, router)| is_due(*link, router));
        if !is_any_due {
            return;
        }
        let knows_routers = self
            .first_router_at
            .is_some_and(|first| now.since(first) >= ROUTER_RETURN_TIME);
        let state = self.desk.state(now);
        let frame = DeskStateFrame {
            wait_ms: state.wait.as_millis() as u32,
            rate: state.rate.tokens_per_milli() as f32,
            running: state.running,
            limit: limit.map(RequestRate::get),
            routers: self.routers.len() as u32,
            newest_config: None,
            knows_routers,
        };
        for (link, router) in self.routers.iter_mut() {
            if !is_due(*link, router) {
                continue;
            }
            router.last_check = now;
            let newest_config = newest.without(*link);
            let must_send = router.limit_sent != limit
                || router.config_sent < newest_config
                || now.since(router.last_sent) >= STATE_INTERVALS.1
                || router.is_forecast_off(&state, now)
                // A router disconnects a desk that owes it an answer and stays silent.
                || self.desk.has_waiting(*link);
            if must_send {
                router.last_sent = now;
                router.limit_sent = limit;
                router.config_sent = newest_config;
                let frame = DeskStateFrame {
                    newest_config,
                    ..frame
                };
                router.forecast.reset(state.wait, now);
                router.rate = state.rate;
                self.actions
                    .push(DeskAction::Send(*link, DeskMessage::State(frame)));
            }
        }
    }

    /// Returns the newest configuration of routers that had it until shortly before.
    fn remembered_config(&self, now: ClockTime) -> Option<u64> {
        let departed = self.departed_config;
        let departed = departed.filter(|(_, at)| now.since(*at) < CONFIG_MEMORY);
        departed.map(|(version, _)| version)
    }

    fn newest_configs(&self, now: ClockTime) -> NewestConfigs {
        let mut newest = NewestConfigs {
            newest: (None, None),
            next: self.remembered_config(now),
        };
        for (link, router) in self.routers.iter() {
            let version = router.config_version;
            if version > newest.newest.1 {
                newest.next = newest.next.max(newest.newest.1);
                newest.newest = (Some(*link), version);
            } else {
                newest.next = newest.next.max(version);
            }
        }
        newest
    }

    fn close_silent_links(&mut self, now: ClockTime) {
        let silent = self
            .routers
            .iter()
            .filter(|(_, router)| now.since(router.last_heard) > ROUTER_TIMEOUT);
        let silent: Vec<LinkId> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            self.link_down(link, now);
            self.actions.push(DeskAction::Close(link));
        }
    }
}

impl Default for DeskMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl NewestConfigs {
    /// Returns the newest version that others than `link` have.
    fn without(&self, link: LinkId) -> Option<u64> {
        let (holder, newest) = self.newest;
        if holder == Some(link) {
            return self.next;
        }
        newest.max(self.next)
    }
}

impl RouterState {
    /// Returns whether the router's wait forecast or prefill rate deviates beyond the tolerance.
    fn is_forecast_off(&self, state: &DeskState, now: ClockTime) -> bool {
        let sent_rate = self.rate.tokens_per_milli();
        let change = (state.rate.tokens_per_milli() - sent_rate).abs();
        self.forecast.at(now).abs_diff(state.wait) > FORECAST_TOLERANCE
            || change > sent_rate * RATE_TOLERANCE
    }

    fn is_check_due(&self, now: ClockTime) -> bool {
        now.since(self.last_check) >= self.interval()
    }

    const fn interval(&self) -> Duration {
        if self.requests > 0 {
            STATE_INTERVALS.0
        } else {
            STATE_INTERVALS.1
        }
    }
}

fn usage_frame(received: f64, age: Duration) -> UsageFrame {
    UsageFrame {
        received: received as f32,
        age_ms: age.as_millis() as u32,
    }
}

const fn key(link: LinkId, notice: DeskNotice) -> RunKey {
    (link, RequestId::new(notice.request))
}

fn desk_ask(frame: &DeskAskFrame, now: ClockTime) -> DeskAsk {
    let after = |millis: u32| now + Duration::from_millis(u64::from(millis));
    DeskAsk::new(CustomerId::new(frame.customer), after(frame.until_ms))
        .work(f64::from(frame.units), frame.memory, frame.cost)
        .latest(after(frame.latest_ms))
}
