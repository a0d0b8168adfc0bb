//! Frames between processes, and the proof that a peer knows the fleet's key.
//!
//! Frames are length-delimited protocol buffers. A connection begins with a hello and a keyed hash
//! from each side; see `docs/INTERFACES.md` for what that protects against.
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

pub use codec::{EnvelopeCodec, FRAME_LIMIT, FrameError, HELLO_LIMIT};
pub use fleet_key::{FleetKey, KeyFileError};
pub use outbox::{LinkOutbox, OutboxFull, RevisionGauge};
