use std::time::Duration;

use super::action::{GatewayAction, RefusalDetail, RefusalReason};
use super::customer_tally::RefusalStage;
use super::machine::{
    GatewayMachine, GatewayPhase, OTHER_ROUTERS_LINK, OWN_LINK, TOTALS_INTERVAL, own_key,
};
use crate::desk::{CustomerUsage, DeskAsk, RequestRate, UsageComparison};
use crate::id::{CustomerId, EndpointId, RequestId};
use crate::message::{
    ConfigNotice, DeskAskFrame, DeskHello, DeskMessage, DeskRefusalFrame, DeskRun, DeskSums,
    DeskTotals, UsageFrame,
};
use crate::place::PrefillRate;
use crate::time::ClockTime;

/// Silence after which a desk that owes an answer is dropped.
///
/// A desk sends its state every 100 ms; three messages in a row are not lost by chance.
const DESK_SILENCE_LIMIT: Duration = Duration::from_millis(350);

/// Number of desks that are asked for sums in each exchange.
const SUM_DESKS: usize = 2;

/// Number of endpoints at their limit that a request passes over before it is refused.
const MAX_PASSED_OVER: usize = 3;

/// Lag of this router above which it restarts the silence timers of desks.
///
/// Less than a third of [`DESK_SILENCE_LIMIT`], and longer than a CPU quota stops a process at a
/// time.
const MAX_SWEEP_LAG: Duration = Duration::from_millis(110);

impl GatewayMachine {
    /// Returns the first message to an endpoint's desk, or none if the endpoint is not listed.
    ///
    /// It holds the endpoint's limits and the requests that this router runs there.
    #[must_use]
    pub fn desk_hello(
        &self,
        endpoint: &EndpointId,
        host: &str,
        now: ClockTime,
    ) -> Option<DeskHello> {
        let limits = self.endpoints.get(endpoint)?.desk.gate().limits();
        let runs = self.requests.iter().filter_map(|(id, request)| {
            if !matches!(request.phase, GatewayPhase::Running { .. }) {
                return None;
            }
            let is_there = request.plan.endpoint == *endpoint;
            is_there.then(|| DeskRun {
                ask: Some(self.ask_frame(*id, &request.ask, now)),
                is_read: request.phase.is_read(),
            })
        });
        Some(DeskHello {
            host: host.to_owned(),
            slots: limits.slots,
            memory: limits.memory.unwrap_or_default(),
            pause_ms: limits.pause.as_millis() as u32,
            runs: runs.collect(),
            config_version: self.config_version,
        })
    }

    /// Processes a message of an endpoint's desk.
    ///
    /// From its first state message on, the desk decides on admission.
    pub fn receive_desk_message(
        &mut self,
        endpoint: &EndpointId,
        message: DeskMessage,
        now: ClockTime,
    ) {
        self.expire_missing(now);
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match message {
            DeskMessage::State(frame) => {
                let is_new = state.remote.is_none();
                let remote = state.remote.get_or_insert_default();
                remote.last_message = now;
                let wait = Duration::from_millis(u64::from(frame.wait_ms));
                remote.forecast.reset(wait, now);
                remote.rate = PrefillRate::from_tokens_per_milli(f64::from(frame.rate));
                remote.routers = frame.routers;
                let spacing = frame
                    .limit
                    .map(|rate| RequestRate::per_second(rate).time_of(1.0));
                remote.spacing = spacing.unwrap_or_default();
                state.desk.set_rate(remote.rate);
                self.last_router_count = frame.routers;
                let is_answer = frame.newest_config.is_some() || frame.knows_routers;
                let newest = frame.newest_config;
                self.config_check.hear(endpoint, newest, is_answer, now);
                let known = state.limit;
                if is_new {
                    self.send_board(endpoint, now);
                    // A desk that has just started knows of no limit.
                    self.report_limit(endpoint, now);
                }
                if !is_new || known.is_none() {
                    let rate = frame.limit.map(RequestRate::per_second);
                    self.receive_limit(endpoint, rate, now);
                }
            }
            DeskMessage::Grant(notice) => {
                let id = RequestId::new(notice.request);
                let is_asked = self.requests.get(&id).is_some_and(|request| {
                    request.phase == GatewayPhase::Asked && request.plan.endpoint == *endpoint
                });
                if is_asked {
                    self.start(id, now);
                }
            }
            DeskMessage::Refuse(frame) => {
                let id = RequestId::new(frame.request);
                let asked = self.requests.get(&id);
                if asked.is_some_and(|request| request.phase == GatewayPhase::Asked) {
                    self.handle_refusal(id, &frame, now);
                }
            }
            DeskMessage::Sums(sums) => self.apply_sums(&sums, now),
            DeskMessage::Evidence(frame) => self.receive_evidence(frame, now),
            DeskMessage::Share(frame) => self.receive_share(&frame, now),
            _ => {}
        }
    }

    /// Refuses a request that the desk of its endpoint refused, or asks another one if only the limit of
    /// that endpoint was the reason.
    fn handle_refusal(&mut self, id: RequestId, frame: &DeskRefusalFrame, now: ClockTime) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let call = &mut request.call;
        if frame.is_limited && call.passed_over.len() < MAX_PASSED_OVER {
            call.passed_over.push(request.plan.endpoint);
            if self.plan(call, now).is_some() {
                self.enqueue(id, request.call, now);
                return;
            }
        }
        let usage = UsageComparison {
            own: usage_of(frame.own),
            best: usage_of(frame.best),
        };
        let detail = RefusalDetail {
            customer: request.call.customer,
            stage: RefusalStage::at_desk(frame.is_overdue),
            usage: Some(usage),
        };
        let advice = Duration::from_millis(u64::from(frame.come_back_ms));
        let (cost, reason) = (request.call.cost(), RefusalReason::NoRoomInTime);
        self.refuse(id, cost, reason, advice, detail);
    }

    /// Derives what customers received through other routers from the sums over all routers.
    fn apply_sums(&mut self, sums: &DeskSums, now: ClockTime) {
        for sum in &sums.lines {
            let customer = CustomerId::new(sum.customer);
            let through_own = self.meter.received_through(customer, OWN_LINK, now);
            let others = (f64::from(sum.received) - through_own).max(0.0);
            self.meter.set(customer, OTHER_ROUTERS_LINK, others, now);
        }
    }

    /// Sends every desk what customers received here, and asks some for the sums over all routers.
    ///
    /// Each exchange asks other desks, so that a frozen one does no harm.
    pub(super) fn exchange_totals(&mut self, now: ClockTime) {
        if now.since(self.last_exchange) < TOTALS_INTERVAL {
            return;
        }
        let has_period = self.last_exchange > ClockTime::default();
        self.last_exchange = now;
        let shares = self.tally.take();
        if has_period && !shares.is_empty() {
            self.actions.push(GatewayAction::ReportShares(shares));
        }
        self.send_evidence(now);
        self.report_demands(now);
        let desks = self.connected_desks();
        let lines = self.meter.totals(Some(OWN_LINK), now);
        let first = self.sums_requested;
        self.sums_requested = self.sums_requested.wrapping_add(SUM_DESKS);
        for (index, endpoint) in desks.iter().enumerate() {
            let turn = (index + first) % desks.len();
            let totals = DeskTotals {
                lines: lines.clone(),
                wants_sums: turn < SUM_DESKS,
            };
            self.send_to_desk(endpoint, DeskMessage::Totals(totals));
        }
    }

    pub(super) fn connected_desks(&self) -> Vec<EndpointId> {
        let states = self.endpoints.iter();
        let desks = states.filter(|(_, state)| state.remote.is_some());
        desks.map(|(id, _)| id.clone()).collect()
    }

    /// Records that an endpoint's desk no longer answers; this router's local desk takes over.
    pub fn desk_down(&mut self, endpoint: &EndpointId, now: ClockTime) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.remote = None;
        self.apply_limit(endpoint, now);
        let asked = self.requests.iter().filter(|(_, request)| {
            request.phase == GatewayPhase::Asked && request.plan.endpoint == *endpoint
        });
        let asked: Vec<RequestId> = asked.map(|(id, _)| *id).collect();
        for id in asked {
            if let Some(request) = self.requests.remove(&id) {
                self.enqueue(id, request.call, now);
            }
        }
    }

    /// Records that the configuration `version` is in force while `desks` endpoints have a desk, and tells
    /// the connected ones.
    pub fn set_config_version(&mut self, version: u64, desks: usize, now: ClockTime) {
        self.config_version = Some(version);
        self.config_check.record_config(version, desks, now);
        for endpoint in self.connected_desks() {
            let notice = DeskMessage::Config(ConfigNotice { version });
            self.send_to_desk(&endpoint, notice);
        }
    }

    /// Compares the configuration in force with that of other routers again, as the store came back from
    /// an older copy.
    pub const fn recheck_config(&mut self, now: ClockTime) {
        self.config_check.restart(now);
    }

    /// Returns whether the configuration in force is as new as the one that other routers have, as far
    /// as desks have told since the start or the store's last return from an older copy.
    #[must_use]
    pub fn is_config_current(&self, now: ClockTime) -> bool {
        self.config_check.is_passed(now)
    }

    /// Returns the newest configuration that desks have heard of from other routers.
    #[must_use]
    pub const fn newest_config_heard(&self) -> Option<u64> {
        self.config_check.newest_heard()
    }

    /// Returns whether the endpoint's own desk decides on admission.
    #[must_use]
    pub fn has_desk(&self, endpoint: &EndpointId) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| state.remote.is_some())
    }

    /// Drops desks that owe an answer and have been silent for too long.
    pub(super) fn drop_silent_desks(&mut self, now: ClockTime) {
        if self
            .timer_due
            .is_some_and(|due| now.since(due) > MAX_SWEEP_LAG)
        {
            self.lagged_at = now;
        }
        let silence = |since: ClockTime| now.since(since.max(self.lagged_at));
        let mut silent: Vec<EndpointId> = Vec::new();
        for request in self.requests.values() {
            let is_owed =
                request.phase == GatewayPhase::Asked && silence(request.since) > DESK_SILENCE_LIMIT;
            let state = self.endpoints.get(&request.plan.endpoint);
            let remote = state.and_then(|state| state.remote);
            let is_silent =
                remote.is_none_or(|remote| silence(remote.last_message) > DESK_SILENCE_LIMIT);
            if is_owed && is_silent && !silent.contains(&request.plan.endpoint) {
                silent.push(request.plan.endpoint.clone());
            }
        }
        for endpoint in silent {
            // A process that ended would have reset its connection. A silent one is frozen or cut
            // off together with its host, and so is the endpoint on that host.
            if let Some(state) = self.endpoints.get_mut(&endpoint) {
                state.health.mark_suspect(now);
            }
            self.desk_down(&endpoint, now);
            self.actions.push(GatewayAction::CloseDesk(endpoint));
        }
    }

    /// Records that this router runs `lag` behind its events.
    ///
    /// Messages of desks may still be unread, so a desk's silence counts only from now on.
    pub fn record_lag(&mut self, lag: Duration, now: ClockTime) {
        if lag > MAX_SWEEP_LAG {
            self.lagged_at = now;
        }
    }

    /// Sets when the timer is due from which this router measures how late it runs.
    ///
    /// While it is overdue, messages of desks may be unread, whatever else this router gets done.
    pub const fn expect_timer(&mut self, due: ClockTime) {
        self.timer_due = Some(due);
    }

    /// Starts a request that the endpoint's own desk granted.
    fn start(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let ask = request.ask;
        if let Some(state) = self.endpoints.get_mut(&request.plan.endpoint) {
            state.desk.adopt(own_key(id), &ask, false, now);
        }
        self.meter
            .charge(ask.customer, OWN_LINK, ask.cost as f64, now);
        self.start_at(id, now);
    }

    pub(super) fn send_to_desk(&mut self, endpoint: &EndpointId, message: DeskMessage) {
        if self.has_desk(endpoint) {
            let endpoint = endpoint.clone();
            self.actions
                .push(GatewayAction::SendToDesk { endpoint, message });
        }
    }

    pub(super) fn ask_frame(&self, id: RequestId, ask: &DeskAsk, now: ClockTime) -> DeskAskFrame {
        DeskAskFrame {
            request: id.get(),
            customer: ask.customer.get(),
            units: ask.units as f32,
            memory: ask.memory,
            cost: ask.cost,
            latest_ms: ask.latest.since(now).as_millis() as u32,
            until_ms: ask.until.since(now).as_millis() as u32,
            received: self.meter.received_through(ask.customer, OWN_LINK, now) as f32,
        }
    }
}

fn usage_of(frame: Option<UsageFrame>) -> CustomerUsage {
    let frame = frame.unwrap_or_default();
    CustomerUsage {
        received: f64::from(frame.received),
        age: Duration::from_millis(u64::from(frame.age_ms)),
    }
}
