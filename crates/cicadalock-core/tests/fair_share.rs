//! Fair sharing over several sidecars, simulated in one process without a network.

mod support;

use std::time::Duration;

use cicadalock_core::fair::{GrantScheduler, PeerReport};
use cicadalock_core::id::{CustomerId, HostName, Incarnation, KindId, LinkId};
use cicadalock_core::time::ClockTime;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::seeded;
use yare::parameterized;

const KIND: KindId = KindId::new(1);
const URGENT: KindId = KindId::new(2);
const ROUTER: LinkId = LinkId::new(1);

/// Length of a simulation step in milliseconds; a running request costs one unit per step.
const STEP_MS: u64 = 10;

/// Parameters of a simulated fleet of sidecars.
#[derive(Debug, Clone)]
struct FleetPlan {
    sidecars: usize,
    slots: usize,
    shares: Vec<u32>,
    /// Maximum cost of a request, by customer.
    costs: Vec<u64>,
    exchange_ms: u64,
    /// Percentage of reports that are lost; the next one makes up for it, as every report is full.
    loss_percent: u32,
    extrapolates: bool,
    /// Percentage of the sidecars that receive bids of a customer.
    reach_percent: u32,
    seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            sidecars: 10,
            slots: 4,
            shares: vec![1; 15],
            costs: vec![50; 15],
            exchange_ms: 500,
            loss_percent: 0,
            extrapolates: true,
            reach_percent: 100,
            seed: 1,
        }
    }
}

struct Run {
    customer: usize,
    estimate: i64,
    charged: i64,
    cost: u64,
    done: u64,
}

struct Fleet {
    plan: FleetPlan,
    schedulers: Vec<GrantScheduler>,
    runs: Vec<Vec<Run>>,
    /// Whether a sidecar receives bids of a customer, by customer and sidecar.
    reach: Vec<Vec<bool>>,
    service: Vec<f64>,
    now: u64,
    rng: SmallRng,
    starts: u64,
    /// Time of the last start of a request, by customer.
    last_starts: Vec<u64>,
    longest_wait: Vec<u64>,
    is_split: bool,
    /// Number of slots left free although a request waited, summed over all steps.
    idle_slots: usize,
}

impl Fleet {
    fn new(plan: FleetPlan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let reach = (0..plan.shares.len())
            .map(|_| {
                let mut row: Vec<bool> = (0..plan.sidecars)
                    .map(|_| rng.random_range(0..100) < plan.reach_percent)
                    .collect();
                row[0] |= !row.contains(&true);
                row
            })
            .collect();
        let customers = plan.shares.len();
        let mut fleet = Self {
            schedulers: Vec::new(),
            runs: (0..plan.sidecars).map(|_| Vec::new()).collect(),
            reach,
            service: vec![0.0; customers],
            now: 1_000,
            rng,
            starts: 0,
            last_starts: vec![1_000; customers],
            longest_wait: vec![0; customers],
            is_split: false,
            idle_slots: 0,
            plan,
        };
        fleet.schedulers = (0..fleet.plan.sidecars)
            .map(|index| fleet.new_scheduler(index))
            .collect();
        fleet
    }

    fn new_scheduler(&mut self, index: usize) -> GrantScheduler {
        self.starts += 1;
        let incarnation = Incarnation::from_start(self.now + self.starts, index as u16);
        let mut builder = GrantScheduler::builder()
            .incarnation(incarnation)
            .extrapolate_peers(self.plan.extrapolates)
            .exchange_interval(Duration::from_millis(self.plan.exchange_ms))
            .kind(KIND, 1, 25);
        for (customer, share) in self.plan.shares.iter().enumerate() {
            builder = builder.customer(customer_id(customer), *share);
        }
        builder.build()
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn step(&mut self, backlogged: &[bool]) {
        for sidecar in 0..self.plan.sidecars {
            self.serve(sidecar, backlogged);
        }
        if self.now.is_multiple_of(self.plan.exchange_ms) {
            self.exchange();
        }
        self.now += STEP_MS;
    }

    fn serve(&mut self, sidecar: usize, backlogged: &[bool]) {
        let now = self.clock();
        for (customer, is_backlogged) in backlogged.iter().enumerate() {
            let count = if *is_backlogged && self.reach[customer][sidecar] {
                8
            } else {
                0
            };
            self.schedulers[sidecar].set_bid(ROUTER, customer_id(customer), KIND, count, now);
        }
        while self.runs[sidecar].len() < self.plan.slots {
            let Some(pick) = self.schedulers[sidecar].pick(now) else {
                break;
            };
            let customer = pick.customer.get() as usize - 1;
            self.record_start(customer);
            let cost = self.rng.random_range(1..=self.plan.costs[customer]);
            self.runs[sidecar].push(Run {
                customer,
                estimate: pick.estimate,
                charged: pick.estimate,
                cost,
                done: 0,
            });
        }
        if !self.schedulers[sidecar].bids().is_empty() {
            self.idle_slots += self.plan.slots - self.runs[sidecar].len();
        }
        let scheduler = &mut self.schedulers[sidecar];
        scheduler.tick(now);
        let service = &mut self.service;
        let shares = &self.plan.shares;
        self.runs[sidecar].retain_mut(|run| {
            run.done += 1;
            service[run.customer] += 1.0 / f64::from(shares[run.customer]);
            let done = run.done as i64;
            if done > run.charged {
                scheduler.charge(customer_id(run.customer), KIND, done - run.charged);
                run.charged = done;
            }
            if run.done < run.cost {
                return true;
            }
            scheduler.charge(
                customer_id(run.customer),
                KIND,
                run.cost as i64 - run.charged,
            );
            scheduler.observe(customer_id(run.customer), KIND, run.cost as i64);
            scheduler.settle(customer_id(run.customer), run.estimate);

            false
        });
    }

    fn record_start(&mut self, customer: usize) {
        let wait = self.now - self.last_starts[customer];
        self.last_starts[customer] = self.now;
        self.longest_wait[customer] = self.longest_wait[customer].max(wait);
    }

    fn exchange(&mut self) {
        let reports: Vec<PeerReport> = self
            .schedulers
            .iter_mut()
            .enumerate()
            .map(|(index, scheduler)| scheduler.full_report(&host(index)))
            .collect();
        let now = self.clock();
        for (to, scheduler) in self.schedulers.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                let is_cut = self.is_split && from % 2 != to % 2;
                let is_lost = self.rng.random_range(0..100) < self.plan.loss_percent;
                if from != to && !is_cut && !is_lost {
                    scheduler.merge_report(report, now);
                }
            }
        }
    }

    /// Gap between the most and the least service divided by share among backlogged customers.
    fn gap(&self, backlogged: &[bool]) -> f64 {
        let service = self
            .service
            .iter()
            .zip(backlogged)
            .filter(|(_, is_backlogged)| **is_backlogged);
        let values: Vec<f64> = service.map(|(value, _)| *value).collect();
        let greatest = values.iter().copied().fold(f64::MIN, f64::max);
        greatest - values.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Bound of the gap, from the running requests and the work not yet reported to all sidecars.
    ///
    /// A customer can occupy every slot that it reaches with requests of the maximum cost. It takes
    /// up to two exchange intervals until all sidecars know of that work, during which they may
    /// serve the customer again as far as the extrapolation is wrong.
    fn bound(&self) -> f64 {
        let slots = (self.plan.sidecars * self.plan.slots) as f64;
        let cost = *self.plan.costs.iter().max().expect("the plan has costs") as f64;
        let share = f64::from(*self.plan.shares.iter().min().expect("the plan has shares"));
        let interval = (self.plan.exchange_ms / STEP_MS) as f64;
        2.0 * slots * (cost + interval) / share
    }
}

fn customer_id(customer: usize) -> CustomerId {
    CustomerId::new(customer as u32 + 1)
}

fn host(index: usize) -> HostName {
    format!("s{index}").parse().expect("host name is valid")
}

/// Greatest gaps in the first and the second half of a simulation in which every customer is
/// backlogged.
fn greatest_gaps(fleet: &mut Fleet, steps: usize) -> (f64, f64) {
    let all = vec![true; fleet.plan.shares.len()];
    let mut gaps = (0.0_f64, 0.0_f64);
    for step in 0..steps {
        fleet.step(&all);
        let gap = fleet.gap(&all);
        if step < steps / 2 {
            gaps.0 = gaps.0.max(gap);
        } else {
            gaps.1 = gaps.1.max(gap);
        }
    }
    gaps
}

#[test]
fn stale_totals_make_sidecars_herd_unless_peers_are_extrapolated() {
    let plan = FleetPlan {
        sidecars: 20,
        exchange_ms: 2_000,
        costs: (0..15)
            .map(|index| if index % 2 == 0 { 20 } else { 200 })
            .collect(),
        reach_percent: 60,
        ..FleetPlan::default()
    };
    let stale = greatest_gaps(
        &mut Fleet::new(FleetPlan {
            extrapolates: false,
            ..plan.clone()
        }),
        12_000,
    );
    let extrapolated = greatest_gaps(&mut Fleet::new(plan), 12_000);
    println!(
        "greatest gap in the second half: stale totals {:.0}, extrapolated {:.0}",
        stale.1, extrapolated.1
    );
    assert!(
        extrapolated.1 * 2.0 < stale.1,
        "stale totals {stale:?}, extrapolated {extrapolated:?}"
    );
}

#[test]
fn the_gap_grows_little_with_the_age_of_totals() {
    for exchange_ms in [500, 2_000, 8_000, 16_000] {
        let costs = (0..15)
            .map(|index| if index % 2 == 0 { 20 } else { 200 })
            .collect();
        let plan = FleetPlan {
            sidecars: 20,
            exchange_ms,
            costs,
            ..FleetPlan::default()
        };
        let mut fleet = Fleet::new(plan);
        let (first, second) = greatest_gaps(&mut fleet, 12_000);
        println!(
            "exchange every {exchange_ms} ms: greatest gap {first:.0}, then {second:.0}; bound {:.0}",
            fleet.bound()
        );
        assert!(first.max(second) <= fleet.bound());
    }
}

#[parameterized(
    equal_shares = { vec![1; 15] },
    one_large = { vec![8, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1] },
    mixed = { vec![5, 4, 3, 2, 1, 5, 4, 3, 2, 1, 5, 4, 3, 2, 1] },
)]
fn each_customer_gets_its_share_within_five_percent(shares: Vec<u32>) {
    let costs = (0..15)
        .map(|index| if index % 2 == 0 { 5 } else { 100 })
        .collect();
    let mut fleet = Fleet::new(FleetPlan {
        shares,
        costs,
        ..FleetPlan::default()
    });
    let all = vec![true; 15];
    (0..1_500).for_each(|_| fleet.step(&all));
    let before = fleet.service.clone();
    // Thirty seconds on a clock slowed down by ten, in steps of ten milliseconds.
    (0..30_000).for_each(|_| fleet.step(&all));
    let gained: Vec<f64> = fleet
        .service
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    let mean = gained.iter().sum::<f64>() / 15.0;
    for (customer, value) in gained.iter().enumerate() {
        assert!(
            (value / mean - 1.0).abs() < 0.05,
            "customer {customer} got {value}, the mean is {mean}"
        );
    }
}

#[test]
fn a_customer_that_returns_from_idle_has_no_credit() {
    let mut fleet = Fleet::new(FleetPlan::default());
    let mut backlogged = vec![true; 15];
    backlogged[0] = false;
    (0..5_000).for_each(|_| fleet.step(&backlogged));
    let before = fleet.service.clone();
    backlogged[0] = true;
    (0..1_000).for_each(|_| fleet.step(&backlogged));
    let gained = |customer: usize| fleet.service[customer] - before[customer];
    let others = (1..15).map(gained).sum::<f64>() / 14.0;
    assert!(
        gained(0) < others + fleet.bound() / 4.0,
        "the customer gained {}, the others {others} on average",
        gained(0)
    );
}

/// Guards against credit from an estimate that is later corrected. The first customer fills every
/// slot before the others arrive, and its requests cost far less than the prior estimate. Its lead
/// must stay within the true cost of these requests.
#[test]
fn an_estimate_that_was_too_high_gives_early_customers_no_credit() {
    let plan = FleetPlan {
        sidecars: 4,
        slots: 8,
        costs: vec![10; 15],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::new(plan);
    // The sidecars have reports of each other before the load begins.
    fleet.exchange();
    let mut backlogged = vec![false; 15];
    backlogged[0] = true;
    fleet.step(&backlogged);
    let all = vec![true; 15];
    (0..3_000).for_each(|_| fleet.step(&all));
    let others = fleet.service[1..].iter().sum::<f64>() / 14.0;
    let lead = fleet.service[0] - others;
    let running_cost = (4 * 8 * 10) as f64;
    assert!(
        lead <= running_cost,
        "the lead is {lead}, but the running requests cost {running_cost}"
    );
}

#[test]
fn kinds_of_one_customer_share_by_weight() {
    let customer = CustomerId::new(1);
    let mut scheduler = GrantScheduler::builder()
        .customer(customer, 1)
        .kind(KIND, 1, 10)
        .kind(URGENT, 4, 10)
        .build();
    let now = ClockTime::from_millis(1);
    scheduler.set_bid(ROUTER, customer, KIND, 1_000, now);
    scheduler.set_bid(ROUTER, customer, URGENT, 1_000, now);
    let urgent = (0..100).filter(|_| scheduler.pick(now).is_some_and(|pick| pick.kind == URGENT));
    assert_eq!(urgent.count(), 80);
}

#[test]
fn a_split_is_fair_in_each_part_and_its_debt_is_repaid_without_starvation() {
    // Even customers bid on both sides of the split, odd ones only at the even sidecars.
    let mut fleet = Fleet::new(FleetPlan::default());
    for customer in (1..15).step_by(2) {
        for sidecar in (1..10).step_by(2) {
            fleet.reach[customer][sidecar] = false;
        }
    }
    let all = vec![true; 15];
    (0..2_000).for_each(|_| fleet.step(&all));
    fleet.is_split = true;
    (0..2_000).for_each(|_| fleet.step(&all));
    fleet.is_split = false;
    fleet.reach = vec![vec![true; 10]; 15];
    fleet.longest_wait = vec![0; 15];
    fleet.last_starts = vec![fleet.now; 15];
    let before = fleet.gap(&all);
    (0..4_000).for_each(|_| fleet.step(&all));
    let after = fleet.gap(&all);
    assert!(
        after < before / 2.0,
        "the gap changed from {before} to {after}"
    );
}

#[test]
fn a_lead_is_forgiven_beyond_the_cap_so_that_nobody_starves() {
    let (ahead, behind) = (CustomerId::new(1), CustomerId::new(2));
    let mut scheduler = GrantScheduler::builder()
        .customer(ahead, 1)
        .customer(behind, 1)
        .kind(KIND, 1, 10)
        .debt_cap(100)
        .build();
    let now = ClockTime::from_millis(1);
    scheduler.set_bid(ROUTER, ahead, KIND, 1_000, now);
    scheduler.set_bid(ROUTER, behind, KIND, 1_000, now);
    scheduler.charge(ahead, KIND, 1_000_000);
    scheduler.tick(now);
    let first = (0..100).position(|_| {
        scheduler
            .pick(now)
            .is_some_and(|pick| pick.customer == ahead)
    });
    assert!(
        first.is_some_and(|picks| picks <= 11),
        "the customer with the capped lead was picked first at index {first:?}"
    );
}

fn plan() -> impl Strategy<Value = FleetPlan> {
    (
        2..8_usize,
        1..5_usize,
        2..8_usize,
        20..60_u32,
        1..20_u64,
        0..30_u32,
        any::<u64>(),
    )
        .prop_flat_map(
            |(sidecars, slots, customers, reach, intervals, loss, seed)| {
                let shares = prop::collection::vec(1..5_u32, customers);
                let costs = prop::collection::vec(1..100_u64, customers);
                (shares, costs).prop_map(move |(shares, costs)| FleetPlan {
                    sidecars,
                    slots,
                    shares,
                    costs,
                    exchange_ms: intervals * 100,
                    loss_percent: loss,
                    extrapolates: true,
                    reach_percent: 40 + reach,
                    seed,
                })
            },
        )
}

proptest! {
    #![proptest_config(seeded(150))]

    /// The gap stays within the bound in both halves of the simulation, so it does not grow.
    #[test]
    fn the_gap_is_bounded_and_does_not_grow(plan in plan()) {
        let mut fleet = Fleet::new(FleetPlan { reach_percent: 100, ..plan });
        let bound = fleet.bound();
        let (first, second) = greatest_gaps(&mut fleet, 6_000);
        prop_assert!(first <= bound, "gap {first} in the first half, bound {bound}");
        prop_assert!(second <= bound, "gap {second} in the second half, bound {bound}");
    }

    /// Restarted sidecars neither lose nor double a customer's total by more than the bound.
    #[test]
    fn restarts_keep_the_gap_bounded(plan in plan(), restarts in prop::collection::vec((0..8_usize, 0..3_000_usize), 1..6)) {
        let mut fleet = Fleet::new(FleetPlan { reach_percent: 100, loss_percent: 0, ..plan });
        let bound = fleet.bound() * 2.0;
        let all = vec![true; fleet.plan.shares.len()];
        for step in 0..4_000 {
            for (sidecar, at) in &restarts {
                if *at == step && *sidecar < fleet.plan.sidecars {
                    fleet.schedulers[*sidecar] = fleet.new_scheduler(*sidecar);
                    fleet.runs[*sidecar].clear();
                }
            }
            fleet.step(&all);
            let gap = fleet.gap(&all);
            prop_assert!(gap <= bound, "gap {gap} at step {step}, bound {bound}");
        }
    }

    /// No slot stays free while a sidecar has a bid.
    #[test]
    fn slots_are_busy_while_work_waits(plan in plan()) {
        let mut fleet = Fleet::new(plan);
        let all = vec![true; fleet.plan.shares.len()];
        (0..300).for_each(|_| fleet.step(&all));
        prop_assert_eq!(fleet.idle_slots, 0);
    }
}
