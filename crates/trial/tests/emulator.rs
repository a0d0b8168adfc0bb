//! The emulator: engines take the time that their traits say, and callers of a load get what the core's
//! decisions give them.

use std::time::Duration;

use cicadalock_core::serving::{PromptPart, PromptShape};
use trial::emulator::{
    EmulatorOptions, EngineEvent, EngineModel, EngineRequest, LoadFile, emulate,
};
use yare::parameterized;

const LENDING: &str = include_str!("../loads/lending.toml");

fn load() -> LoadFile {
    LENDING.parse().expect("a load")
}

fn run(number: u64, shared: u64, own: u32, output: u32) -> EngineRequest {
    let parts = vec![
        PromptPart {
            id: shared,
            tokens: 5_000,
        },
        PromptPart {
            id: 1_000 + number,
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

/// Plays an engine until it is idle; events with their times.
fn run_until_idle(engine: &mut EngineModel) -> Vec<(Duration, EngineEvent)> {
    let (mut now, mut events) = (Duration::ZERO, Vec::new());
    while let Some(span) = engine.begin_step() {
        now += span;
        events.extend(engine.end_step().into_iter().map(|event| (now, event)));
    }
    events
}

#[test]
fn a_prompt_is_read_at_the_engine_s_rate_and_then_made_token_by_token() {
    let mut engine = EngineModel::new(load().engine);
    engine.push(run(1, 7, 3_520, 21));
    let events = run_until_idle(&mut engine);
    assert_eq!(events.len(), 4);
    // 8,520 tokens at 85.2 a millisecond in three steps, 10 ms of attention, and a token of 2.8 ms.
    let first = events[0].0.as_secs_f64() * 1e3;
    assert!((110.0..130.0).contains(&first), "{first} ms");
    assert_eq!(events[3].1, EngineEvent::StreamEnd(1));
}

#[test]
fn a_shared_beginning_is_read_once() {
    let mut engine = EngineModel::new(load().engine);
    for number in 1..=3 {
        engine.push(run(number, 7, 100, 7));
        run_until_idle(&mut engine);
    }
    let (read, kept) = engine.prefilled_and_cached();
    assert_eq!((read, kept), (5_000 + 3 * 100, 2 * 5_000));
}

#[test]
fn long_prompts_pause_the_streams_beside_them() {
    let mut engine = EngineModel::new(load().engine);
    engine.push(run(1, 7, 10, 70));
    // Its stream has begun when the long prompt comes.
    while engine.end_step().is_empty() {
        engine.begin_step();
    }
    engine.push(run(2, 8, 36_000, 7));
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
    let of_first: Vec<Duration> = std::iter::once(Duration::ZERO).chain(later).collect();
    let pauses = of_first.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = pauses.max().expect("some events");
    assert!(longest > Duration::from_millis(300), "{longest:?}");
}

#[test]
fn the_newest_request_yields_when_the_memory_runs_out() {
    let mut settings = load().engine;
    settings.memory_tokens = 10_300;
    let mut engine = EngineModel::new(settings);
    engine.push(run(1, 7, 100, 200));
    engine.push(run(2, 8, 100, 200));
    let ends: Vec<EngineEvent> = run_until_idle(&mut engine)
        .into_iter()
        .map(|(_, event)| event)
        .filter(|event| matches!(event, EngineEvent::StreamEnd(_)))
        .collect();
    assert_eq!(ends, [EngineEvent::StreamEnd(1), EngineEvent::StreamEnd(2)]);
}

fn quiet(seed: u64) -> (LoadFile, EmulatorOptions) {
    let mut load = load();
    load.flood = None;
    let options = EmulatorOptions {
        seed,
        length: Duration::from_secs(4),
        ..EmulatorOptions::default()
    };
    (load, options)
}

#[test]
fn a_seed_gives_the_same_table() {
    let (load, options) = quiet(3);
    assert_eq!(emulate(&load, &options), emulate(&load, &options));
}

#[test]
fn no_decision_earns_more_than_the_ceiling() {
    for seed in 1..=2 {
        for has_full_knowledge in [false, true] {
            let (load, options) = quiet(seed);
            let options = EmulatorOptions {
                has_full_knowledge,
                ..options
            };
            let table = emulate(&load, &options).expect("the fleet is possible");
            assert!(table.credit_ratio() <= table.ceiling, "{table}");
        }
    }
}

#[parameterized(
    no_slots = { "slots = 64", "slots = 0", "`engine.slots` must be above zero" },
    another_customer = { "customer = 0", "customer = 16", "`flood.customer` is 16, and there are 16 customers" },
    a_field_that_is_none = { "zones = 3", "zones = 3\nhosts = 1", "unknown field `hosts`" },
)]
fn a_load_with_a_fault_is_refused_with_its_place(from: &str, to: &str, expected: &str) {
    let result: Result<LoadFile, _> = LENDING.replace(from, to).parse();
    let problem = result.expect_err("a fault").to_string();
    assert!(problem.contains(expected), "{problem}");
}
