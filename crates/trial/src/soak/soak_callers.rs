use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cicadalock_standins::{Answer, call_on, request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::shared_state::lock;

/// Callers at each router.
const CALLERS_EACH: usize = 4;

/// Longest wait of a caller for bytes: beyond every timeout of the routes.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// Requests on one connection at most, as callers with a pool do.
const REQUESTS_EACH: u32 = 40;

/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 2..40;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run once only.
    Booking,
    /// May be repeated.
    Lookup,
    /// A stream that may go on elsewhere.
    Plan,
    /// A stream that may not.
    Advice,
    /// A stream of an endpoint with a desk.
    Model,
    /// May be repeated, and every endpoint breaks its answer off.
    Broken,
    /// A request whose caller leaves while it runs.
    Leaving,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Its number.
    pub number: String,
    /// What it asked for.
    pub kind: CallKind,
    /// Number of the token that it bore.
    pub token: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When its caller had the answer or gave up.
    pub ended: Instant,
    /// The answer; none if the connection ended before a head.
    pub answer: Option<Answer>,
}

/// What all callers share.
#[derive(Debug)]
pub(super) struct CallerDesk {
    pub(super) records: Mutex<Vec<CallRecord>>,
    /// Number of the newest token.
    pub(super) token: std::sync::atomic::AtomicU64,
    pub(super) is_over: AtomicBool,
}

impl CallKind {
    /// Whether a second run does harm.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Lookup | Self::Broken | Self::Plan | Self::Model)
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Plan | Self::Advice | Self::Model)
    }

    fn draw(rng: &mut StdRng) -> (Self, &'static str) {
        match rng.random_range(0..12) {
            0..3 => (Self::Booking, "/book/ok"),
            3..5 => (Self::Lookup, "/look/ok"),
            5 => (Self::Broken, "/look/cut"),
            6..8 => (Self::Plan, "/plan/stream"),
            8 => (Self::Advice, "/talk/stream"),
            9..11 => (Self::Model, "/model/stream"),
            _ => (Self::Leaving, "/wait/hang"),
        }
    }
}

/// Text of a token.
pub(super) fn token_text(number: u64) -> String {
    format!("token-{number}")
}

/// Starts the callers of every router.
pub(super) fn start_callers(
    desk: &Arc<CallerDesk>,
    routers: &[SocketAddr],
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (router, address) in routers.iter().enumerate() {
        for caller in 0..CALLERS_EACH {
            let number = (router * CALLERS_EACH + caller) as u64;
            let (desk, address) = (Arc::clone(desk), *address);
            threads.push(std::thread::spawn(move || {
                let rng = StdRng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9e37_79b9));
                call_until_over(&desk, address, number, rng);
            }));
        }
    }
    threads
}

fn call_until_over(desk: &CallerDesk, router: SocketAddr, caller: u64, mut rng: StdRng) {
    let mut count = 0;
    while !desk.is_over.load(Ordering::Relaxed) {
        let Some(mut stream) = open(router) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        for _ in 0..REQUESTS_EACH {
            count += 1;
            let number = format!("{caller:x}-{count:x}");
            let record = call_once(desk, &mut stream, number, &mut rng);
            let is_kept = record.answer.as_ref().is_some_and(may_go_on);
            lock(&desk.records).push(record);
            if !is_kept || desk.is_over.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }
}

fn call_once(
    desk: &CallerDesk,
    stream: &mut TcpStream,
    number: String,
    rng: &mut StdRng,
) -> CallRecord {
    let (kind, path) = CallKind::draw(rng);
    let token = desk.token.load(Ordering::SeqCst);
    let sent = Instant::now();
    let text = request(path, &number, &token_text(token));
    let answer = if kind == CallKind::Leaving {
        // The connection is closed after a moment.
        let _ = stream.write_all(text.as_bytes());
        std::thread::sleep(Duration::from_millis(rng.random_range(20..300)));
        None
    } else {
        call_on(stream, &text)
    };
    CallRecord {
        number,
        kind,
        token,
        sent,
        ended: Instant::now(),
        answer,
    }
}

fn open(router: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn may_go_on(answer: &Answer) -> bool {
    let closes = answer
        .head
        .to_ascii_lowercase()
        .contains("connection: close");
    answer.is_body_complete && !closes
}
