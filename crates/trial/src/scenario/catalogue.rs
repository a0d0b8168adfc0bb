use std::time::Duration;

use super::FleetEvent;
use super::plan::{ScenarioOptions, ScenarioPlan};
use super::run::DIRECT_POLICY;
use crate::fleet::{FleetBuilder, ServicePlan};
use crate::load::{CallerGroup, LoadStyle};

/// A named scenario.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioEntry {
    /// Name, as given to `--scenario`.
    pub name: &'static str,
    /// One-line description, shown by `--list`.
    pub about: &'static str,
    build: fn(&ScenarioOptions) -> ScenarioPlan,
}

impl ScenarioEntry {
    /// Builds the fleet, load and events for `options`.
    #[must_use]
    pub fn plan(&self, options: &ScenarioOptions) -> ScenarioPlan {
        (self.build)(options)
    }
}

/// All scenarios.
pub const SCENARIOS: &[ScenarioEntry] = &[
    entry(
        "quick",
        "mixed load of fifteen customers on a small fleet",
        quick,
    ),
    entry(
        "gap",
        "fifteen backlogged customers, 90/10 over routers, costs 1:100",
        gap,
    ),
    entry(
        "spread",
        "as gap, with equal costs for every customer",
        spread,
    ),
    entry(
        "starve",
        "one request at a time against fourteen floods",
        starve,
    ),
    entry(
        "plain",
        "fifteen backlogged customers on a plain service with few slots",
        plain,
    ),
    entry(
        "flood-low",
        "one customer floods with the kind of lowest weight",
        flood_low,
    ),
    entry(
        "flood-high",
        "one customer floods with the kind of highest weight",
        flood_high,
    ),
    entry(
        "flood-all",
        "every customer floods with the kind of highest weight",
        flood_all,
    ),
    entry(
        "split",
        "half of the sidecars are cut off by a network partition that heals",
        split,
    ),
    entry(
        "bookings",
        "bookings with idempotency keys, without faults",
        bookings,
    ),
    entry(
        "kill-endpoint",
        "an endpoint is killed and starts again",
        kill_endpoint,
    ),
    entry(
        "kill-sidecar",
        "a sidecar is killed and starts again",
        kill_sidecar,
    ),
    entry(
        "kill-router",
        "a router is killed and starts again",
        kill_router,
    ),
    entry(
        "kill-zone",
        "an availability zone is killed and starts again",
        kill_zone,
    ),
    entry(
        "freeze",
        "a sidecar is frozen for longer than every lease, then continues",
        freeze,
    ),
    entry(
        "rolling",
        "every sidecar and router is restarted in turn",
        rolling,
    ),
    entry(
        "platform-down",
        "the platform is down for most of the run",
        platform_down,
    ),
    entry(
        "latency",
        "one request at a time, to measure the latency that the fleet adds",
        latency,
    ),
    entry(
        "rate",
        "short calls, to measure the throughput of one router",
        rate,
    ),
    entry(
        "idle",
        "no load, to measure the cost of idle connections",
        idle,
    ),
    entry(
        "paced",
        "short calls at a fixed rate, to measure the cost of a request",
        paced,
    ),
    entry(
        "waiting",
        "every customer always has requests waiting, to measure the cost of a backlog",
        waiting,
    ),
];

/// Returns the scenario called `name`.
#[must_use]
pub fn find_scenario(name: &str) -> Option<&'static ScenarioEntry> {
    SCENARIOS.iter().find(|entry| entry.name == name)
}

const fn entry(
    name: &'static str,
    about: &'static str,
    build: fn(&ScenarioOptions) -> ScenarioPlan,
) -> ScenarioEntry {
    ScenarioEntry { name, about, build }
}

const CUSTOMER_COUNT: usize = 15;
const MODEL_SERVICE: &str = "raadgiver";
const BOOKING_SERVICE: &str = "udlaan";
const MODEL_TOKEN_TIME: Duration = Duration::from_millis(20);
const BOOKING_CALL_TIME: Duration = Duration::from_millis(20);

/// Delay after which the host list drops a killed host.
const HOST_LIST_DELAY: Duration = Duration::from_secs(3);

fn customer(index: usize) -> String {
    format!("skole-{index:02}")
}

fn base_fleet(
    options: &ScenarioOptions,
    routers: usize,
    model_replicas: usize,
    booking_replicas: usize,
) -> FleetBuilder {
    let sizes = &options.sizes;
    let replicas = |count: usize| {
        if count == 0 {
            0
        } else {
            sizes.replicas.unwrap_or(count)
        }
    };
    let (model_replicas, booking_replicas) = (replicas(model_replicas), replicas(booking_replicas));
    let mut fleet = FleetBuilder::new(options.program.clone())
        .binary(options.binary.clone())
        .routers(sizes.routers.unwrap_or(routers))
        .zones(&["jylland", "fyn", "sjaelland"])
        .limits(&format!("policy = \"{}\"", configured_policy(options)));
    if model_replicas > 0 {
        fleet = fleet
            .service(ServicePlan {
                name: MODEL_SERVICE.into(),
                is_model: true,
                replicas: model_replicas,
                slots: 8,
                unit_time: MODEL_TOKEN_TIME,
            })
            .kind(
                "name = \"plan\"\nservice = \"raadgiver\"\npath = \"/v1/plan\"\nidempotent = true\n\
                 weight = 4\nestimate = 100\nqueue_timeout = \"60s\"",
            )
            .kind(
                "name = \"tuning\"\nservice = \"raadgiver\"\npath = \"/v1/tuning\"\nidempotent = true\n\
                 weight = 1\nestimate = 100\nqueue_timeout = \"60s\"",
            );
    }
    if booking_replicas > 0 {
        fleet = fleet
            .service(ServicePlan {
                name: BOOKING_SERVICE.into(),
                is_model: false,
                replicas: booking_replicas,
                slots: 4,
                unit_time: BOOKING_CALL_TIME,
            })
            .kind(
                "name = \"booking\"\nservice = \"udlaan\"\npath = \"/bookings\"\nidempotent = false\n\
                 weight = 4\nestimate = 20\nqueue_timeout = \"10s\"\ntimeout = \"20s\"",
            )
            .kind(
                "name = \"lookup\"\nservice = \"udlaan\"\npath = \"/lookup\"\nidempotent = true\n\
                 weight = 1\nestimate = 20\nqueue_timeout = \"30s\"",
            );
    }
    for index in 0..sizes
        .customers
        .unwrap_or(CUSTOMER_COUNT)
        .max(CUSTOMER_COUNT)
    {
        fleet = fleet.customer(&customer(index), 1);
    }
    fleet
}

fn configured_policy(options: &ScenarioOptions) -> &str {
    if options.policy == DIRECT_POLICY {
        "fleet"
    } else {
        &options.policy
    }
}

fn model_group(options: &ScenarioOptions, index: usize, style: LoadStyle) -> CallerGroup {
    CallerGroup {
        customer: customer(index),
        kind: "plan".into(),
        path: "/v1/plan".into(),
        is_model: true,
        cost: (5, 100),
        style,
        skew_percent: 0,
        span: (Duration::ZERO, options.length),
        has_key: false,
        pinned: None,
    }
}

fn lookup_group(options: &ScenarioOptions, index: usize, style: LoadStyle) -> CallerGroup {
    CallerGroup {
        kind: "lookup".into(),
        path: "/lookup".into(),
        is_model: false,
        cost: (10, 40),
        ..model_group(options, index, style)
    }
}

fn booking_group(options: &ScenarioOptions, index: usize, style: LoadStyle) -> CallerGroup {
    CallerGroup {
        kind: "booking".into(),
        path: "/bookings".into(),
        has_key: true,
        ..lookup_group(options, index, style)
    }
}

fn base_plan(fleet: FleetBuilder, groups: Vec<CallerGroup>) -> ScenarioPlan {
    ScenarioPlan {
        fleet,
        groups,
        events: Vec::new(),
        service: MODEL_SERVICE.into(),
        backlogged: Vec::new(),
        small_customer: None,
        flood: None,
    }
}

/// Model calls, lookups and bookings of every customer, at about two thirds of the capacity.
fn mixed(options: &ScenarioOptions, routers: usize) -> ScenarioPlan {
    let mut groups = Vec::new();
    for index in 0..CUSTOMER_COUNT {
        // The first three customers send three times as much.
        let size = if index < 3 { 3.0 } else { 1.0 };
        groups.push(model_group(options, index, LoadStyle::Open(0.9 * size)));
        groups.push(lookup_group(options, index, LoadStyle::Open(6.0 * size)));
        groups.push(booking_group(options, index, LoadStyle::Open(2.0 * size)));
    }
    base_plan(base_fleet(options, routers, 4, 3), groups)
}

fn quick(options: &ScenarioOptions) -> ScenarioPlan {
    mixed(options, 3)
}

fn backlogged(options: &ScenarioOptions, cost: fn(usize) -> (u32, u32)) -> ScenarioPlan {
    let groups = (0..CUSTOMER_COUNT).map(|index| CallerGroup {
        cost: cost(index),
        skew_percent: if index % 3 == 0 { 90 } else { 0 },
        ..model_group(options, index, LoadStyle::Closed(24))
    });
    let mut plan = base_plan(base_fleet(options, 10, 10, 0), groups.collect());
    plan.backlogged = (0..CUSTOMER_COUNT).map(customer).collect();
    plan
}

fn gap(options: &ScenarioOptions) -> ScenarioPlan {
    backlogged(
        options,
        |index| if index % 2 == 0 { (5, 50) } else { (50, 500) },
    )
}

fn spread(options: &ScenarioOptions) -> ScenarioPlan {
    backlogged(options, |_| (5, 100))
}

fn starve(options: &ScenarioOptions) -> ScenarioPlan {
    let groups = (0..CUSTOMER_COUNT).map(|index| {
        let callers = if index == 0 { 1 } else { 40 };
        CallerGroup {
            cost: if index == 0 { (20, 20) } else { (5, 200) },
            ..model_group(options, index, LoadStyle::Closed(callers))
        }
    });
    let mut plan = base_plan(base_fleet(options, 3, 4, 0), groups.collect());
    plan.backlogged = (1..CUSTOMER_COUNT).map(customer).collect();
    plan.small_customer = Some(customer(0));
    plan
}

fn plain(options: &ScenarioOptions) -> ScenarioPlan {
    let groups =
        (0..CUSTOMER_COUNT).map(|index| lookup_group(options, index, LoadStyle::Closed(4)));
    let mut plan = base_plan(base_fleet(options, 3, 0, 3), groups.collect());
    plan.service = BOOKING_SERVICE.into();
    plan.backlogged = (0..CUSTOMER_COUNT).map(customer).collect();
    plan
}

/// Uses half of the capacity; in the middle third of the load, the first `flooders` customers
/// together send ten times the whole capacity.
fn flood(options: &ScenarioOptions, path: &str, kind: &str, flooders: usize) -> ScenarioPlan {
    let third = options.length / 3;
    let mut groups: Vec<CallerGroup> = (0..CUSTOMER_COUNT)
        .flat_map(|index| {
            let tuning = CallerGroup {
                path: "/v1/tuning".into(),
                kind: "tuning".into(),
                ..model_group(options, index, LoadStyle::Open(0.8))
            };
            [model_group(options, index, LoadStyle::Open(0.8)), tuning]
        })
        .collect();
    let first_flood_group = groups.len();
    // The mean cost of a request is about 32 tokens and four replicas generate 1,600 tokens/s.
    let rate = 500.0 / flooders as f64;
    for index in 0..flooders {
        groups.push(CallerGroup {
            path: path.into(),
            kind: kind.into(),
            span: (third, third * 2),
            ..model_group(options, index, LoadStyle::Open(rate))
        });
    }
    let flood = (first_flood_group..groups.len()).collect();
    let mut plan = base_plan(base_fleet(options, 3, 4, 0), groups);
    plan.flood = Some((third, third * 2, flood));
    plan
}

fn flood_low(options: &ScenarioOptions) -> ScenarioPlan {
    flood(options, "/v1/tuning", "tuning", 1)
}

fn flood_high(options: &ScenarioOptions) -> ScenarioPlan {
    flood(options, "/v1/plan", "plan", 1)
}

fn flood_all(options: &ScenarioOptions) -> ScenarioPlan {
    flood(options, "/v1/plan", "plan", CUSTOMER_COUNT)
}

fn split(options: &ScenarioOptions) -> ScenarioPlan {
    let mut plan = spread(options);
    plan.fleet = plan.fleet.proxies();
    let third = options.length / 3;
    plan.events = vec![(third, FleetEvent::Split), (third * 2, FleetEvent::Heal)];
    plan
}

fn bookings(options: &ScenarioOptions) -> ScenarioPlan {
    let groups =
        (0..CUSTOMER_COUNT).map(|index| booking_group(options, index, LoadStyle::Open(4.0)));
    let mut plan = base_plan(base_fleet(options, 3, 0, 3), groups.collect());
    plan.service = BOOKING_SERVICE.into();
    plan
}

fn with_fault(options: &ScenarioOptions, fault: FleetEvent) -> ScenarioPlan {
    let mut plan = mixed(options, 3);
    let third = options.length / 3;
    plan.events = vec![
        (third, fault),
        (third + HOST_LIST_DELAY, FleetEvent::UnlistDead),
        (third * 2, FleetEvent::StartAll),
    ];
    plan
}

fn kill_endpoint(options: &ScenarioOptions) -> ScenarioPlan {
    with_fault(options, FleetEvent::KillEndpoint(0))
}

fn kill_sidecar(options: &ScenarioOptions) -> ScenarioPlan {
    with_fault(options, FleetEvent::KillSidecar(4))
}

fn kill_router(options: &ScenarioOptions) -> ScenarioPlan {
    with_fault(options, FleetEvent::KillRouter(0))
}

fn kill_zone(options: &ScenarioOptions) -> ScenarioPlan {
    with_fault(options, FleetEvent::KillZone("fyn".into()))
}

fn freeze(options: &ScenarioOptions) -> ScenarioPlan {
    let mut plan = mixed(options, 3);
    let third = options.length / 3;
    plan.events = vec![
        (third, FleetEvent::FreezeSidecar(4)),
        (third * 2, FleetEvent::WakeSidecar(4)),
    ];
    plan
}

fn rolling(options: &ScenarioOptions) -> ScenarioPlan {
    let mut plan = mixed(options, 3);
    plan.events = vec![(options.length / 6, FleetEvent::RollAll)];
    plan
}

fn platform_down(options: &ScenarioOptions) -> ScenarioPlan {
    let mut plan = mixed(options, 3);
    let sixth = options.length / 6;
    plan.events = vec![
        (sixth, FleetEvent::Platform("down")),
        (sixth * 2, FleetEvent::KillSidecar(0)),
        (sixth * 3, FleetEvent::StartAll),
        (sixth * 4, FleetEvent::KillRouter(0)),
        (sixth * 5, FleetEvent::StartAll),
    ];
    plan
}

fn latency(options: &ScenarioOptions) -> ScenarioPlan {
    let group = CallerGroup {
        cost: (1, 1),
        ..lookup_group(options, 0, LoadStyle::Closed(1))
    };
    let mut plan = base_plan(base_fleet(options, 1, 0, 2), vec![group]);
    plan.service = BOOKING_SERVICE.into();
    plan.small_customer = Some(customer(0));
    plan
}

fn rate(options: &ScenarioOptions) -> ScenarioPlan {
    let groups = (0..4).map(|index| CallerGroup {
        cost: (1, 1),
        ..lookup_group(options, index, LoadStyle::Closed(16))
    });
    let mut plan = base_plan(base_fleet(options, 1, 0, 2), groups.collect());
    plan.service = BOOKING_SERVICE.into();
    plan
}

fn idle(options: &ScenarioOptions) -> ScenarioPlan {
    base_plan(base_fleet(options, 1, 2, 0), Vec::new())
}

fn paced(options: &ScenarioOptions) -> ScenarioPlan {
    let rate = f64::from(options.sizes.rate.unwrap_or(200));
    let groups = (0..CUSTOMER_COUNT).map(|index| CallerGroup {
        cost: (1, 1),
        ..lookup_group(
            options,
            index,
            LoadStyle::Open(rate / CUSTOMER_COUNT as f64),
        )
    });
    let mut plan = base_plan(base_fleet(options, 1, 0, 2), groups.collect());
    plan.service = BOOKING_SERVICE.into();
    plan
}

fn waiting(options: &ScenarioOptions) -> ScenarioPlan {
    let customers = options.sizes.customers.unwrap_or(CUSTOMER_COUNT);
    let groups = (0..customers).map(|index| CallerGroup {
        cost: (20, 60),
        ..model_group(options, index, LoadStyle::Closed(3))
    });
    let mut plan = base_plan(base_fleet(options, 2, 4, 0), groups.collect());
    plan.backlogged = (0..customers).map(customer).collect();
    plan
}
