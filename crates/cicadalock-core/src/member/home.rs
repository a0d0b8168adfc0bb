use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::HostName;

/// Returns the home of `key`: the host with the greatest hash of host and key (rendezvous hashing).
///
/// A change of the set moves only keys whose home was added or removed. `None` without homes.
#[must_use]
pub fn key_home<'a>(homes: &'a [HostName], key: &str) -> Option<&'a HostName> {
    let seed = xxh3_64(key.as_bytes());
    homes
        .iter()
        .max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}

/// Hash of a set of hosts, which must be sorted.
#[must_use]
pub fn host_set_hash(homes: &[HostName]) -> u64 {
    homes.iter().fold(0, |hash, host| {
        xxh3_64_with_seed(host.as_str().as_bytes(), hash)
    })
}
