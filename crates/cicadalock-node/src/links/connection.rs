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
use crate::process::SocketTimes;
use crate::wire::{
    EnvelopeCodec, FRAME_LIMIT, FleetKey, FrameError, HELLO_LIMIT, LinkOutbox, RevisionGauge,
};

/// Longest time from the start of a connection to both proofs.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);

/// A peer that is gone is noticed within four seconds.
const PEER_TIMES: SocketTimes = SocketTimes {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 3,
    send: Duration::from_secs(4),
};

/// What every connection of a process shares.
#[derive(Debug)]
pub(super) struct ConnectionContext<I> {
    pub(super) identity: LinkIdentity,
    pub(super) key: FleetKey,
    pub(super) revisions: RevisionGauge,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) events: flume::Sender<I>,
}

/// Why a connection ended before it was of use.
#[derive(Debug, Snafu)]
pub(super) enum HandshakeError {
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("the peer closed the connection"))]
    Closed,
    #[snafu(display("the peer did not begin with a hello and a proof"))]
    OutOfOrder,
    #[snafu(display("the peer does not know the fleet's key"))]
    WrongProof,
    #[snafu(display("the peer was too slow"))]
    TooSlow,
}

type FrameReader = FramedRead<OwnedReadHalf, EnvelopeCodec>;
type FrameWriter = FramedWrite<OwnedWriteHalf, EnvelopeCodec>;

/// Runs a connection until it ends.
pub(super) async fn run<I: From<LinkEvent>>(
    context: Arc<ConnectionContext<I>>,
    stream: TcpStream,
    link: LinkId,
    dialled: bool,
) {
    PEER_TIMES.apply(&stream);
    let (reader, writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, EnvelopeCodec::new(HELLO_LIMIT));
    let mut writer = FramedWrite::new(writer, EnvelopeCodec::new(FRAME_LIMIT));
    let shaken = handshake(&context, &mut reader, &mut writer, dialled);
    let shaken = match tokio::time::timeout(HANDSHAKE_LIMIT, shaken).await {
        Ok(result) => result,
        Err(_) => TooSlowSnafu.fail(),
    };
    let Ok(hello) = shaken else {
        context.metrics.add(Metric::PeersRejected, 1);
        return;
    };
    reader.decoder_mut().set_limit(FRAME_LIMIT);
    context.metrics.add(Metric::LinksUp, 1);
    let (outbox, ring) = LinkOutbox::new();
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
        () = write_frames(&context, &mut writer, &ring) => {}
        () = closing.cancelled() => {}
    }
    context.metrics.add(Metric::LinksDown, 1);
    let _ = context
        .events
        .send_async(LinkEvent::Down { link }.into())
        .await;
}

/// Exchanges hellos and proofs; the accepting side proves itself only after the dialling side.
async fn handshake<I>(
    context: &ConnectionContext<I>,
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    dialled: bool,
) -> Result<Hello, HandshakeError> {
    let own = context.identity.hello();
    send_one(writer, PeerMessage::Hello(own.clone())).await?;
    let PeerMessage::Hello(theirs) = receive_one(reader).await? else {
        return OutOfOrderSnafu.fail();
    };
    let proof = PeerMessage::Proof(Proof {
        mac: context.key.prove(&own, &theirs),
    });
    if dialled {
        send_one(writer, proof).await?;
        check_proof(context, reader, &own, &theirs).await?;
    } else {
        check_proof(context, reader, &own, &theirs).await?;
        send_one(writer, proof).await?;
    }
    Ok(theirs)
}

async fn check_proof<I>(
    context: &ConnectionContext<I>,
    reader: &mut FrameReader,
    own: &Hello,
    theirs: &Hello,
) -> Result<(), HandshakeError> {
    let PeerMessage::Proof(proof) = receive_one(reader).await? else {
        return OutOfOrderSnafu.fail();
    };
    ensure!(context.key.verify(&proof.mac, theirs, own), WrongProofSnafu);
    Ok(())
}

async fn send_one(writer: &mut FrameWriter, message: PeerMessage) -> Result<(), HandshakeError> {
    let frame = Envelope::new(message).encode_to_vec();
    writer.send(Bytes::from(frame)).await.context(FrameSnafu)
}

async fn receive_one(reader: &mut FrameReader) -> Result<PeerMessage, HandshakeError> {
    let frame = reader.next().await.context(ClosedSnafu)?;
    let (envelope, _) = frame.context(FrameSnafu)?;
    envelope.message.context(OutOfOrderSnafu)
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
    ring: &flume::Receiver<Option<PeerMessage>>,
) {
    while let Ok(first) = ring.recv_async().await {
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
            next = ring.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
    let _ = writer.close().await;
}
