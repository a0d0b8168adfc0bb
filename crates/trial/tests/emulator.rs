//! Tests of the emulator: time, prefix caching and preemption of an engine, and results of emulated
//! loads.

use std::time::Duration;

use cicadalock_core::id::PartId;
use cicadalock_core::serving::{PromptPart, PromptShape};
use trial::emulator::{
    EmulatorOptions, EngineEvent, EngineModel, EngineRequest, LoadFile, emulate,
};
use yare::parameterized;

const LENDING: &str = include_str!("../loads/lending.toml");

fn load() -> LoadFile {
    LENDING.parse().expect("lending.toml is a valid load")
}

fn request(number: u64, shared: u64, own: u32, output: u32) -> EngineRequest {
    let parts = vec![
        PromptPart {
            id: PartId::new(shared),
            tokens: 5_000,
        },
        PromptPart {
            id: PartId::new(1_000 + number),
            tokens: own,
        },
    ];
    EngineRequest {
        number,
        prompt: PromptShape {
            input: 5_000 + own,
            output_limit: 1_000,
            output_hint: Some(output),
            parts,
        },
        output,
    }
}

/// Runs an engine until it is idle and returns its events with their times.
fn run_until_idle(engine: &mut EngineModel) -> Vec<(Duration, EngineEvent)> {
    let (mut now, mut events) = (Duration::ZERO, Vec::new());
    while let Some(duration) = engine.begin_step() {
        now += duration;
        events.extend(engine.end_step().into_iter().map(|event| (now, event)));
    }
    events
}

#[test]
fn a_prompt_is_prefilled_at_the_configured_rate_and_its_answer_is_decoded_token_by_token() {
    let mut engine = EngineModel::new(load().engine);
    engine.push(request(1, 7, 3_520, 21));
    let events = run_until_idle(&mut engine);
    assert_eq!(events.len(), 4);
    // 8,520 prompt tokens at 85.2 a millisecond in three steps, 10 ms of attention, and 2.8 ms to
    // decode a token.
    let first = events[0].0.as_secs_f64() * 1e3;
    assert!((110.0..130.0).contains(&first), "{first} ms");
    assert_eq!(events[3].1, EngineEvent::StreamEnd(1));
}

#[test]
fn a_shared_prefix_is_prefilled_once() {
    let mut engine = EngineModel::new(load().engine);
    for number in 1..=3 {
        engine.push(request(number, 7, 100, 7));
        run_until_idle(&mut engine);
    }
    let (prefilled, cached) = engine.prefilled_and_cached();
    assert_eq!((prefilled, cached), (5_000 + 3 * 100, 2 * 5_000));
}

#[test]
fn long_prompts_delay_the_streams_of_other_requests() {
    let mut engine = EngineModel::new(load().engine);
    engine.push(request(1, 7, 10, 70));
    // The first request's stream begins before the long prompt arrives.
    while engine.end_step().is_empty() {
        engine.begin_step();
    }
    engine.push(request(2, 8, 36_000, 7));
    let events = run_until_idle(&mut engine);
    let later = events
        .iter()
        .filter(|(_, event)| {
            matches!(
                event,
                EngineEvent::StreamEvent(1) | EngineEvent::StreamEnd(1)
            )
        })
        .map(|(at, _)| *at);
    let event_times: Vec<Duration> = std::iter::once(Duration::ZERO).chain(later).collect();
    let gaps = event_times.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().expect("the first request emits events");
    assert!(longest > Duration::from_millis(300), "{longest:?}");
}

#[test]
fn the_newest_request_is_preempted_when_the_memory_runs_out() {
    let mut settings = load().engine;
    settings.memory_tokens = 10_300;
    let mut engine = EngineModel::new(settings);
    engine.push(request(1, 7, 100, 200));
    engine.push(request(2, 8, 100, 200));
    let ends: Vec<EngineEvent> = run_until_idle(&mut engine)
        .into_iter()
        .map(|(_, event)| event)
        .filter(|event| matches!(event, EngineEvent::StreamEnd(_)))
        .collect();
    assert_eq!(ends, [EngineEvent::StreamEnd(1), EngineEvent::StreamEnd(2)]);
}

fn load_without_flood(seed: u64) -> (LoadFile, EmulatorOptions) {
    let mut load = load();
    load.floods.clear();
    let options = EmulatorOptions {
        seed,
        length: Duration::from_secs(4),
        ..EmulatorOptions::default()
    };
    (load, options)
}

#[test]
fn the_same_seed_gives_the_same_table() {
    let (load, options) = load_without_flood(3);
    assert_eq!(emulate(&load, &options), emulate(&load, &options));
}

#[test]
fn credit_does_not_exceed_the_ceiling() {
    for seed in 1..=2 {
        for has_full_knowledge in [false, true] {
            let (load, options) = load_without_flood(seed);
            let options = EmulatorOptions {
                has_full_knowledge,
                ..options
            };
            let table = emulate(&load, &options).expect("the core accepts the fleet");
            assert!(table.credit_ratio() <= table.ceiling, "{table}");
        }
    }
}

#[parameterized(
    no_slots = { "slots = 64", "slots = 0", "`engine.slots` must be above zero" },
    another_customer = { "customer = 0", "customer = 16", "`floods.customer` is 16, and there are 16 customers" },
    an_unknown_field = { "zones = 3", "zones = 3\nnodes = 1", "unknown field `nodes`" },
)]
fn an_invalid_load_is_rejected_with_the_faulty_field(from: &str, to: &str, expected: &str) {
    let result: Result<LoadFile, _> = LENDING.replace(from, to).parse();
    let problem = result.expect_err("the load is invalid").to_string();
    assert!(problem.contains(expected), "{problem}");
}

/// Each connection that the cut-off router fails to open is a run that was granted and did not begin.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_4 = { 4 },
)]
fn a_customer_is_not_charged_for_runs_that_never_begin_and_keeps_its_share(seed: u64) {
    let load: LoadFile = include_str!("../loads/flooded.toml")
        .parse()
        .expect("flooded.toml is a valid load");
    let options = EmulatorOptions {
        seed,
        length: Duration::from_secs(16),
        ..EmulatorOptions::default()
    };
    let table = emulate(&load, &options).expect("the core accepts the fleet");
    assert!(table.share_breaches.is_empty(), "{table}");
    assert!(table.least_share >= 0.5, "{table}");
}

/// Prompts whose shared part is most of them, at engines half as fast as a desk assumes at first, while a few
/// customers send seven to nine times their usual requests.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
    seed_4 = { 4 },
)]
fn every_customer_keeps_its_share_at_slow_engines(seed: u64) {
    let load: LoadFile = include_str!("../loads/counting.toml")
        .parse()
        .expect("counting.toml is a valid load");
    let options = EmulatorOptions {
        seed,
        length: Duration::from_secs(22),
        ..EmulatorOptions::default()
    };
    let table = emulate(&load, &options).expect("the core accepts the fleet");
    assert!(table.share_breaches.is_empty(), "{table}");
}

/// The engines' base step takes 1 to 6 ms, they prefill 25 to 150 tokens in a millisecond, and an event holds 1 to
/// 17 tokens.
#[parameterized(
    shape_1 = { 1 },
    shape_2 = { 2 },
    shape_3 = { 3 },
    shape_4 = { 4 },
    shape_5 = { 5 },
)]
fn requests_begin_in_time_at_engines_of_any_shape(shape: u64) {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(shape);
    let mut load: LoadFile = include_str!("../loads/counting-quiet.toml")
        .parse()
        .expect("counting-quiet.toml is a valid load");
    let speed = rng.random_range(0.5..3.0);
    load.engine.step_us = 5_950.0 / speed;
    load.engine.read_per_ms *= speed;
    load.engine.read_us_per_pair_m /= speed;
    load.engine.tokens_per_event = rng.random_range(1..=17);
    for kind in &mut load.kinds {
        kind.per_second *= 2.0 * speed;
    }
    let options = EmulatorOptions {
        seed: shape,
        length: Duration::from_secs(16),
        ..EmulatorOptions::default()
    };
    let table = emulate(&load, &options).expect("the core accepts the fleet");
    let times = table.first_event_times.iter().zip(&load.kinds);
    for ((name, row), ((median, _), kind)) in table.kinds.iter().zip(times) {
        assert!(row.timely + row.late > 0, "{name}: {table}");
        // The silence after which callers leave.
        let patience = (kind.objective() * 4).max(kind.pause() * 8);
        assert!(*median <= patience, "{name}: {table}");
    }
}
