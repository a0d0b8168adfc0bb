use std::fmt;
use std::path::{Path, PathBuf};

use cicadalock_core::message::Hello;
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

/// Key derivation context, which separates this key from other uses of the same secret.
const KEY_CONTEXT: &str = "cicadalock 2026-12-04 internal port proof";

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The key shared by all processes of a fleet, by which they authenticate each other.
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
        /// Path of the key file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The secret is too short.
    #[snafu(display(
        "secret in key file {} is shorter than {MIN_SECRET_BYTES} bytes",
        path.display()
    ))]
    TooShort {
        /// Path of the key file.
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

    /// Reads the secret from a file, without trailing white space, and derives the key.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the secret is too short.
    pub fn load(path: &Path) -> Result<Self, KeyFileError> {
        let bytes = std::fs::read(path).context(UnreadableSnafu { path })?;
        let secret = bytes.trim_ascii_end();
        ensure!(secret.len() >= MIN_SECRET_BYTES, TooShortSnafu { path });
        Ok(Self::from_secret(secret))
    }

    /// Returns the proof of the process that sent `own` and received `other`.
    #[must_use]
    pub fn prove(&self, own: &Hello, other: &Hello) -> Vec<u8> {
        self.hash(own, other).as_bytes().to_vec()
    }

    /// Returns whether `proof` comes from the process that sent `sender` and received `receiver`.
    ///
    /// Returns `false` for equal nonces, as when a peer sends a hello back to its sender.
    #[must_use]
    pub fn verify(&self, proof: &[u8], sender: &Hello, receiver: &Hello) -> bool {
        if sender.nonce == receiver.nonce {
            return false;
        }
        let Ok(bytes) = <[u8; blake3::OUT_LEN]>::try_from(proof) else {
            return false;
        };
        // BLAKE3 hashes compare in constant time, so timing reveals nothing about the proof.
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
