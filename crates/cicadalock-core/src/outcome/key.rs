use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;
use uuid::Uuid;

use crate::time::WallTime;

/// Identifies one effect that a caller requests.
///
/// The key is a UUID of version 7 (RFC 9562), which carries its minting time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    text: Arc<str>,
    minted: WallTime,
}

/// A header value that cannot be used as an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The value is not a UUID.
    #[snafu(display("Idempotency-Key must be a UUID of version 7 (RFC 9562)"))]
    NotUuid,
    /// The value is a UUID without a minting time.
    #[snafu(display("Idempotency-Key is a UUID of version {version}; version 7 is needed"))]
    WrongVersion {
        /// Version number of the UUID.
        version: usize,
    },
}

impl IdempotencyKey {
    /// Returns when the caller minted the key, by the caller's clock.
    #[must_use]
    pub const fn minted(&self) -> WallTime {
        self.minted
    }

    /// Returns the key as a hyphenated lower-case UUID.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    /// Accepts a bare UUID or, as in the IETF draft of the header, a quoted string.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bare = text.trim().trim_matches('"');
        let Ok(uuid) = Uuid::try_parse(bare) else {
            return NotUuidSnafu.fail();
        };
        let version = uuid.get_version_num();
        if version != 7 {
            return WrongVersionSnafu { version }.fail();
        }
        let bytes = uuid.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        Ok(Self {
            text: Arc::from(uuid.to_string()),
            minted: WallTime::from_unix_millis(millis),
        })
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}
