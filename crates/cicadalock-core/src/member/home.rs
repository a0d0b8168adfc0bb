use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::HostName;

/// The home of `key`: the host with the greatest hash of host and key (rendezvous hashing).
///
/// A change of the hosts moves only the keys of hosts that came or went.
#[must_use]
pub fn key_home<'a>(homes: &'a [HostName], key: &str) -> Option<&'a HostName> {
    let seed = xxh3_64(key.as_bytes());
    homes
        .iter()
        .max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}

/// Hash of a sorted set of hosts.
#[must_use]
pub fn set_hash(homes: &[HostName]) -> u64 {
    homes.iter().fold(0, |hash, host| {
        xxh3_64_with_seed(host.as_str().as_bytes(), hash)
    })
}
