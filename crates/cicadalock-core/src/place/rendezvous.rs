use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::EndpointId;

/// Weight of `endpoint` as a home of `key`; the greatest weight is the home.
///
/// Every router computes the same weights, and an endpoint that comes or goes moves only the
/// subjects of which it is the home.
#[must_use]
pub fn rendezvous_score(key: u64, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), key)
}
