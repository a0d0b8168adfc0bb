use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::{HostName, LinkId, Revision};
use cicadalock_core::member::HostList;
use cicadalock_core::message::{DocumentMessage, Envelope, FetchDocument, Hello, PeerMessage};
use cicadalock_core::revision::{Document, DocumentKind};
use cicadalock_core::time::ClockTime;
use log::{info, warn};
use serde_json::{Value, json};

use super::documents::{AcceptedDocument, DocumentRegistry};
use super::{HubInput, LinkTable};
use crate::clock::ProcessClock;
use crate::links::{LinkEvent, LinkIdentity, LinkService};
use crate::metrics::{Metric, ProcessMetrics};
use crate::platform::is_reader;
use crate::settings::ProcessSettings;
use crate::wire::SharedRevisions;

/// Maximum number of inputs handled before the role's actions run.
const MAX_BATCH_INPUTS: usize = 256;

/// The part of the event loop that differs between a router and a sidecar.
pub trait HubRole {
    /// Role-specific inputs of the event loop.
    type Input;

    /// Handles a new authenticated connection; `dialled` if this process opened it.
    fn link_up(&mut self, link: LinkId, hello: &Hello, dialled: bool, now: ClockTime);

    /// Handles the end of a connection.
    fn link_down(&mut self, link: LinkId, now: ClockTime);

    /// Handles a message from a peer.
    fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime);

    /// Handles a refused connection attempt: no process listens at the address of `host`.
    fn peer_refused(&mut self, host: &HostName);

    /// Handles a role-specific input.
    fn handle_input(&mut self, input: Self::Input, now: ClockTime);

    /// Applies a new configuration.
    fn set_config(&mut self, config: &Arc<FleetConfig>);

    /// Applies a new host list.
    fn set_hosts(&mut self, hosts: &HostList, revision: Revision);

    /// Returns the internal addresses to keep connections to.
    fn targets(&self, hosts: &HostList) -> Vec<SocketAddr>;

    /// Advances the role's timers to `now`.
    fn tick(&mut self, now: ClockTime);

    /// Returns the time at which [`tick`](Self::tick) is due next.
    fn next_wake(&self) -> ClockTime;

    /// Runs the pending actions of the role's state machine.
    fn run_actions(&mut self, links: &mut LinkTable, now: ClockTime);

    /// Begins a graceful stop.
    fn stop(&mut self);

    /// Returns whether no work is in progress, so that a graceful stop can complete.
    fn is_idle(&self) -> bool;

    /// Returns the role's part of the status report.
    fn status(&self, now: ClockTime) -> Value;
}

/// Event loop that runs a role until a graceful stop completes.
#[derive(Debug)]
pub struct HubLoop<R: HubRole> {
    role: R,
    inputs: flume::Receiver<HubInput<R::Input>>,
    links: LinkTable,
    registry: DocumentRegistry,
    hosts: HostList,
    service: LinkService,
    context: HubBuilder,
    stop_deadline: Option<ClockTime>,
}

/// Builder of a [`HubLoop`].
#[derive(Debug)]
pub struct HubBuilder {
    settings: ProcessSettings,
    clock: ProcessClock,
    identity: LinkIdentity,
    revisions: SharedRevisions,
    metrics: Arc<ProcessMetrics>,
    reader_flag: Arc<AtomicBool>,
}

impl HubBuilder {
    /// Creates a builder for a process with `settings`.
    #[must_use]
    pub fn new(settings: ProcessSettings, clock: ProcessClock, identity: LinkIdentity) -> Self {
        Self {
            settings,
            clock,
            identity,
            revisions: SharedRevisions::default(),
            metrics: Arc::new(ProcessMetrics::new()),
            reader_flag: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Sets the shared revisions in force, which the loop updates.
    #[must_use]
    pub fn revisions(mut self, revisions: SharedRevisions) -> Self {
        self.revisions = revisions;
        self
    }

    /// Sets the counters that the loop updates and reports.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the flag that holds whether this process watches the platform; the loop updates it.
    #[must_use]
    pub fn reader_flag(mut self, flag: Arc<AtomicBool>) -> Self {
        self.reader_flag = flag;
        self
    }

    /// Builds the event loop of `role`, which receives from `inputs`.
    #[must_use]
    pub fn build<R: HubRole>(
        self,
        role: R,
        inputs: flume::Receiver<HubInput<R::Input>>,
        service: LinkService,
    ) -> HubLoop<R> {
        HubLoop {
            role,
            inputs,
            links: LinkTable::new(Arc::clone(&self.metrics)),
            registry: DocumentRegistry::new(&self.settings.site),
            hosts: HostList::default(),
            service,
            context: self,
            stop_deadline: None,
        }
    }
}

impl<R: HubRole> HubLoop<R> {
    /// Runs until a graceful stop completes, its deadline passes or all senders of inputs are gone.
    ///
    /// Returns the connections, which are still open.
    #[must_use]
    pub fn run(mut self) -> LinkService {
        self.update_targets();
        loop {
            let now = self.context.clock.now();
            let pause = self.role.next_wake().since(now);
            match self.inputs.recv_timeout(pause) {
                Ok(input) => self.handle_batch(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => break,
            }
            let now = self.context.clock.now();
            self.role.tick(now);
            self.role.run_actions(&mut self.links, now);
            if self.is_stopped(now) {
                break;
            }
        }
        // Returning drops the channels of the role, which ends its other threads.
        self.service
    }

    fn handle_batch(&mut self, first: HubInput<R::Input>) {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next {
            self.handle(input);
            count += 1;
            next = if count < MAX_BATCH_INPUTS {
                self.inputs.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn handle(&mut self, input: HubInput<R::Input>) {
        let now = self.context.clock.now();
        match input {
            HubInput::Link(event) => self.handle_link_event(event, now),
            HubInput::Document(document) => self.apply_document(document),
            HubInput::Role(input) => self.role.handle_input(input, now),
            HubInput::Status(reply) => {
                let _ = reply.try_send(self.status(now));
            }
            HubInput::Stop => self.begin_stop(now),
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent, now: ClockTime) {
        match event {
            LinkEvent::Up {
                link,
                hello,
                outbox,
                dialled,
            } => {
                info!("connection {link} to {} established", hello.host);
                let _ = outbox.try_send(None);
                self.links.insert(link, outbox);
                self.role.link_up(link, &hello, dialled, now);
            }
            LinkEvent::Frame { link, envelope } => self.handle_frame(link, envelope, now),
            LinkEvent::Down { link } => {
                info!("connection {link} closed");
                self.links.close(link);
                self.role.link_down(link, now);
            }
            LinkEvent::Refused { address } => {
                let refusing = self
                    .hosts
                    .hosts()
                    .iter()
                    .filter(|host| host.address == address);
                refusing.for_each(|host| self.role.peer_refused(&host.name));
            }
        }
    }

    fn handle_frame(&mut self, link: LinkId, envelope: Envelope, now: ClockTime) {
        if self.links.get(link).is_none() {
            return;
        }
        let revisions = [
            (DocumentKind::Config, envelope.config_revision),
            (DocumentKind::Hosts, envelope.hosts_revision),
        ];
        for (kind, revision) in revisions {
            if self.registry.should_fetch(kind, revision, now) {
                let kind = kind.to_wire();
                self.links
                    .send(link, PeerMessage::Fetch(FetchDocument { kind }));
            }
        }
        match envelope.message {
            None => {}
            Some(PeerMessage::Fetch(fetch)) => self.send_document(link, fetch.kind),
            Some(PeerMessage::Document(message)) => self.receive_document(message),
            Some(PeerMessage::Hello(_) | PeerMessage::Proof(_)) => {
                self.context.metrics.add(Metric::UnknownFrames, 1);
            }
            Some(message) => self.role.receive(link, message, now),
        }
    }

    fn send_document(&self, link: LinkId, kind: u32) {
        let Some(kind) = DocumentKind::from_wire(kind) else {
            self.context.metrics.add(Metric::UnknownFrames, 1);
            return;
        };
        if let Some(document) = self.registry.get(kind) {
            self.links.send(
                link,
                PeerMessage::Document(DocumentMessage {
                    kind: kind.to_wire(),
                    revision: document.revision.get(),
                    text: document.text.to_string(),
                }),
            );
        }
    }

    fn receive_document(&mut self, message: DocumentMessage) {
        let Some(kind) = DocumentKind::from_wire(message.kind) else {
            self.context.metrics.add(Metric::UnknownFrames, 1);
            return;
        };
        let revision = Revision::new(message.revision);
        self.apply_document(Document::new(kind, revision, Arc::from(message.text)));
    }

    fn apply_document(&mut self, document: Document) {
        let (kind, revision) = (document.kind, document.revision);
        let is_newer = revision > self.registry.revision(kind);
        match self.registry.offer(document) {
            Some(AcceptedDocument::Config(config)) => self.role.set_config(&config),
            Some(AcceptedDocument::Hosts(hosts, revision)) => {
                self.role.set_hosts(&hosts, revision);
                self.hosts = hosts;
                let watches_platform = is_reader(&self.hosts, &self.context.settings.host);
                self.context
                    .reader_flag
                    .store(watches_platform, Ordering::Relaxed);
                self.update_targets();
            }
            None => {
                if is_newer {
                    self.report_rejection(kind);
                }
                return;
            }
        }
        info!("{kind} revision {revision} is in force");
        self.context.metrics.add(Metric::DocumentsAccepted, 1);
        self.context.revisions.set(kind, revision);
        self.links.announce_revisions();
    }

    fn report_rejection(&self, kind: DocumentKind) {
        let Some((revision, findings)) = self.registry.rejected(kind) else {
            return;
        };
        self.context.metrics.add(Metric::DocumentsRejected, 1);
        self.context
            .metrics
            .add(Metric::Findings, findings.len() as u64);
        warn!(
            "rejected {kind} revision {revision}: {}",
            findings.join("; ")
        );
    }

    fn update_targets(&self) {
        let mut targets = self.role.targets(&self.hosts);
        targets.extend(&self.context.settings.seeds);
        self.service.set_targets(targets);
    }

    fn begin_stop(&mut self, now: ClockTime) {
        if self.stop_deadline.is_some() {
            return;
        }
        info!("stopping");
        self.stop_deadline = Some(now + self.context.settings.stop_limit.get());
        self.context.identity.set_leaving(true);
        self.role.stop();
    }

    fn is_stopped(&self, now: ClockTime) -> bool {
        self.stop_deadline
            .is_some_and(|deadline| self.role.is_idle() || now >= deadline)
    }

    fn status(&self, now: ClockTime) -> Value {
        let rejected = |kind| {
            self.registry.rejected(kind).map(
                |(revision, findings)| json!({ "revision": revision.get(), "findings": findings }),
            )
        };
        let metrics = &self.context.metrics;
        let counters = Metric::ALL
            .iter()
            .map(|metric| (metric.name(), metrics.get(*metric)));
        let traffic = metrics.traffic().map(|count| {
            let (sent, received) = (count.sent, count.received);
            (
                count.name,
                json!({ "sent": [sent.0, sent.1], "received": [received.0, received.1] }),
            )
        });
        json!({
            "host": self.context.settings.host.as_str(),
            "zone": self.context.settings.zone.as_str(),
            "is_stopping": self.stop_deadline.is_some(),
            "is_reader": self.context.reader_flag.load(Ordering::Relaxed),
            "config_revision": self.registry.revision(DocumentKind::Config).get(),
            "hosts_revision": self.registry.revision(DocumentKind::Hosts).get(),
            "rejected_config": rejected(DocumentKind::Config),
            "rejected_hosts": rejected(DocumentKind::Hosts),
            "role": self.role.status(now),
            "counters": counters.map(|(name, value)| (name.to_owned(), Value::from(value)))
                .collect::<serde_json::Map<_, _>>(),
            "traffic": traffic.map(|(name, value)| (name.to_owned(), value))
                .collect::<serde_json::Map<_, _>>(),
        })
    }
}
