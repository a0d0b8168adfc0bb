use std::net::SocketAddr;

use cicadalock_core::id::LinkId;
use cicadalock_core::message::{Envelope, Hello};

use crate::wire::LinkOutbox;

/// What happens on connections.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer has proven knowledge of the fleet's key.
    Up {
        /// The connection.
        link: LinkId,
        /// What the peer says of itself.
        hello: Hello,
        /// Where frames for the peer go.
        outbox: LinkOutbox,
        /// Whether this process opened the connection.
        dialled: bool,
    },
    /// A frame came.
    Frame {
        /// The connection.
        link: LinkId,
        /// The frame.
        envelope: Envelope,
    },
    /// The connection is gone.
    Down {
        /// The connection.
        link: LinkId,
    },
    /// Nothing listens at an address that is to be kept connected.
    Refused {
        /// The address.
        address: SocketAddr,
    },
}
