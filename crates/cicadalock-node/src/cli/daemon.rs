use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use cicadalock_core::id::Incarnation;
use cicadalock_core::message::Hello;
use cicadalock_core::revision::{Document, DocumentKind};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use simplelog::{ConfigBuilder, WriteLogger};
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use crate::admin::AdminPort;
use crate::callers::CallerPort;
use crate::clock::ProcessClock;
use crate::endpoint::EndpointPort;
use crate::hub::{HubBuilder, HubInput, RouterInput, RouterRole, SidecarRole};
use crate::links::{LinkIdentity, LinkService};
use crate::metrics::{MetricsReporter, ProcessMetrics};
use crate::platform::{PlatformClient, PlatformWatcher};
use crate::settings::{ProcessSettings, RouterSettings, SidecarSettings};
use crate::trace::SpanSender;
use crate::wire::{FleetKey, KeyFileError, SharedRevisions};

/// Maximum number of inputs queued for the hub.
const HUB_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of commands queued for the endpoint port.
const COMMAND_QUEUE_CAPACITY: usize = 65_536;

/// Why a router or sidecar could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The fleet's key cannot be loaded.
    #[snafu(context(false), display("{source}"))]
    Key {
        /// Error of the key file.
        source: KeyFileError,
    },
    /// A listening socket cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to bind.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread or a socket cannot be created.
    #[snafu(context(false), display("{source}"))]
    System {
        /// Cause.
        source: std::io::Error,
    },
}

/// State that routers and sidecars have in common.
struct DaemonContext {
    clock: ProcessClock,
    incarnation: Incarnation,
    key: FleetKey,
    metrics: Arc<ProcessMetrics>,
    revisions: SharedRevisions,
    reader_flag: Arc<AtomicBool>,
    spans: SpanSender,
    reporter: Option<MetricsReporter>,
}

impl DaemonContext {
    fn prepare(role: &str, settings: &ProcessSettings) -> Result<Self, DaemonError> {
        init_logging(settings);
        let clock = ProcessClock::start();
        let metrics = Arc::new(ProcessMetrics::new());
        let reporter = match settings.metrics {
            Some(target) => Some(MetricsReporter::start(role, target, Arc::clone(&metrics))?),
            None => None,
        };
        let start_millis = clock.started().as_unix_millis();
        Ok(Self {
            clock,
            incarnation: Incarnation::from_start(start_millis, rand::random()),
            key: FleetKey::load(&settings.key_file)?,
            spans: SpanSender::new(
                settings.host.as_str(),
                settings.traces,
                Arc::clone(&metrics),
            )?,
            metrics,
            revisions: SharedRevisions::default(),
            reader_flag: Arc::new(AtomicBool::new(true)),
            reporter,
        })
    }

    fn link_identity(&self, settings: &ProcessSettings, service: &str) -> LinkIdentity {
        LinkIdentity::new(Hello {
            host: settings.host.to_string(),
            service: service.to_owned(),
            zone: settings.zone.to_string(),
            incarnation: self.incarnation.get(),
            nonce: Vec::new(),
            leaving: false,
        })
    }

    fn watch_platform<I: From<Document> + Send + 'static>(
        &self,
        settings: &ProcessSettings,
        hub: &flume::Sender<I>,
    ) -> Result<Vec<PlatformWatcher>, DaemonError> {
        let mut watchers = Vec::new();
        for kind in DocumentKind::ALL {
            if let Some(address) = settings.platform {
                let watcher = PlatformWatcher::builder(PlatformClient::new(address))
                    .revisions(self.revisions.clone())
                    .metrics(Arc::clone(&self.metrics))
                    .reader_flag(Arc::clone(&self.reader_flag))
                    .start(kind, hub.clone())?;
                watchers.push(watcher);
            }
        }
        Ok(watchers)
    }

    fn hub_builder(&self, settings: &ProcessSettings, identity: LinkIdentity) -> HubBuilder {
        HubBuilder::new(settings.clone(), self.clock, identity)
            .revisions(self.revisions.clone())
            .metrics(Arc::clone(&self.metrics))
            .reader_flag(Arc::clone(&self.reader_flag))
    }
}

/// Runs a router until a stop signal has been handled.
///
/// # Errors
///
/// Returns an error if the key cannot be loaded, or a socket or thread cannot be created.
pub(super) fn run_router(settings: RouterSettings) -> Result<(), DaemonError> {
    let process = &settings.process;
    let context = DaemonContext::prepare("router", process)?;
    let callers_listener = bind(settings.callers)?;
    let admin = bind(process.admin)?;
    let (hub, inputs) = flume::bounded(HUB_QUEUE_CAPACITY);
    let identity = context.link_identity(process, "");
    let links = LinkService::builder(identity.clone(), context.key.clone(), hub.clone())
        .revisions(context.revisions.clone())
        .metrics(Arc::clone(&context.metrics))
        .start()?;
    let (config_sender, config_receiver) = watch::channel(None);
    let role = RouterRole::new(config_sender, Arc::clone(&context.metrics));
    let watchers = context.watch_platform(process, &hub)?;
    let admin = AdminPort::start(admin, hub.clone())?;
    let port = CallerPort::builder(
        hub.clone(),
        config_receiver,
        context.spans.clone(),
        context.clock,
    )
    .connections(settings.connections)
    .metrics(Arc::clone(&context.metrics))
    .start(callers_listener)?;
    let stop_sender = hub.clone();
    let drain = process.drain.get();
    let signals = spawn_signal_thread(move || {
        // Gives the load balancer time to notice before the port closes; its requests still finish.
        let _ = stop_sender.send(HubInput::Stop);
        std::thread::sleep(drain);
        port.join();
        let _ = stop_sender.send(HubInput::Role(RouterInput::PortClosed));
    })?;
    drop(hub);
    let links = context
        .hub_builder(process, identity)
        .build(role, inputs, links)
        .run();
    links.join();
    join_threads(signals, watchers, admin, context);
    Ok(())
}

/// Runs a sidecar until a stop signal has been handled.
///
/// # Errors
///
/// Fails if the key, an address or a thread cannot be had.
pub(super) fn run_sidecar(settings: SidecarSettings) -> Result<(), DaemonError> {
    let process = &settings.process;
    let context = DaemonContext::prepare("sidecar", process)?;
    let listener = bind(settings.listen)?;
    let admin = bind(process.admin)?;
    let (hub, inputs) = flume::bounded(HUB_QUEUE_CAPACITY);
    let (commands, command_receiver) = flume::bounded(COMMAND_QUEUE_CAPACITY);
    let identity = context.link_identity(process, settings.service.as_str());
    let links = LinkService::builder(identity.clone(), context.key.clone(), hub.clone())
        .revisions(context.revisions.clone())
        .metrics(Arc::clone(&context.metrics))
        .listen(listener)
        .start()?;
    let endpoint = EndpointPort::builder(
        settings.endpoint,
        hub.clone(),
        context.spans.clone(),
        context.clock,
    )
    .metrics(Arc::clone(&context.metrics))
    .start(command_receiver)?;
    let host = process.host.clone();
    let role = SidecarRole::new(
        host,
        settings.service.clone(),
        context.incarnation,
        context.clock,
        commands,
    );
    let watchers = context.watch_platform(process, &hub)?;
    let admin = AdminPort::start(admin, hub.clone())?;
    let stop_sender = hub.clone();
    let signals = spawn_signal_thread(move || {
        let _ = stop_sender.send(HubInput::Stop);
    })?;
    drop(hub);
    let links = context
        .hub_builder(process, identity)
        .build(role, inputs, links)
        .run();
    // Joined before the links: finished calls may still send the ends of their responses.
    endpoint.join();
    links.join();
    join_threads(signals, watchers, admin, context);
    Ok(())
}

/// The thread that waits for SIGTERM or SIGINT.
struct SignalThread {
    handle: signal_hook::iterator::Handle,
    thread: std::thread::JoinHandle<()>,
}

fn spawn_signal_thread(
    on_signal: impl FnOnce() + Send + 'static,
) -> Result<SignalThread, DaemonError> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let thread = std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            if signals.forever().next().is_some() {
                on_signal();
            }
        })?;
    Ok(SignalThread { handle, thread })
}

fn join_threads(
    signals: SignalThread,
    watchers: Vec<PlatformWatcher>,
    admin: AdminPort,
    context: DaemonContext,
) {
    signals.handle.close();
    let _ = signals.thread.join();
    for watcher in watchers {
        watcher.join();
    }
    admin.join();
    if let Some(reporter) = context.reporter {
        reporter.join();
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

fn init_logging(settings: &ProcessSettings) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("cicadalock")
        .build();
    // Fails if a logger is already set, which then stays in use.
    let _ = WriteLogger::init(settings.log_level, config, std::io::stderr());
}
