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

/// Pause between two requests with revoked tokens, in milliseconds.
const REVOKED_INTERVAL_MS: std::ops::Range<u64> = 40..120;

/// Number of the newest revoked tokens that are tried.
const REVOKED_TOKENS: u64 = 3;

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
    /// A lookup that crashes application endpoints, the same again and again.
    CrashingLookup,
    /// May be retried, and every endpoint closes the connection in the middle of its response.
    Broken,
    /// A request whose caller disconnects while it runs.
    Leaving,
    /// A stream that may be resumed at another endpoint, with a long timeout.
    Journey,
    /// A stream that must not be resumed at another endpoint, with a long timeout.
    Consultation,
    /// May be retried, and carries a token that was revoked.
    Revoked,
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerRole {
    /// Requests of most kinds.
    Mixed,
    /// Streams with a long timeout.
    Patient,
    /// Requests with revoked tokens.
    Revoked,
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
    /// Whether some lookups crash application endpoints as well.
    pub(super) has_crashing_lookups: bool,
    pub(super) should_stop: AtomicBool,
}

impl CallKind {
    /// Whether the request may run more than once.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Lookup
                | Self::Broken
                | Self::Plan
                | Self::Model
                | Self::Crashing
                | Self::CrashingLookup
                | Self::Journey
                | Self::Revoked
        )
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Plan
                | Self::Advice
                | Self::Model
                | Self::Crashing
                | Self::Journey
                | Self::Consultation
        )
    }

    /// Time after which an answer is no longer owed: the route's timeout or the caller's deadline.
    #[must_use]
    pub const fn time_limit(self) -> Duration {
        match self {
            Self::Journey | Self::Consultation => Duration::from_secs(5),
            _ => Duration::from_millis(1_200),
        }
    }

    /// Pause within a stream after which its caller leaves: the longest of two seconds, four
    /// objectives and eight longest pauses.
    #[must_use]
    pub const fn patience(self) -> Duration {
        match self {
            Self::Consultation => Duration::from_secs(2),
            Self::Journey => Duration::from_secs(4),
            _ => Duration::from_millis(3_200),
        }
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

impl CallerRole {
    fn draw(self, rng: &mut StdRng) -> (CallKind, &'static str) {
        match self {
            Self::Mixed => CallKind::draw(rng),
            Self::Patient if rng.random_range(0..2) == 0 => (CallKind::Journey, "/patient/stream"),
            Self::Patient => (CallKind::Consultation, "/wait/stream"),
            Self::Revoked => (CallKind::Revoked, "/look/ok"),
        }
    }

    /// Returns the number of the next request's token, or `None` if there is none yet.
    fn token(self, newest: u64, rng: &mut StdRng) -> Option<u64> {
        match self {
            Self::Revoked => newest.checked_sub(rng.random_range(1..=REVOKED_TOKENS)),
            Self::Mixed | Self::Patient => Some(newest),
        }
    }

    /// Returns what the numbers of requests begin with, after that of the caller.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Mixed => "",
            Self::Patient => "l",
            Self::Revoked => "r",
        }
    }

    const fn interval_ms(self) -> std::ops::Range<u64> {
        match self {
            Self::Revoked => REVOKED_INTERVAL_MS,
            Self::Mixed | Self::Patient => REQUEST_INTERVAL_MS,
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

/// Starts the threads of all callers: [`CALLERS_PER_ROUTER`] for each router, one with long streams and
/// one with revoked tokens.
pub(super) fn start_callers(
    shared: &Arc<CallerShared>,
    routers: &[SocketAddr],
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (router, address) in routers.iter().enumerate() {
        for caller in 0..CALLERS_PER_ROUTER {
            let number = (router * CALLERS_PER_ROUTER + caller) as u64;
            let shared = Arc::clone(shared);
            let caller = SoakCaller::new(*address, number, CallerRole::Mixed);
            threads.push(std::thread::spawn(move || {
                let rng = StdRng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9e37_79b9));
                caller.run(&shared, rng);
            }));
        }
        for role in [CallerRole::Patient, CallerRole::Revoked] {
            let number = (router * CALLERS_PER_ROUTER) as u64;
            let shared = Arc::clone(shared);
            let caller = SoakCaller::new(*address, number, role);
            threads.push(std::thread::spawn(move || {
                let rng = StdRng::seed_from_u64(seed.rotate_left(32) ^ number ^ role as u64);
                caller.run(&shared, rng);
            }));
        }
    }
    threads
}

/// A caller of one router.
#[derive(Debug)]
struct SoakCaller {
    router: SocketAddr,
    number: u64,
    role: CallerRole,
}

impl SoakCaller {
    const fn new(router: SocketAddr, number: u64, role: CallerRole) -> Self {
        Self {
            router,
            number,
            role,
        }
    }

    fn run(&self, shared: &CallerShared, mut rng: StdRng) {
        let mut count = 0;
        while !shared.should_stop.load(Ordering::Relaxed) {
            let Some(mut stream) = connect(self.router) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            let has_pool = self.role == CallerRole::Mixed && self.number.is_multiple_of(2);
            let limit = if has_pool {
                REQUESTS_PER_CONNECTION
            } else {
                u32::MAX
            };
            for _ in 0..limit {
                count += 1;
                let number = format!("{:x}-{}{count:x}", self.number, self.role.prefix());
                let record = call_once(shared, &mut stream, number, self.role, &mut rng);
                let is_reusable = record
                    .as_ref()
                    .is_none_or(|record| record.answer.as_ref().is_some_and(keeps_connection));
                lock(&shared.records).extend(record);
                let is_last = !is_reusable || shared.should_stop.load(Ordering::Relaxed);
                // Callers of most kinds connect again at once.
                if is_last && self.role == CallerRole::Mixed {
                    break;
                }
                let interval = rng.random_range(self.role.interval_ms());
                std::thread::sleep(Duration::from_millis(interval));
                if is_last {
                    break;
                }
            }
        }
    }
}

/// Sends a request and returns what became of it, or `None` if the caller has no token yet.
fn call_once(
    shared: &CallerShared,
    stream: &mut TcpStream,
    number: String,
    role: CallerRole,
    rng: &mut StdRng,
) -> Option<CallRecord> {
    let (mut kind, mut path) = role.draw(rng);
    if kind == CallKind::Broken {
        path = broken_path(&number);
    }
    let token = role.token(shared.token.load(Ordering::SeqCst), rng)?;
    let sent = Instant::now();
    let crash_part = shared.crash_part.load(Ordering::SeqCst);
    // Every other stream of engines, by the last digit of its number.
    let is_crashing =
        kind == CallKind::Model && crash_part > 0 && number.ends_with(['1', '5', '9', 'd']);
    let is_crashing_lookup = shared.has_crashing_lookups
        && kind == CallKind::Lookup
        && crash_part > 0
        && number.ends_with(['1', '5', '9', 'd']);
    let text = if is_crashing_lookup {
        kind = CallKind::CrashingLookup;
        let path = format!("/look/{}/ok", crash_part_text(crash_part));
        request(&path, &number, &token_text(token))
    } else if is_crashing {
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
    Some(CallRecord {
        number,
        kind,
        token,
        sent,
        ended: Instant::now(),
        answer,
    })
}

/// Returns the path of a lookup whose answers are always cut: inside the body, inside the head, or behind a head
/// that tells no length. The number decides, so that the draws of a seed stay the same.
fn broken_path(number: &str) -> &'static str {
    match number.bytes().last().unwrap_or_default() % 3 {
        0 => "/look/cut",
        1 => "/look/cut-head",
        _ => "/look/bare",
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
