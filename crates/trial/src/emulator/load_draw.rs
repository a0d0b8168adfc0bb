use std::time::Duration;

use cicadalock_core::id::PartId;
use cicadalock_core::serving::{PromptPart, PromptShape};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use super::load_file::{KindSettings, LoadFile, SizeSettings};

/// Error of callers' estimates of the answer's length: standard deviation of the logarithm.
const HINT_SPREAD: f64 = 0.5;

/// One request of a load, with all random properties drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct DrawnCall {
    /// Time of arrival since the start of the load.
    pub at: Duration,
    /// Index of the request's kind in [`LoadFile::kinds`].
    pub kind: usize,
    /// Number of the customer, from 0.
    pub customer: usize,
    /// Index of the router that receives the request.
    pub router: usize,
    /// Length and parts of the prompt.
    pub prompt: PromptShape,
    /// Number of tokens that the engine generates for the request.
    pub output: u32,
    /// Factor of the request's credit: 1 for a prompt of mean length for its kind, at most 4.
    pub size: f64,
}

/// Draws the requests of a load, in order of arrival. The same seed gives the same requests.
#[must_use]
pub fn draw_load(load: &LoadFile, seed: u64, length: Duration) -> Vec<DrawnCall> {
    let mut calls = Vec::new();
    for (index, kind) in load.kinds.iter().enumerate() {
        // Each kind has its own random number generator, so that changing one kind leaves the
        // others unchanged.
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        draw_kind(load, index, kind, length, &mut rng, &mut calls);
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn draw_kind(
    load: &LoadFile,
    index: usize,
    kind: &KindSettings,
    length: Duration,
    rng: &mut StdRng,
    calls: &mut Vec<DrawnCall>,
) {
    let mut at = 0.0;
    let mut serial = 0;
    while let Some(interval) = draw_interarrival(kind.per_second, rng) {
        at += interval;
        if at >= length.as_secs_f64() {
            return;
        }
        let customer = draw_rank(load.customers.count, load.customers.skew, rng);
        serial += 1;
        let number = (index as u64) << 48 | serial;
        calls.push(draw_call(load, (index, kind), customer, at, number, rng));
        let flood = load.floods.iter().find(|flood| {
            flood.customer == customer
                && flood.kind.as_ref().is_none_or(|name| *name == kind.name)
                && (flood.from_s..flood.from_s + flood.for_s).contains(&at)
        });
        let copies = flood.map_or(0, |flood| flood.factor as u64);
        for _ in 1..copies {
            serial += 1;
            let number = (index as u64) << 48 | serial;
            let at = at + rng.random_range(0.0..1.0);
            calls.push(draw_call(load, (index, kind), customer, at, number, rng));
        }
    }
}

fn draw_call(
    load: &LoadFile,
    (index, kind): (usize, &KindSettings),
    customer: usize,
    at: f64,
    number: u64,
    rng: &mut StdRng,
) -> DrawnCall {
    let subject = draw_rank(kind.subjects, kind.subject_skew, rng);
    let own = draw_size(kind.own_tokens, rng);
    let output = draw_size(kind.output_tokens, rng);
    let hint = f64::from(output) * log_normal(HINT_SPREAD, rng);
    let shared = kind.shared_tokens as u32;
    let own_part = PromptPart {
        id: PartId::new(number | 1 << 63),
        tokens: own,
    };
    let shared_part = PromptPart {
        id: PartId::new((index as u64) << 32 | subject as u64),
        tokens: shared,
    };
    let size = f64::from(own + shared) / (kind.own_tokens.mean + kind.shared_tokens);
    DrawnCall {
        at: Duration::from_secs_f64(at),
        kind: index,
        customer,
        router: draw_router(load, customer, rng),
        prompt: PromptShape {
            input: shared + own,
            output_limit: kind.output_tokens.most as u32,
            output_hint: Some(hint.max(1.0) as u32),
            parts: vec![shared_part, own_part],
        },
        output,
        size: (0.3 + 0.7 * size).min(4.0),
    }
}

fn draw_interarrival(per_second: f64, rng: &mut StdRng) -> Option<f64> {
    Exp::new(per_second)
        .ok()
        .map(|intervals| intervals.sample(rng))
}

/// Draws a rank below `count` from a Zipf distribution; rank 0 is the most frequent.
fn draw_rank(count: usize, skew: f64, rng: &mut StdRng) -> usize {
    let ranks = Zipf::new(count as f64, skew.max(0.0));
    ranks.map_or(0, |ranks| ranks.sample(rng) as usize - 1)
}

fn draw_size(size: SizeSettings, rng: &mut StdRng) -> u32 {
    let drawn = size.mean * log_normal(size.spread, rng);
    drawn.clamp(1.0, size.most) as u32
}

/// Draws from a log-normal distribution with mean 1.
fn log_normal(spread: f64, rng: &mut StdRng) -> f64 {
    let numbers = LogNormal::new(-spread * spread / 2.0, spread);
    numbers.map_or(1.0, |numbers| numbers.sample(rng))
}

/// Draws the router that a request of a customer arrives at.
fn draw_router(load: &LoadFile, customer: usize, rng: &mut StdRng) -> usize {
    let (weights, count) = (&load.fleet.router_weights, load.fleet.routers);
    match load.customers.routers {
        Some(reached) => (customer * reached + rng.random_range(0..reached)) % count,
        None => draw_weighted(weights, count, rng),
    }
}

fn draw_weighted(weights: &[f64], count: usize, rng: &mut StdRng) -> usize {
    let weight = |index: usize| weights[index % weights.len()];
    let total: f64 = (0..count).map(weight).sum();
    let mut left = rng.random_range(0.0..total);
    for index in 0..count {
        left -= weight(index);
        if left < 0.0 {
            return index;
        }
    }
    count - 1
}
