use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cicadalock_core::gateway::StopWindow;
use cicadalock_core::id::StoreEra;
use cicadalock_core::serving::ListingState;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use super::accept::accept_all;
use super::config_record::ConfigCourse;
use super::dialect::GatewayDialect;
use super::gateway_metrics::{EndLabels, StateLabels};
use super::gateway_settings::GatewaySettings;
use super::metrics_port::MetricsPort;
use super::ready_port::serve_ready;
use super::shared::GatewayShared;
use super::store_follower::{FollowerTimes, StoreFollower, StoreUpdate};
use super::store_position::StorePosition;
use crate::clock::ProcessClock;
use crate::events::EventLog;
use crate::process::{ProcessError, bind, run_logged};

/// Maximum number of messages from other threads that wait for the runtime.
const INBOX_CAPACITY: usize = 64;

/// Mean delay before the store is read again after a failed read.
///
/// A few retries fit within the bounds of [`GatewayTimes`](super::GatewayTimes).
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time between the stop signal and the draining of connections.
///
/// Meanwhile the load balancer notices that the host is not ready, and callers are told to close
/// their connections. The balancer probes once a second and takes the host out after two failed
/// probes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Part of the grace period that is reserved for the shutdown of the process itself.
const EXIT_RESERVE: Duration = Duration::from_millis(700);

/// Interval at which the settings are read again, since they may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Message from another thread to the runtime.
enum RuntimeMessage {
    Store(Box<StoreUpdate>),
    Reload,
    Stop,
}

/// Runs a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings.
///
/// # Errors
///
/// Fails if the settings are unusable, an address cannot be bound or a thread cannot be started.
pub fn run_gateway<D: GatewayDialect>() -> Result<(), ProcessError> {
    let settings = D::load_settings().map_err(ProcessError::settings)?;
    let host = settings.host.clone();
    run_logged("gateway", &host, |log| run::<D>(settings, log))
}

fn run<D: GatewayDialect>(settings: GatewaySettings, log: EventLog) -> Result<(), ProcessError> {
    let callers = bind(settings.callers)?;
    let ready = bind(settings.ready)?;
    let counters = bind(settings.metrics)?;
    let clock = ProcessClock::start();
    let (sender, inbox) = flume::bounded(INBOX_CAPACITY);
    let ended = Arc::new(AtomicBool::new(false));
    let follower = spawn_follower::<D>(&settings, clock, sender.clone(), Arc::clone(&ended))?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let signal_handle = signals.handle();
    let signal_thread = std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                let message = if signal == SIGHUP {
                    RuntimeMessage::Reload
                } else {
                    RuntimeMessage::Stop
                };
                if sender.send(message).is_err() {
                    return;
                }
            }
        })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let shared = GatewayShared::new(settings, log, clock);
    let metrics = MetricsPort::start(counters, Arc::clone(&shared.metrics))?;
    let local = LocalSet::new();
    let result = runtime.block_on(local.run_until(async {
        callers.set_nonblocking(true)?;
        ready.set_nonblocking(true)?;
        let callers = TcpListener::from_std(callers)?;
        let ready = TcpListener::from_std(ready)?;
        supervise::<D>(&shared, callers, ready, inbox).await;
        Ok::<(), io::Error>(())
    }));
    drop(local);
    ended.store(true, Ordering::Relaxed);
    signal_handle.close();
    // A thread that panicked has ended as well.
    let _ = signal_thread.join();
    let _ = follower.join();
    metrics.join();
    Ok(result?)
}

/// Serves until the stop signal, then gives the requests in progress the grace period to finish.
async fn supervise<D: GatewayDialect>(
    shared: &Rc<GatewayShared>,
    callers: TcpListener,
    ready: TcpListener,
    inbox: flume::Receiver<RuntimeMessage>,
) {
    let (drain, end) = (CancellationToken::new(), CancellationToken::new());
    let timer_shared = Rc::clone(shared);
    let timer = tokio::task::spawn_local(async move { timer_shared.run_timer().await });
    let lag_shared = Rc::clone(shared);
    let lag = tokio::task::spawn_local(async move { lag_shared.watch_lag().await });
    let balancer = tokio::task::spawn_local(serve_ready(Rc::clone(shared), ready));
    let accept = accept_all::<D>(Rc::clone(shared), callers, drain.clone(), end.clone());
    let accept = tokio::task::spawn_local(accept);
    let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            message = inbox.recv_async() => match message {
                Ok(RuntimeMessage::Store(update)) => apply_update(shared, *update),
                Ok(RuntimeMessage::Reload) => reload::<D>(shared),
                Ok(RuntimeMessage::Stop) | Err(_) => break,
            },
            _ = settings_poll.tick() => {
                reload::<D>(shared);
                shared.metrics.dropped_lines.set(shared.log.dropped() as i64);
            }
        }
    }
    let stopped = tokio::time::Instant::now();
    let grace = shared
        .settings
        .borrow()
        .times
        .grace
        .saturating_sub(EXIT_RESERVE);
    let window = StopWindow::new(shared.now(), grace);
    shared.stop_window.set(Some(window));
    shared
        .log
        .write("stopping", json!({"grace_ms": grace.as_millis() as u64}));
    let store_shared = Rc::clone(shared);
    let store_task = tokio::task::spawn_local(async move {
        while let Ok(message) = inbox.recv_async().await {
            if let RuntimeMessage::Store(update) = message {
                apply_update(&store_shared, *update);
            }
        }
    });
    tokio::time::sleep_until(stopped + DRAIN_DELAY.min(grace)).await;
    drain.cancel();
    let mut accept = accept;
    let is_idle = tokio::time::timeout_at(stopped + grace, &mut accept)
        .await
        .is_ok();
    if !is_idle {
        shared.log.write("grace-over", json!({}));
        end.cancel();
        // Waits until the remaining connections are closed; a panic of the task changes nothing.
        let _ = accept.await;
    }
    for task in [timer, lag, balancer, store_task] {
        task.abort();
    }
    shared.desks.end();
}

/// Logs what a read of the store returned and passes it to the runtime's tasks.
fn apply_update(shared: &Rc<GatewayShared>, update: StoreUpdate) {
    let result = update.failure.as_ref().map_or("good", |_| "failed");
    shared
        .metrics
        .reads
        .get_or_create(&EndLabels::new(result))
        .inc();
    if let Some((error, is_first)) = &update.failure
        && *is_first
    {
        let age = shared.store_data_age().map(|age| age.as_millis() as u64);
        shared.log.write(
            "store-lost",
            json!({"problem": error.to_string(), "age_ms": age}),
        );
    }
    if let Some(outage) = update.ended_outage {
        let outage = outage.as_millis() as u64;
        shared.log.write(
            "store-regained",
            json!({"after_ms": outage, "revision": update.revision.get()}),
        );
    }
    if update.is_listing {
        shared.metrics.listings.inc();
    }
    if let Some(restored) = &update.restored {
        shared.metrics.restores.inc();
        let era = |position: StorePosition| position.era.map(StoreEra::get);
        shared.log.write(
            "store-restored",
            json!({
                "former_era": era(restored.former),
                "era": era(restored.present),
                "former_revision": restored.former.revision.get(),
                "revision": restored.present.revision.get(),
            }),
        );
    }
    for problem in &update.problems {
        shared.log.write(
            "store-problem",
            json!({"problem": problem, "revision": update.revision.get()}),
        );
    }
    if let Some(config) = &update.config {
        shared.log.write(
            "config",
            json!({"version": config.version(), "routes": config.routes().len(), "revision": update.revision.get()}),
        );
    }
    if let Some(course) = update.config_course {
        log_config_course(shared, course);
    }
    for change in &update.changes {
        let state = change.kind.name();
        shared
            .metrics
            .endpoint_changes
            .get_or_create(&StateLabels { state })
            .inc();
        shared.log.write(
            "endpoint",
            json!({
                "endpoint": change.endpoint.as_str(),
                "state": state,
                "started": change.started,
                "heartbeat": change.heartbeat,
                "revision": update.revision.get(),
            }),
        );
    }
    if let Some(list) = &update.endpoints {
        let draining = list
            .iter()
            .filter(|(_, entry)| entry.state == ListingState::Draining);
        let draining: Vec<&str> = draining.map(|(id, _)| id.as_str()).collect();
        shared.log.write(
            "endpoints",
            json!({"count": list.len(), "draining": draining, "revision": update.revision.get()}),
        );
    }
    shared.apply_store_update(update);
}

fn log_config_course(shared: &GatewayShared, course: ConfigCourse) {
    match course {
        ConfigCourse::Behind { version, shown } => {
            shared.metrics.is_config_behind.set(1);
            shared
                .log
                .write("config-behind", json!({"version": version, "shown": shown}));
        }
        ConfigCourse::CaughtUp { version } => {
            shared.metrics.is_config_behind.set(0);
            shared
                .log
                .write("config-caught-up", json!({"version": version}));
        }
    }
}

/// Reads the settings again; keeps the current ones if the new ones are unusable.
fn reload<D: GatewayDialect>(shared: &GatewayShared) {
    match D::load_settings() {
        Ok(settings) => {
            let mut current = shared.settings.borrow_mut();
            if *current != settings {
                shared.log.write("reload", json!({"result": "changed"}));
                *current = settings;
            }
        }
        Err(error) => {
            shared.log.write(
                "reload",
                json!({"result": "kept", "problem": error.to_string()}),
            );
        }
    }
}

/// Returns a random delay around [`STORE_RETRY_DELAY`].
///
/// The store refuses what exceeds its rate, and routers that it refused together would come back together.
fn store_retry_delay() -> Duration {
    STORE_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())
}

/// Starts the thread that follows the store and sends its updates to the runtime.
fn spawn_follower<D: GatewayDialect>(
    settings: &GatewaySettings,
    clock: ProcessClock,
    sender: flume::Sender<RuntimeMessage>,
    ended: Arc<AtomicBool>,
) -> io::Result<std::thread::JoinHandle<()>> {
    let pause = settings.times.store_read_interval();
    let times = FollowerTimes {
        wait: settings.times.store_wait(),
        drain: settings.times.drain,
        lease: settings.times.lease(),
        token_age: settings.times.max_token_data_age(),
    };
    let mut follower = StoreFollower::new(D::open_store(settings), times);
    std::thread::Builder::new()
        .name("store".into())
        .spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let started_at = clock.now();
                let step = follower.step(|| clock.now());
                let pause = match (&step.failure, step.confirmed_at) {
                    (Some(_), _) => store_retry_delay(),
                    (None, None) => Duration::ZERO,
                    (None, Some(_)) => pause.saturating_sub(clock.now().since(started_at)),
                };
                if sender.send(RuntimeMessage::Store(Box::new(step))).is_err() {
                    return;
                }
                std::thread::sleep(pause);
            }
        })
}
