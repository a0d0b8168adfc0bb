use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cicadalock_standins::{Answer, call_on, prompt_request, request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::shared_state::lock;

/// Number of callers that connect to each router.
const CALLERS_PER_ROUTER: usize = 4;

/// Timeout of a caller's read. It exceeds every timeout of the routes.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of requests on one connection, to emulate callers with a connection pool. Every
/// other caller uses a connection until it ends.
const REQUESTS_PER_CONNECTION: u32 = 40;

/// Part that begins the prompt of every stream of engines.
const COMMON_PART: &str = "c0";

/// Pause between two requests of a caller, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 2..40;

/// Kind of a request, which selects its path and the expected behavior.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Must run at most once.
    Booking,
    /// May be retried.
    Lookup,
    /// A stream that may be resumed at another endpoint.
    Plan,
    /// A stream that must not be resumed at another endpoint.
    Advice,
    /// A stream from an endpoint that has a desk.
    Model,
    /// A stream from an endpoint that has a desk, with a part in its prompt that crashes endpoints.
    Crashing,
    /// May be retried, and every endpoint closes the connection in the middle of its response.
    Broken,
    /// A request whose caller disconnects while it runs.
    Leaving,
}

/// A request as observed by its caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Unique id of the request.
    pub number: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Number of the token that the request carried.
    pub token: u64,
    /// Time at which the caller began to send the request.
    pub sent: Instant,
    /// Time at which the caller had the response or gave up.
    pub ended: Instant,
    /// The response; `None` if no response head arrived or the caller disconnected on purpose.
    pub answer: Option<Answer>,
}

/// State shared between the callers and the soak.
#[derive(Debug)]
pub(super) struct CallerShared {
    pub(super) records: Mutex<Vec<CallRecord>>,
    /// Number of the token in the newest configuration.
    pub(super) token: AtomicU64,
    /// Number of the newest part that crashes endpoints; zero if none does.
    pub(super) crash_part: AtomicU64,
    pub(super) should_stop: AtomicBool,
}

impl CallKind {
    /// Whether the request may run more than once.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Lookup | Self::Broken | Self::Plan | Self::Model | Self::Crashing
        )
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Plan | Self::Advice | Self::Model | Self::Crashing
        )
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

/// Returns the id of a part that crashes endpoints.
pub(super) fn crash_part_text(number: u64) -> String {
    format!("bad{number:x}")
}

/// Returns the index of the router that the request with this number was sent to.
pub(super) fn router_of(number: &str) -> Option<usize> {
    let (caller, _) = number.split_once('-')?;
    let caller = usize::from_str_radix(caller, 16).ok()?;
    Some(caller / CALLERS_PER_ROUTER)
}

/// Returns the text of the token with this number.
pub(super) fn token_text(number: u64) -> String {
    format!("token-{number}")
}

/// Starts the threads of all callers, [`CALLERS_PER_ROUTER`] for each router.
pub(super) fn start_callers(
    shared: &Arc<CallerShared>,
    routers: &[SocketAddr],
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (router, address) in routers.iter().enumerate() {
        for caller in 0..CALLERS_PER_ROUTER {
            let number = (router * CALLERS_PER_ROUTER + caller) as u64;
            let (shared, address) = (Arc::clone(shared), *address);
            threads.push(std::thread::spawn(move || {
                let rng = StdRng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9e37_79b9));
                run_caller(&shared, address, number, rng);
            }));
        }
    }
    threads
}

fn run_caller(shared: &CallerShared, router: SocketAddr, caller: u64, mut rng: StdRng) {
    let mut count = 0;
    while !shared.should_stop.load(Ordering::Relaxed) {
        let Some(mut stream) = connect(router) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let limit = if caller.is_multiple_of(2) {
            REQUESTS_PER_CONNECTION
        } else {
            u32::MAX
        };
        for _ in 0..limit {
            count += 1;
            let number = format!("{caller:x}-{count:x}");
            let record = call_once(shared, &mut stream, number, &mut rng);
            let is_reusable = record.answer.as_ref().is_some_and(keeps_connection);
            lock(&shared.records).push(record);
            if !is_reusable || shared.should_stop.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(REQUEST_INTERVAL_MS)));
        }
    }
}

fn call_once(
    shared: &CallerShared,
    stream: &mut TcpStream,
    number: String,
    rng: &mut StdRng,
) -> CallRecord {
    let (mut kind, path) = CallKind::draw(rng);
    let token = shared.token.load(Ordering::SeqCst);
    let sent = Instant::now();
    let crash_part = shared.crash_part.load(Ordering::SeqCst);
    // Every other stream of engines, by the last digit of its number.
    let is_crashing =
        kind == CallKind::Model && crash_part > 0 && number.ends_with(['1', '5', '9', 'd']);
    let text = if is_crashing {
        kind = CallKind::Crashing;
        let parts = [COMMON_PART, &crash_part_text(crash_part)];
        prompt_request(path, &number, &token_text(token), &parts)
    } else if kind == CallKind::Model {
        prompt_request(path, &number, &token_text(token), &[COMMON_PART])
    } else {
        request(path, &number, &token_text(token))
    };
    let answer = if kind == CallKind::Leaving {
        // Disconnects while the request runs: without a response, the connection is not reused.
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

fn connect(router: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn keeps_connection(answer: &Answer) -> bool {
    let closes = answer
        .head
        .to_ascii_lowercase()
        .contains("connection: close");
    answer.is_body_complete && !closes
}
