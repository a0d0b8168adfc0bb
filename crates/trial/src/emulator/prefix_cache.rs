use cicadalock_core::collect::SortedMap;
use cicadalock_core::serving::{PromptPart, PromptShape};

/// Parts of prompts that an engine keeps, of which the least recently used yield.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Tokens and last use of each part, under the hash of it and all parts before it.
    parts: SortedMap<u64, (u32, u64)>,
    tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Tokens at the beginning of a prompt that are kept; their parts count as used.
    pub fn take_kept(&mut self, prompt: &PromptShape) -> u32 {
        self.uses += 1;
        let mut kept = 0;
        for (key, part) in chain(&prompt.parts) {
            let Some(entry) = self.parts.get_mut(&key) else {
                break;
            };
            entry.1 = self.uses;
            kept += part.tokens;
        }
        kept
    }

    /// Keeps the parts of a prompt, within `room` tokens for all.
    pub fn keep(&mut self, prompt: &PromptShape, room: u64) {
        self.uses += 1;
        for (key, part) in chain(&prompt.parts) {
            let old = self.parts.insert(key, (part.tokens, self.uses));
            if old.is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        self.shrink(room);
    }

    /// Lets parts yield until they fit.
    pub fn shrink(&mut self, room: u64) {
        while self.tokens > room {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&key) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}

/// The parts of a prompt, each under a key that covers all before it.
fn chain(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0_u64, |before, part| {
        *before = (before.rotate_left(17) ^ part.id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*before, part))
    })
}
