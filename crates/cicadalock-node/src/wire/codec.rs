use bytes::{Bytes, BytesMut};
use cicadalock_core::message::Envelope;
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Greatest frame of a proven peer, in bytes.
pub const FRAME_LIMIT: usize = 10 * 1024 * 1024;

/// Greatest frame of a peer that has not proven knowledge of the fleet's key, in bytes.
pub const HELLO_LIMIT: usize = 4 * 1024;

/// Cuts a stream of bytes into envelopes.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
}

/// A frame that cannot be used.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame is too large.
    #[snafu(context(false), display("{source}"))]
    Transport {
        /// Cause.
        source: std::io::Error,
    },
    /// The frame is not an envelope.
    #[snafu(context(false), display("{source}"))]
    Malformed {
        /// Cause.
        source: prost::DecodeError,
    },
}

impl EnvelopeCodec {
    /// Creates a codec that accepts frames of up to `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(limit)
            .new_codec();
        Self { frames }
    }

    /// Changes the greatest frame that is accepted, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.frames.set_max_frame_length(limit);
    }
}

impl Decoder for EnvelopeCodec {
    type Item = (Envelope, usize);
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(frame) = self.frames.decode(bytes)? else {
            return Ok(None);
        };
        let size = frame.len();
        Ok(Some((Envelope::decode(frame)?, size)))
    }
}

impl Encoder<Bytes> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Bytes, bytes: &mut BytesMut) -> Result<(), Self::Error> {
        Ok(self.frames.encode(frame, bytes)?)
    }
}
