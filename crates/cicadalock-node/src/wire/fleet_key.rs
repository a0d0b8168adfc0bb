use std::fmt;
use std::path::{Path, PathBuf};

use cicadalock_core::message::Hello;
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

/// Context that separates the derived key from other uses of the same secret.
const KEY_CONTEXT: &str = "cicadalock 2026-12-04 internal port proof";

/// Shortest secret accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The secret that every process of a fleet knows.
#[derive(Clone)]
pub struct FleetKey {
    key: [u8; blake3::KEY_LEN],
}

/// Why a key file cannot be used.
#[derive(Debug, Snafu)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[snafu(display("cannot read the key file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The secret is too short.
    #[snafu(display("the key file {} needs {MIN_SECRET_BYTES} bytes or more", path.display()))]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

impl FleetKey {
    /// Derives the key from a secret.
    #[must_use]
    pub fn from_secret(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret),
        }
    }

    /// Reads the secret from a file; white space at its end does not count.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the secret is too short.
    pub fn load(path: &Path) -> Result<Self, KeyFileError> {
        let bytes = std::fs::read(path).context(UnreadableSnafu { path })?;
        let secret = bytes.trim_ascii_end();
        ensure!(secret.len() >= MIN_SECRET_BYTES, TooShortSnafu { path });
        Ok(Self::from_secret(secret))
    }

    /// Proof of the sender of `own`, which received `other`.
    #[must_use]
    pub fn prove(&self, own: &Hello, other: &Hello) -> Vec<u8> {
        self.hash(own, other).as_bytes().to_vec()
    }

    /// Tells whether `proof` is that of the sender of `sender`, which received `receiver`.
    #[must_use]
    pub fn verify(&self, proof: &[u8], sender: &Hello, receiver: &Hello) -> bool {
        if sender.nonce == receiver.nonce {
            return false;
        }
        let Ok(bytes) = <[u8; blake3::OUT_LEN]>::try_from(proof) else {
            return false;
        };
        // The comparison of hashes takes the same time for every input.
        self.hash(sender, receiver) == blake3::Hash::from_bytes(bytes)
    }

    fn hash(&self, first: &Hello, second: &Hello) -> blake3::Hash {
        let mut bytes = first.encode_length_delimited_to_vec();
        bytes.extend(second.encode_length_delimited_to_vec());
        blake3::keyed_hash(&self.key, &bytes)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}
