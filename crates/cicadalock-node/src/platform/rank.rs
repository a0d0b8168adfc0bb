use cicadalock_core::id::HostName;
use cicadalock_core::member::{HostList, HostState};
use xxhash_rust::xxh3::xxh3_64;

/// Number of processes of each availability zone that watch the platform.
const READERS_PER_ZONE: usize = 2;

/// Returns whether the process on `host` watches the platform for its availability zone.
///
/// The live hosts of a zone with the smallest name hashes do. A host that is not listed also does,
/// since it may be the first of the fleet.
#[must_use]
pub fn is_reader(hosts: &HostList, host: &HostName) -> bool {
    let Some(own) = hosts.get(host) else {
        return true;
    };
    let rank = |name: &HostName| (xxh3_64(name.as_str().as_bytes()), name.clone());
    let own_rank = rank(host);
    let before = hosts.hosts().iter().filter(|other| {
        other.zone == own.zone && other.state == HostState::Live && rank(&other.name) < own_rank
    });
    before.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
}
