use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::call::{CallAnswer, CallPlan, CallVerdict, call};

/// Pause of a caller whose request was refused or failed.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// How a group of callers sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadStyle {
    /// Each of so many callers sends its next request when the last one has ended.
    Closed(usize),
    /// Requests come at so many a second, whatever became of earlier ones.
    Open(f64),
}

/// Callers of one customer for one kind of work.
#[derive(Debug, Clone)]
pub struct CallerGroup {
    /// Name of the customer.
    pub customer: String,
    /// Name of the kind.
    pub kind: String,
    /// Path of the kind.
    pub path: String,
    /// Whether completions are asked for, with a drawn number of tokens.
    pub is_model: bool,
    /// Least and greatest cost, drawn log-uniformly.
    pub cost: (u32, u32),
    /// How the group sends.
    pub style: LoadStyle,
    /// Share of requests that go to the first tenth of the routers, in percent.
    pub skew_percent: u32,
    /// When the group begins and ends, from the start of the load.
    pub span: (Duration, Duration),
    /// Whether requests carry an idempotency key.
    pub has_key: bool,
    /// Index of the only address that the group calls; none if it calls all.
    pub pinned: Option<usize>,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the group.
    pub group: usize,
    /// When it was sent, from the start of the load.
    pub sent: Duration,
    /// When it was sent, in milliseconds since 1970.
    pub sent_ms: u64,
    /// Idempotency key, or a number of the request's own.
    pub mark: String,
    /// What the caller knows.
    pub verdict: CallVerdict,
    /// HTTP status.
    pub status: u16,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Greatest time between two parts of the body.
    pub greatest_gap: Duration,
    /// Whether the body is the one asked for.
    pub is_own: bool,
}

/// A load in progress.
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
    is_over: AtomicBool,
    next_mark: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
}

impl LoadRun {
    /// Starts the callers of all groups.
    ///
    /// # Errors
    ///
    /// Fails if threads cannot be had.
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
            is_over: AtomicBool::new(false),
            next_mark: AtomicU64::new(1),
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

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Changes the routers that callers reach, as a balancer does.
    pub fn set_routers(&self, routers: Vec<SocketAddr>) {
        *self
            .shared
            .routers
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = routers;
    }

    /// Sends no more, waits for requests in progress up to `limit`, and returns all records.
    #[must_use]
    pub fn finish(mut self, limit: Duration) -> Vec<CallRecord> {
        self.shared.is_over.store(true, Ordering::Relaxed);
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
    while shared.goes_on(group) {
        let router = shared.choose_router(group, rng);
        if last_router != Some(router) {
            connection = None;
            last_router = Some(router);
        }
        let (plan, mark) = shared.plan_call(group, rng);
        let sent = shared.started.elapsed();
        let answer = call(router, &mut connection, &plan).await;
        let is_complete = answer.verdict == CallVerdict::Complete;
        shared.note(index, sent, mark, &plan, answer);
        if !is_complete {
            tokio::time::sleep(REFUSED_PAUSE).await;
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
    while shared.goes_on(group) {
        let pause = -(1.0 - rng.random::<f64>()).ln() / rate;
        next += Duration::from_secs_f64(pause.min(5.0));
        tokio::time::sleep_until(next).await;
        while calls.try_join_next().is_some() {}
        let router = shared.choose_router(group, rng);
        let (plan, mark) = shared.plan_call(group, rng);
        let shared = Arc::clone(shared);
        calls.spawn(async move {
            let sent = shared.started.elapsed();
            let answer = call(router, &mut None, &plan).await;
            shared.note(index, sent, mark, &plan, answer);
        });
    }
    while calls.join_next().await.is_some() {}
}

impl LoadShared {
    fn goes_on(&self, group: &CallerGroup) -> bool {
        !self.is_over.load(Ordering::Relaxed) && self.started.elapsed() < group.span.1
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
        let number = self.next_mark.fetch_add(1, Ordering::Relaxed);
        let (least, greatest) = (f64::from(group.cost.0), f64::from(group.cost.1));
        let cost = (least * (greatest / least).powf(rng.random::<f64>())).round() as u32;
        let mark = if group.has_key {
            uuid::Uuid::now_v7().to_string()
        } else {
            number.to_string()
        };
        let mut headers = Vec::new();
        if group.has_key {
            headers.push(("idempotency-key".to_owned(), mark.clone()));
        }
        let body = if group.is_model {
            format!("{{\"prompt\":\"{mark}\",\"max_tokens\":{cost},\"stream\":true}}")
        } else {
            headers.push(("x-standin-ms".to_owned(), cost.to_string()));
            mark.clone()
        };
        let plan = CallPlan {
            path: group.path.clone(),
            token: format!("token-{}", group.customer),
            body,
            headers,
        };
        (plan, mark)
    }

    fn note(
        &self,
        group: usize,
        sent: Duration,
        mark: String,
        plan: &CallPlan,
        answer: CallAnswer,
    ) {
        let is_own = answer.verdict != CallVerdict::Complete || is_own_answer(plan, &answer.body);
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let record = CallRecord {
            group,
            sent,
            sent_ms: since.saturating_sub(answer.total).as_millis() as u64,
            mark,
            verdict: answer.verdict,
            status: answer.status,
            first_byte: answer.first_byte,
            total: answer.total,
            greatest_gap: answer.greatest_gap,
            is_own,
        };
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }
}

/// Tells whether an answer is whole and belongs to the request, by what the stand-ins answer.
fn is_own_answer(plan: &CallPlan, body: &[u8]) -> bool {
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
