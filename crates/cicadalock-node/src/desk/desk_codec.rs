use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cicadalock_core::message::{DeskEnvelope, DeskMessage};
use prost::Message;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Greatest frame, in bytes: the runs of a router at one endpoint, some 60 bytes each.
const FRAME_LIMIT: usize = 256 * 1024;

/// Idle time after which the kernel asks whether the peer is still there, and between askings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which unacknowledged data counts as lost.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// Cuts a stream of bytes into messages between routers and desks.
#[derive(Debug)]
pub(crate) struct DeskCodec {
    frames: LengthDelimitedCodec,
}

impl DeskCodec {
    pub(crate) fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        Self { frames }
    }
}

impl Decoder for DeskCodec {
    type Item = Option<DeskMessage>;
    type Error = std::io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(frame) = self.frames.decode(bytes)? else {
            return Ok(None);
        };
        let envelope = DeskEnvelope::decode(frame).map_err(std::io::Error::other)?;
        Ok(Some(envelope.message))
    }
}

impl Encoder<DeskMessage> for DeskCodec {
    type Error = std::io::Error;

    fn encode(&mut self, message: DeskMessage, bytes: &mut BytesMut) -> Result<(), Self::Error> {
        let frame = DeskEnvelope::from(message).encode_to_vec();
        self.frames.encode(Bytes::from(frame), bytes)
    }
}

/// Lets a connection between a router and a desk be noticed as lost within seconds.
pub(crate) fn prepare_link(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    // Without these options the connection works, and its own signs of life end it later.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(SEND_LIMIT));
}
