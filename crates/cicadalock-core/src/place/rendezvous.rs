use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::EndpointId;

/// Returns the rendezvous hashing score of `endpoint` for `key`; the highest score wins the key.
///
/// Every router computes the same scores, and an endpoint that is added or removed moves only the
/// keys that it wins.
#[must_use]
pub fn rendezvous_score(key: u64, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), key)
}
