use bytes::{Bytes, BytesMut};
use cicadalock_core::message::Envelope;
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame of an authenticated peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 10 * 1024 * 1024;

/// Maximum size of a frame during the handshake, before the peer is authenticated, in bytes.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 * 1024;

/// Codec of length-delimited frames.
///
/// Decodes each frame into its envelope and size in bytes; encodes envelopes that are serialized
/// already.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
}

/// Why a frame cannot be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame exceeds the size limit.
    #[snafu(context(false), display("{source}"))]
    Transport {
        /// Cause.
        source: std::io::Error,
    },
    /// The frame cannot be decoded as an envelope.
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

    /// Changes the maximum size of a frame to `limit` bytes.
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
