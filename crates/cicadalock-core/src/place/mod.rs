//! Inputs for the choice of an endpoint: which prompt prefixes it has cached, its prefill rate and
//! its health.
//!
//! They serve load with long shared prompt prefixes, with a few prompts many times longer than the
//! rest, and with endpoints that turn slow, silent or faulty.
//!
//! # Example
//!
//! ```
//! use cicadalock_core::place::PrefixMemory;
//! use cicadalock_core::serving::PromptShape;
//! use cicadalock_core::time::ClockTime;
//!
//! let now = ClockTime::from_millis(1);
//! let parts = PromptShape::parse_parts("a1:500,b2:100,c3:40").unwrap();
//! let prompt = PromptShape { input: 640, parts, ..PromptShape::default() };
//! let endpoint = "i-1".parse().unwrap();
//! let mut memory = PrefixMemory::new(10_000);
//! assert_eq!(memory.cached_tokens(&endpoint, &prompt), 0);
//! memory.record(&endpoint, &prompt, now);
//! assert_eq!(memory.cached_tokens(&endpoint, &prompt), 600);
//! ```

mod endpoint_health;
mod prefill_rate;
mod prefix_memory;
mod rendezvous;

pub use endpoint_health::EndpointHealth;
pub use prefill_rate::{PrefillMeasure, PrefillRate};
pub use prefix_memory::PrefixMemory;
pub use rendezvous::rendezvous_score;
