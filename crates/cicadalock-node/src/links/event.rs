use std::net::SocketAddr;

use cicadalock_core::id::LinkId;
use cicadalock_core::message::{Envelope, Hello};

use crate::wire::LinkOutbox;

/// An event of a connection to another process.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake is complete: the peer has proven that it knows the fleet's key.
    Up {
        /// The connection.
        link: LinkId,
        /// Hello of the peer, which identifies its process.
        hello: Hello,
        /// Queue of messages to the peer.
        outbox: LinkOutbox,
        /// Whether this process opened the connection.
        dialled: bool,
    },
    /// A frame was received.
    Frame {
        /// The connection.
        link: LinkId,
        /// Decoded frame.
        envelope: Envelope,
    },
    /// The connection has ended.
    Down {
        /// The connection.
        link: LinkId,
    },
    /// A target address refused the connection: no process listens there.
    Refused {
        /// Target address.
        address: SocketAddr,
    },
}
