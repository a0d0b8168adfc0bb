use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::id::LinkId;
use cicadalock_core::message::{Envelope, Hello, PeerMessage, Proof};
use cicadalock_core::revision::DocumentKind;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::{LinkEvent, LinkIdentity};
use crate::metrics::{Metric, ProcessMetrics};
use crate::process::SocketTimeouts;
use crate::wire::{
    EnvelopeCodec, FleetKey, FrameError, LinkOutbox, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES,
    SharedRevisions,
};

/// Maximum time from the start of a connection until both peers are authenticated.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Detects a dead peer within four seconds.
const PEER_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 3,
    user_timeout: Duration::from_secs(4),
};

/// State shared by all connections of a process.
#[derive(Debug)]
pub(super) struct ConnectionContext<I> {
    pub(super) identity: LinkIdentity,
    pub(super) key: FleetKey,
    pub(super) revisions: SharedRevisions,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) events: flume::Sender<I>,
}

/// Why the handshake of a connection failed.
#[derive(Debug, Snafu)]
pub(super) enum HandshakeError {
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("the peer closed the connection during the handshake"))]
    Closed,
    #[snafu(display("unexpected message: the handshake is a hello followed by a proof"))]
    UnexpectedMessage,
    #[snafu(display("the proof of the peer does not match the fleet's key"))]
    WrongProof,
    #[snafu(display("handshake timed out"))]
    TimedOut,
}

type FrameReader = FramedRead<OwnedReadHalf, EnvelopeCodec>;
type FrameWriter = FramedWrite<OwnedWriteHalf, EnvelopeCodec>;

/// Authenticates the peer and runs the connection until it ends.
pub(super) async fn run<I: From<LinkEvent>>(
    context: Arc<ConnectionContext<I>>,
    stream: TcpStream,
    link: LinkId,
    dialled: bool,
) {
    PEER_TIMEOUTS.apply(&stream);
    let (reader, writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, EnvelopeCodec::new(MAX_HANDSHAKE_FRAME_BYTES));
    let mut writer = FramedWrite::new(writer, EnvelopeCodec::new(MAX_FRAME_BYTES));
    let exchange = handshake(&context, &mut reader, &mut writer, dialled);
    let handshake_result = match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu.fail(),
    };
    let Ok(hello) = handshake_result else {
        context.metrics.add(Metric::PeersRejected, 1);
        return;
    };
    reader.decoder_mut().set_limit(MAX_FRAME_BYTES);
    context.metrics.add(Metric::LinksUp, 1);
    let (outbox, queue) = LinkOutbox::new();
    let closing = outbox.closing();
    let up = LinkEvent::Up {
        link,
        hello,
        outbox,
        dialled,
    };
    if context.events.send_async(up.into()).await.is_err() {
        return;
    }
    tokio::select! {
        () = read_frames(&context, &mut reader, link) => {}
        () = write_frames(&context, &mut writer, &queue) => {}
        () = closing.cancelled() => {}
    }
    context.metrics.add(Metric::LinksDown, 1);
    let _ = context
        .events
        .send_async(LinkEvent::Down { link }.into())
        .await;
}

/// Exchanges hellos and proofs.
///
/// The accepting side sends its proof only after it has verified that of the dialling side.
async fn handshake<I>(
    context: &ConnectionContext<I>,
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    dialled: bool,
) -> Result<Hello, HandshakeError> {
    let own = context.identity.hello();
    send_handshake_message(writer, PeerMessage::Hello(own.clone())).await?;
    let PeerMessage::Hello(theirs) = receive_handshake_message(reader).await? else {
        return UnexpectedMessageSnafu.fail();
    };
    let proof = PeerMessage::Proof(Proof {
        mac: context.key.prove(&own, &theirs),
    });
    if dialled {
        send_handshake_message(writer, proof).await?;
        check_proof(context, reader, &own, &theirs).await?;
    } else {
        check_proof(context, reader, &own, &theirs).await?;
        send_handshake_message(writer, proof).await?;
    }
    Ok(theirs)
}

async fn check_proof<I>(
    context: &ConnectionContext<I>,
    reader: &mut FrameReader,
    own: &Hello,
    theirs: &Hello,
) -> Result<(), HandshakeError> {
    let PeerMessage::Proof(proof) = receive_handshake_message(reader).await? else {
        return UnexpectedMessageSnafu.fail();
    };
    ensure!(context.key.verify(&proof.mac, theirs, own), WrongProofSnafu);
    Ok(())
}

async fn send_handshake_message(
    writer: &mut FrameWriter,
    message: PeerMessage,
) -> Result<(), HandshakeError> {
    let frame = Envelope::new(message).encode_to_vec();
    writer.send(Bytes::from(frame)).await.context(FrameSnafu)
}

async fn receive_handshake_message(
    reader: &mut FrameReader,
) -> Result<PeerMessage, HandshakeError> {
    let frame = reader.next().await.context(ClosedSnafu)?;
    let (envelope, _) = frame.context(FrameSnafu)?;
    envelope.message.context(UnexpectedMessageSnafu)
}

async fn read_frames<I: From<LinkEvent>>(
    context: &ConnectionContext<I>,
    reader: &mut FrameReader,
    link: LinkId,
) {
    while let Some(frame) = reader.next().await {
        let (envelope, size) = match frame {
            Ok(frame) => frame,
            Err(FrameError::Malformed { .. }) => {
                context.metrics.add(Metric::BadFrames, 1);
                return;
            }
            Err(FrameError::Transport { source }) => {
                let is_oversized = source.kind() == std::io::ErrorKind::InvalidData;
                context
                    .metrics
                    .add(Metric::BadFrames, u64::from(is_oversized));
                return;
            }
        };
        context
            .metrics
            .count_received(envelope.message.as_ref(), size);
        let event = LinkEvent::Frame { link, envelope };
        if context.events.send_async(event.into()).await.is_err() {
            return;
        }
    }
}

async fn write_frames<I>(
    context: &ConnectionContext<I>,
    writer: &mut FrameWriter,
    queue: &flume::Receiver<Option<PeerMessage>>,
) {
    while let Ok(first) = queue.recv_async().await {
        let mut next = Some(first);
        while let Some(message) = next {
            let envelope = Envelope {
                config_revision: context.revisions.get(DocumentKind::Config),
                hosts_revision: context.revisions.get(DocumentKind::Hosts),
                message,
            };
            let frame = envelope.encode_to_vec();
            context
                .metrics
                .count_sent(envelope.message.as_ref(), frame.len());
            if writer.feed(Bytes::from(frame)).await.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
    let _ = writer.close().await;
}
