use cicadalock_core::collect::SortedMap;
use cicadalock_core::serving::{PromptPart, PromptShape};

/// Prompt parts that an engine holds in memory, evicted in least-recently-used order.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Tokens and last use of each part. The key is a hash of the part and all parts before it.
    parts: SortedMap<u64, (u32, u64)>,
    tokens: u64,
    /// Logical clock: the number of lookups and insertions so far.
    uses: u64,
}

impl PrefixCache {
    /// Returns the number of tokens in the longest cached prefix of a prompt and marks its parts as
    /// used.
    pub fn match_prefix(&mut self, prompt: &PromptShape) -> u32 {
        self.uses += 1;
        let mut cached = 0;
        for (key, part) in prefix_keys(&prompt.parts) {
            let Some(entry) = self.parts.get_mut(&key) else {
                break;
            };
            entry.1 = self.uses;
            cached += part.tokens;
        }
        cached
    }

    /// Inserts the parts of a prompt, then evicts parts until the cache holds at most
    /// `capacity_tokens`.
    pub fn insert_prompt(&mut self, prompt: &PromptShape, capacity_tokens: u64) {
        self.uses += 1;
        for (key, part) in prefix_keys(&prompt.parts) {
            let old = self.parts.insert(key, (part.tokens, self.uses));
            if old.is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        self.evict_to(capacity_tokens);
    }

    /// Evicts the least recently used parts until the cache holds at most `capacity_tokens`.
    pub fn evict_to(&mut self, capacity_tokens: u64) {
        while self.tokens > capacity_tokens {
            let oldest = self.parts.iter().min_by_key(|(_, (_, last_use))| *last_use);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&key) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}

/// Yields each part of a prompt with a key that depends on the part and all parts before it.
fn prefix_keys(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0_u64, |key, part| {
        *key = (key.rotate_left(17) ^ part.id.get()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*key, part))
    })
}
