//! Helpers shared by the integration tests of the crate.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::sync::Arc;

use cicadalock_core::config::{ConfigText, FleetConfig, TokenDigest};
use cicadalock_core::outcome::IdempotencyKey;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Default seed of the property tests; fixed, so that CI runs are reproducible.
const SEED: u64 = 20_261_204;

/// Returns a proptest configuration with `cases` cases and a fixed seed, printed on failure.
///
/// The environment variables `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override them.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases: env_number("PROPTEST_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(env_number("PROPTEST_RNG_SEED").unwrap_or(SEED)),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns a configuration with one plain service, a non-idempotent kind and an idempotent one.
pub fn test_config(customers: usize) -> Arc<FleetConfig> {
    let mut text = String::from(
        "[[services]]\nname = \"udlaan\"\nprotocol = \"plain\"\nslots = 2\n\
         [[kinds]]\nname = \"booking\"\nservice = \"udlaan\"\npath = \"/bookings\"\nidempotent = false\n\
         queue_timeout = \"5s\"\ntimeout = \"8s\"\n\
         [[kinds]]\nname = \"lookup\"\nservice = \"udlaan\"\npath = \"/lookup\"\nidempotent = true\n\
         queue_timeout = \"5s\"\ntimeout = \"8s\"\n",
    );
    for index in 0..customers {
        let digest = TokenDigest::of(&format!("token-{index}"));
        text.push_str(&format!(
            "[[customers]]\nname = \"c{index}\"\nshare = 1\ntoken_sha256 = \"{digest}\"\n"
        ));
    }
    let text = ConfigText::new("base", &text);
    Arc::new(FleetConfig::read(&text, None).expect("the configuration has no findings"))
}

/// Returns a key minted `millis` milliseconds after the Unix epoch.
pub fn key_minted_at(millis: u64, number: u16) -> IdempotencyKey {
    let high = millis >> 16;
    let low = millis & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-00000000{number:04x}")
        .parse()
        .expect("a UUID of version 7")
}
