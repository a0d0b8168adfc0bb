use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Times after which a connection counts as lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SocketTimeouts {
    /// Idle time after which the kernel asks whether the peer is still there.
    pub(crate) idle: Duration,
    /// Time between two askings.
    pub(crate) interval: Duration,
    /// Unanswered askings after which the connection is lost.
    pub(crate) retries: u32,
    /// Time after which unacknowledged bytes are lost.
    pub(crate) user_timeout: Duration,
}

impl SocketTimeouts {
    /// Sets the times of a connection, and lets small pieces leave at once.
    pub(crate) fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.interval)
            .with_retries(self.retries);
        // A connection without these options works; its loss is only noticed later.
        let _ = stream.set_nodelay(true);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(self.user_timeout));
    }
}
