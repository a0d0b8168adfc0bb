use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::EndpointId;

/// Weight of `endpoint` as a home of `subject`; the greatest weight is the home.
///
/// Every router computes the same weights, and an endpoint that comes or goes moves only the
/// subjects of which it is the home.
#[must_use]
pub fn home_score(subject: u64, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), subject)
}

/// Number of endpoints that are a nearer home of `subject` than `endpoint`.
#[must_use]
pub fn home_rank<'a>(
    subject: u64,
    endpoint: &EndpointId,
    all: impl Iterator<Item = &'a EndpointId>,
) -> usize {
    let own = home_score(subject, endpoint);
    all.filter(|other| home_score(subject, other) > own).count()
}
