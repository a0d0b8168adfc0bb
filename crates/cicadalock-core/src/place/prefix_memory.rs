use crate::collect::SortedMap;
use crate::id::EndpointId;
use crate::serving::PromptShape;
use crate::time::ClockTime;

/// Model of the shared prompt parts that each endpoint has cached.
///
/// Derived from the prompts sent to the endpoint. Like the endpoint's own cache, it evicts the
/// least recently used parts first.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    endpoints: SortedMap<EndpointId, CachedParts>,
    capacity: u64,
}

#[derive(Debug, Clone, Default)]
struct CachedParts {
    /// Last use and size in tokens, by a key that also covers all parts before.
    parts: SortedMap<u64, (ClockTime, u32)>,
    tokens: u64,
}

impl PrefixMemory {
    /// Creates an empty model with `capacity` tokens for each endpoint.
    #[must_use]
    pub const fn new(capacity: u64) -> Self {
        Self {
            endpoints: SortedMap::new(),
            capacity,
        }
    }

    /// Returns how many tokens of the prompt's shared parts `endpoint` has cached.
    #[must_use]
    pub fn cached_tokens(&self, endpoint: &EndpointId, prompt: &PromptShape) -> u32 {
        let Some(kept) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let shared = prefix_keys(prompt).take_while(|(key, _)| kept.parts.contains_key(key));
        shared.map(|(_, tokens)| tokens).sum()
    }

    /// Records that a prompt was sent to `endpoint`, and evicts parts beyond the capacity.
    pub fn record(&mut self, endpoint: &EndpointId, prompt: &PromptShape, now: ClockTime) {
        let kept = self
            .endpoints
            .get_or_insert_with(endpoint.clone(), CachedParts::default);
        for (key, tokens) in prefix_keys(prompt) {
            if kept.parts.insert(key, (now, tokens)).is_none() {
                kept.tokens += u64::from(tokens);
            }
        }
        while kept.tokens > self.capacity {
            let oldest = kept.parts.iter().min_by_key(|(_, (used, _))| *used);
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                break;
            };
            if let Some((_, tokens)) = kept.parts.remove(&oldest) {
                kept.tokens -= u64::from(tokens);
            }
        }
    }

    /// Removes the endpoints for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| is_kept(endpoint));
    }

    /// Removes everything recorded for an endpoint, as when a new incarnation starts empty.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }
}

/// Returns the key and tokens of each shared part; a key also covers the parts before it.
fn prefix_keys(prompt: &PromptShape) -> impl Iterator<Item = (u64, u32)> {
    prompt.shared().iter().scan(0_u64, |before, part| {
        *before = before.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part.id.get();
        Some((*before, part.tokens))
    })
}
