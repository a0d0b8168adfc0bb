use std::fmt;

use sha2::{Digest, Sha256};

/// SHA-256 digest of a request, which tells a retry from a different request under the same key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyDigest([u8; 32]);

impl BodyDigest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Wraps a digest received from another process; `None` unless it has 32 bytes.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Computes the digest of a request's method, target and body.
    #[must_use]
    pub fn of_request(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Debug for BodyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(&self.0[..8]))
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}
