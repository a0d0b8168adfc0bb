use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
