use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Kernel timeouts after which a TCP connection is closed as lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SocketTimeouts {
    /// Idle time before the first keepalive probe.
    pub(crate) idle: Duration,
    /// Interval between keepalive probes.
    pub(crate) interval: Duration,
    /// Number of unanswered keepalive probes after which the connection is closed.
    pub(crate) retries: u32,
    /// Maximum time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub(crate) user_timeout: Duration,
}

impl SocketTimeouts {
    /// Sets the timeouts of `stream`, and `TCP_NODELAY` so that small writes are sent at once.
    pub(crate) fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.interval)
            .with_retries(self.retries);
        // The connection also works without these options; its loss is then detected later.
        let _ = stream.set_nodelay(true);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(self.user_timeout));
    }
}
