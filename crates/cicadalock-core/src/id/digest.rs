use std::fmt;

/// Identifies a request that is sent again: a cryptographic hash of its caller, method, path, query and
/// body, without the number of the attempt.
///
/// Displayed as `request-` and a hexadecimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; Self::BYTES]);

impl RequestDigest {
    /// Length of a digest, in bytes.
    pub const BYTES: usize = 16;

    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes.
    #[must_use]
    pub const fn bytes(self) -> [u8; Self::BYTES] {
        self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "request-{:032x}", u128::from_be_bytes(self.0))
    }
}
