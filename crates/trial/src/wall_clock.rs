use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch (1970), or 0 if the clock is set before it.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
