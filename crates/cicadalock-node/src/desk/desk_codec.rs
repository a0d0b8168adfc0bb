use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cicadalock_core::message::{DeskEnvelope, DeskMessage};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::process::SocketTimeouts;

/// Greatest frame: the list of a router's running requests at one endpoint, some 60 bytes each.
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Keepalive and send timeouts that detect a lost desk or router within about two seconds.
pub(crate) const LINK_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_secs(2),
};

/// Length-delimited codec for messages between routers and desks.
///
/// Decodes a message of an unknown type as `None`.
#[derive(Debug)]
pub(crate) struct DeskCodec {
    frames: LengthDelimitedCodec,
}

impl DeskCodec {
    pub(crate) fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(MAX_FRAME_BYTES)
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
