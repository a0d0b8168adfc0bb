use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::call::{CallAnswer, CallPlan, CallVerdict, call};

/// Pause of a caller after a request that was refused or failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// How the callers of a group generate requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadStyle {
    /// Closed loop: each of this many callers sends its next request after the previous one has
    /// ended.
    Closed(usize),
    /// Open loop: requests arrive at this mean rate per second, independent of earlier requests.
    Open(f64),
}

/// Callers that send requests of one customer and one kind.
#[derive(Debug, Clone)]
pub struct CallerGroup {
    /// Name of the customer.
    pub customer: String,
    /// Name of the kind.
    pub kind: String,
    /// Path of the requests.
    pub path: String,
    /// Whether requests are completions, whose cost is the number of tokens.
    pub is_model: bool,
    /// Minimum and maximum cost in tokens or milliseconds. The cost of each request is drawn from a
    /// log-uniform distribution.
    pub cost: (u32, u32),
    /// How the group generates requests.
    pub style: LoadStyle,
    /// Percentage of requests that go only to the first tenth of the routers; the others are spread
    /// over all.
    pub skew_percent: u32,
    /// Start and end of the group, relative to the start of the load.
    pub span: (Duration, Duration),
    /// Whether requests carry an idempotency key.
    pub has_key: bool,
    /// Index of the only router that the group calls; `None` if it calls all.
    pub pinned: Option<usize>,
}

/// A request as observed by its caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the group.
    pub group: usize,
    /// Time at which the request was sent, relative to the start of the load.
    pub sent: Duration,
    /// Time at which the request was sent, in milliseconds since 1970.
    pub sent_ms: u64,
    /// Idempotency key of the request, or a unique number if it has none.
    pub call_id: String,
    /// Outcome of the request.
    pub verdict: CallVerdict,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Time from the start of the call to the first part of the body; `None` if no part arrived.
    pub first_byte: Option<Duration>,
    /// Time from the start of the call to the end of the response or to the failure.
    pub total: Duration,
    /// Longest time between two consecutive parts of the body.
    pub longest_gap: Duration,
    /// Whether the body matches the request; always true if the verdict is not `Complete`.
    pub has_expected_body: bool,
}

/// A running load.
#[derive(Debug)]
pub struct LoadRun {
    shared: Arc<LoadShared>,
    runtime: tokio::runtime::Runtime,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct LoadShared {
    groups: Vec<CallerGroup>,
    routers: Mutex<Vec<SocketAddr>>,
    started: Instant,
    should_stop: AtomicBool,
    next_call_number: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
}

impl LoadRun {
    /// Starts the callers of all groups.
    ///
    /// # Errors
    ///
    /// Fails if the threads of the runtime cannot be started.
    pub fn start(
        groups: Vec<CallerGroup>,
        routers: Vec<SocketAddr>,
        seed: u64,
    ) -> std::io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let shared = Arc::new(LoadShared {
            groups,
            routers: Mutex::new(routers),
            started: Instant::now(),
            should_stop: AtomicBool::new(false),
            next_call_number: AtomicU64::new(1),
            records: Mutex::new(Vec::new()),
        });
        let mut tasks = JoinSet::new();
        for index in 0..shared.groups.len() {
            let group_seed = seed.wrapping_mul(1_000_003).wrapping_add(index as u64);
            let workers = match shared.groups[index].style {
                LoadStyle::Closed(count) => count,
                LoadStyle::Open(_) => 1,
            };
            for worker in 0..workers {
                let rng = SmallRng::seed_from_u64(group_seed.wrapping_add((worker as u64) << 32));
                let shared = Arc::clone(&shared);
                tasks.spawn_on(run_group(shared, index, rng), runtime.handle());
            }
        }
        Ok(Self {
            shared,
            runtime,
            tasks,
        })
    }

    /// Returns the time since the start of the load.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Replaces the routers to which callers send requests, as a load balancer does.
    pub fn set_routers(&self, routers: Vec<SocketAddr>) {
        *self
            .shared
            .routers
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = routers;
    }

    /// Stops sending, waits up to `limit` for requests in progress and returns all records.
    #[must_use]
    pub fn finish(mut self, limit: Duration) -> Vec<CallRecord> {
        self.shared.should_stop.store(true, Ordering::Relaxed);
        let tasks = &mut self.tasks;
        self.runtime.block_on(async {
            let all = async { while tasks.join_next().await.is_some() {} };
            let _ = tokio::time::timeout(limit, all).await;
            tasks.abort_all();
        });
        self.runtime.shutdown_timeout(Duration::from_millis(200));
        let mut records = self
            .shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut records)
    }
}

async fn run_group(shared: Arc<LoadShared>, index: usize, mut rng: SmallRng) {
    let group = shared.groups[index].clone();
    tokio::time::sleep(group.span.0.saturating_sub(shared.started.elapsed())).await;
    match group.style {
        LoadStyle::Closed(_) => run_closed(&shared, index, &group, &mut rng).await,
        LoadStyle::Open(rate) => run_open(&shared, index, &group, rate, &mut rng).await,
    }
}

async fn run_closed(
    shared: &Arc<LoadShared>,
    index: usize,
    group: &CallerGroup,
    rng: &mut SmallRng,
) {
    let mut connection = None;
    let mut last_router = None;
    while shared.is_group_active(group) {
        let router = shared.choose_router(group, rng);
        if last_router != Some(router) {
            connection = None;
            last_router = Some(router);
        }
        let (plan, call_id) = shared.plan_call(group, rng);
        let sent = shared.started.elapsed();
        let answer = call(router, &mut connection, &plan).await;
        let is_complete = answer.verdict == CallVerdict::Complete;
        shared.add_record(index, sent, call_id, &plan, answer);
        if !is_complete {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn run_open(
    shared: &Arc<LoadShared>,
    index: usize,
    group: &CallerGroup,
    rate: f64,
    rng: &mut SmallRng,
) {
    let mut calls = JoinSet::new();
    let mut next = tokio::time::Instant::now();
    while shared.is_group_active(group) {
        let pause = -(1.0 - rng.random::<f64>()).ln() / rate;
        next += Duration::from_secs_f64(pause.min(5.0));
        tokio::time::sleep_until(next).await;
        while calls.try_join_next().is_some() {}
        let router = shared.choose_router(group, rng);
        let (plan, call_id) = shared.plan_call(group, rng);
        let shared = Arc::clone(shared);
        calls.spawn(async move {
            let sent = shared.started.elapsed();
            let answer = call(router, &mut None, &plan).await;
            shared.add_record(index, sent, call_id, &plan, answer);
        });
    }
    while calls.join_next().await.is_some() {}
}

impl LoadShared {
    fn is_group_active(&self, group: &CallerGroup) -> bool {
        !self.should_stop.load(Ordering::Relaxed) && self.started.elapsed() < group.span.1
    }

    fn choose_router(&self, group: &CallerGroup, rng: &mut SmallRng) -> SocketAddr {
        let routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(index) = group.pinned {
            return routers[index % routers.len()];
        }
        let first_part = routers.len().div_ceil(10);
        let is_skewed = rng.random_range(0..100) < group.skew_percent;
        let count = if is_skewed { first_part } else { routers.len() };
        routers[rng.random_range(0..count)]
    }

    fn plan_call(&self, group: &CallerGroup, rng: &mut SmallRng) -> (CallPlan, String) {
        let number = self.next_call_number.fetch_add(1, Ordering::Relaxed);
        let (least, greatest) = (f64::from(group.cost.0), f64::from(group.cost.1));
        let cost = (least * (greatest / least).powf(rng.random::<f64>())).round() as u32;
        let call_id = if group.has_key {
            uuid::Uuid::now_v7().to_string()
        } else {
            number.to_string()
        };
        let mut headers = Vec::new();
        if group.has_key {
            headers.push(("idempotency-key".to_owned(), call_id.clone()));
        }
        let body = if group.is_model {
            format!("{{\"prompt\":\"{call_id}\",\"max_tokens\":{cost},\"stream\":true}}")
        } else {
            headers.push(("x-standin-ms".to_owned(), cost.to_string()));
            call_id.clone()
        };
        let plan = CallPlan {
            path: group.path.clone(),
            token: format!("token-{}", group.customer),
            body,
            headers,
        };
        (plan, call_id)
    }

    fn add_record(
        &self,
        group: usize,
        sent: Duration,
        call_id: String,
        plan: &CallPlan,
        answer: CallAnswer,
    ) {
        let has_expected_body =
            answer.verdict != CallVerdict::Complete || is_expected_body(plan, &answer.body);
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let record = CallRecord {
            group,
            sent,
            sent_ms: since.saturating_sub(answer.total).as_millis() as u64,
            call_id,
            verdict: answer.verdict,
            status: answer.status,
            first_byte: answer.first_byte,
            total: answer.total,
            longest_gap: answer.longest_gap,
            has_expected_body,
        };
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }
}

/// Returns whether a body is complete and belongs to the request, given what the stand-ins respond.
fn is_expected_body(plan: &CallPlan, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let asked: serde_json::Value = serde_json::from_str(&plan.body).unwrap_or_default();
    match asked["max_tokens"].as_u64() {
        Some(tokens) => {
            let events = text.matches("data: {").count() as u64;
            events == tokens + 1 && text.ends_with("data: [DONE]\n\n")
        }
        None => text.contains(&format!("\"{}\"", plan.body)),
    }
}
