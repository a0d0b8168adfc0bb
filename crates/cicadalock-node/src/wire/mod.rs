//! Frames between processes, and the authentication of peers by the fleet's key.
//!
//! Frames are length-delimited protocol buffers. A connection begins with a hello and a keyed hash
//! from each side; `docs/INTERFACES.md` describes which attacks that prevents.
//!
//! ```
//! use cicadalock_core::message::Hello;
//! use cicadalock_node::wire::FleetKey;
//!
//! let key = FleetKey::from_secret(b"a long random text");
//! let hello = |nonce: u8| Hello { nonce: vec![nonce; 16], ..Hello::default() };
//! let (mine, theirs) = (hello(1), hello(2));
//! let proof = key.prove(&mine, &theirs);
//! assert!(key.verify(&proof, &mine, &theirs));
//! assert!(!key.verify(&proof, &theirs, &mine));
//! ```

mod codec;
mod fleet_key;
mod outbox;

pub use codec::{EnvelopeCodec, FrameError, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES};
pub use fleet_key::{FleetKey, KeyFileError};
pub use outbox::{LinkOutbox, OutboxError, SharedRevisions};
