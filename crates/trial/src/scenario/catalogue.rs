use std::time::Duration;

use super::FleetEvent;
use super::plan::{ScenarioOptions, ScenarioPlan};
use super::run::DIRECT;
use crate::fleet::{FleetBuilder, ServicePlan};
use crate::load::{CallerGroup, LoadStyle};

/// An experiment in the catalogue.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioEntry {
    /// Name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    build: fn(&ScenarioOptions) -> ScenarioPlan,
}

impl ScenarioEntry {
    /// The plan of the experiment.
    #[must_use]
    pub fn plan(&self, options: &ScenarioOptions) -> ScenarioPlan {
        (self.build)(options)
    }
}

/// Every experiment.
pub const SCENARIOS: &[ScenarioEntry] = &[
    entry(
        "quick",
        "mixed work of fifteen customers on a small fleet",
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
        "a plain service with few slots, fed without pause",
        plain,
    ),
    entry(
        "flood-low",
        "one customer floods with the least urgent work",
        flood_low,
    ),
    entry(
        "flood-high",
        "one customer floods with the most urgent work",
        flood_high,
    ),
    entry(
        "flood-all",
        "every customer floods with the most urgent work",
        flood_all,
    ),
    entry(
        "split",
        "half of the sidecars are cut off and come back",
        split,
    ),
    entry(
        "bookings",
        "keyed bookings while everything is well",
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
        "a sidecar is frozen past every lease and wakes",
        freeze,
    ),
    entry(
        "rolling",
        "every process is stopped and started in turn",
        rolling,
    ),
    entry(
        "platform-down",
        "the platform is down for most of the time",
        platform_down,
    ),
    entry(
        "latency",
        "one caller at a time, for the added time of the path",
        latency,
    ),
    entry("rate", "short calls as fast as one router takes them", rate),
    entry("idle", "no load, for what quiet connections cost", idle),
    entry(
        "paced",
        "short calls at a rate, for what a request costs",
        paced,
    ),
    entry(
        "waiting",
        "so many customers wait all the time, for what a backlog costs",
        waiting,
    ),
];

/// The experiment called `name`.
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

const CUSTOMERS: usize = 15;
const MODEL: &str = "raadgiver";
const DESK: &str = "udlaan";
const MODEL_TOKEN: Duration = Duration::from_millis(20);
const DESK_CALL: Duration = Duration::from_millis(20);

/// Time after which the host list drops a host that was killed.
const LIST_LAG: Duration = Duration::from_secs(3);

fn customer(index: usize) -> String {
    format!("skole-{index:02}")
}

fn base_fleet(
    options: &ScenarioOptions,
    routers: usize,
    models: usize,
    desks: usize,
) -> FleetBuilder {
    let sizes = &options.sizes;
    let replicas = |count: usize| {
        if count == 0 {
            0
        } else {
            sizes.replicas.unwrap_or(count)
        }
    };
    let (models, desks) = (replicas(models), replicas(desks));
    let mut fleet = FleetBuilder::new(options.program.clone())
        .binary(options.binary.clone())
        .routers(sizes.routers.unwrap_or(routers))
        .zones(&["jylland", "fyn", "sjaelland"])
        .limits(&format!("policy = \"{}\"", configured_policy(options)));
    if models > 0 {
        fleet = fleet
            .service(ServicePlan {
                name: MODEL.into(),
                is_model: true,
                replicas: models,
                slots: 8,
                unit_time: MODEL_TOKEN,
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
    if desks > 0 {
        fleet = fleet
            .service(ServicePlan {
                name: DESK.into(),
                is_model: false,
                replicas: desks,
                slots: 4,
                unit_time: DESK_CALL,
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
    for index in 0..sizes.customers.unwrap_or(CUSTOMERS).max(CUSTOMERS) {
        fleet = fleet.customer(&customer(index), 1);
    }
    fleet
}

fn configured_policy(options: &ScenarioOptions) -> &str {
    if options.policy == DIRECT {
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

fn desk_group(options: &ScenarioOptions, index: usize, style: LoadStyle) -> CallerGroup {
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
        ..desk_group(options, index, style)
    }
}

fn plan_of(fleet: FleetBuilder, groups: Vec<CallerGroup>) -> ScenarioPlan {
    ScenarioPlan {
        fleet,
        groups,
        events: Vec::new(),
        service: MODEL.into(),
        backlogged: Vec::new(),
        small: None,
        flood: None,
    }
}

/// Model and desk work of every customer, at about two thirds of the capacity.
fn mixed(options: &ScenarioOptions, routers: usize) -> ScenarioPlan {
    let mut groups = Vec::new();
    for index in 0..CUSTOMERS {
        // A few customers are large.
        let size = if index < 3 { 3.0 } else { 1.0 };
        groups.push(model_group(options, index, LoadStyle::Open(0.9 * size)));
        groups.push(desk_group(options, index, LoadStyle::Open(6.0 * size)));
        groups.push(booking_group(options, index, LoadStyle::Open(2.0 * size)));
    }
    plan_of(base_fleet(options, routers, 4, 3), groups)
}

fn quick(options: &ScenarioOptions) -> ScenarioPlan {
    mixed(options, 3)
}

fn backlogged(options: &ScenarioOptions, cost: fn(usize) -> (u32, u32)) -> ScenarioPlan {
    let groups = (0..CUSTOMERS).map(|index| CallerGroup {
        cost: cost(index),
        skew_percent: if index % 3 == 0 { 90 } else { 0 },
        ..model_group(options, index, LoadStyle::Closed(24))
    });
    let mut plan = plan_of(base_fleet(options, 10, 10, 0), groups.collect());
    plan.backlogged = (0..CUSTOMERS).map(customer).collect();
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
    let groups = (0..CUSTOMERS).map(|index| {
        let callers = if index == 0 { 1 } else { 40 };
        CallerGroup {
            cost: if index == 0 { (20, 20) } else { (5, 200) },
            ..model_group(options, index, LoadStyle::Closed(callers))
        }
    });
    let mut plan = plan_of(base_fleet(options, 3, 4, 0), groups.collect());
    plan.backlogged = (1..CUSTOMERS).map(customer).collect();
    plan.small = Some(customer(0));
    plan
}

fn plain(options: &ScenarioOptions) -> ScenarioPlan {
    let groups = (0..CUSTOMERS).map(|index| desk_group(options, index, LoadStyle::Closed(4)));
    let mut plan = plan_of(base_fleet(options, 3, 0, 3), groups.collect());
    plan.service = DESK.into();
    plan.backlogged = (0..CUSTOMERS).map(customer).collect();
    plan
}

/// Half of the capacity is used; in the middle third, `flooders` ask for ten times all of it.
fn flood(options: &ScenarioOptions, path: &str, kind: &str, flooders: usize) -> ScenarioPlan {
    let third = options.length / 3;
    let mut groups: Vec<CallerGroup> = (0..CUSTOMERS)
        .flat_map(|index| {
            let tuning = CallerGroup {
                path: "/v1/tuning".into(),
                kind: "tuning".into(),
                ..model_group(options, index, LoadStyle::Open(0.8))
            };
            [model_group(options, index, LoadStyle::Open(0.8)), tuning]
        })
        .collect();
    let first = groups.len();
    // The mean cost of a request is about 32 tokens and four replicas make 1,600 a second.
    let rate = 500.0 / flooders as f64;
    for index in 0..flooders {
        groups.push(CallerGroup {
            path: path.into(),
            kind: kind.into(),
            span: (third, third * 2),
            ..model_group(options, index, LoadStyle::Open(rate))
        });
    }
    let flood = (first..groups.len()).collect();
    let mut plan = plan_of(base_fleet(options, 3, 4, 0), groups);
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
    flood(options, "/v1/plan", "plan", CUSTOMERS)
}

fn split(options: &ScenarioOptions) -> ScenarioPlan {
    let mut plan = spread(options);
    plan.fleet = plan.fleet.proxies();
    let third = options.length / 3;
    plan.events = vec![(third, FleetEvent::Split), (third * 2, FleetEvent::Heal)];
    plan
}

fn bookings(options: &ScenarioOptions) -> ScenarioPlan {
    let groups = (0..CUSTOMERS).map(|index| booking_group(options, index, LoadStyle::Open(4.0)));
    let mut plan = plan_of(base_fleet(options, 3, 0, 3), groups.collect());
    plan.service = DESK.into();
    plan
}

fn with_fault(options: &ScenarioOptions, fault: FleetEvent) -> ScenarioPlan {
    let mut plan = mixed(options, 3);
    let third = options.length / 3;
    plan.events = vec![
        (third, fault),
        (third + LIST_LAG, FleetEvent::UnlistDead),
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
        ..desk_group(options, 0, LoadStyle::Closed(1))
    };
    let mut plan = plan_of(base_fleet(options, 1, 0, 2), vec![group]);
    plan.service = DESK.into();
    plan.small = Some(customer(0));
    plan
}

fn rate(options: &ScenarioOptions) -> ScenarioPlan {
    let groups = (0..4).map(|index| CallerGroup {
        cost: (1, 1),
        ..desk_group(options, index, LoadStyle::Closed(16))
    });
    let mut plan = plan_of(base_fleet(options, 1, 0, 2), groups.collect());
    plan.service = DESK.into();
    plan
}

fn idle(options: &ScenarioOptions) -> ScenarioPlan {
    plan_of(base_fleet(options, 1, 2, 0), Vec::new())
}

fn paced(options: &ScenarioOptions) -> ScenarioPlan {
    let rate = f64::from(options.sizes.rate.unwrap_or(200));
    let groups = (0..CUSTOMERS).map(|index| CallerGroup {
        cost: (1, 1),
        ..desk_group(options, index, LoadStyle::Open(rate / CUSTOMERS as f64))
    });
    let mut plan = plan_of(base_fleet(options, 1, 0, 2), groups.collect());
    plan.service = DESK.into();
    plan
}

fn waiting(options: &ScenarioOptions) -> ScenarioPlan {
    let customers = options.sizes.customers.unwrap_or(CUSTOMERS);
    let groups = (0..customers).map(|index| CallerGroup {
        cost: (20, 60),
        ..model_group(options, index, LoadStyle::Closed(3))
    });
    let mut plan = plan_of(base_fleet(options, 2, 4, 0), groups.collect());
    plan.backlogged = (0..customers).map(customer).collect();
    plan
}
