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

use super::documents::{AcceptedDocument, DocumentKeeper};
use super::{HubInput, LinkTable};
use crate::clock::ProcessClock;
use crate::links::{LinkEvent, LinkIdentity, LinkService};
use crate::metrics::{Metric, ProcessMetrics};
use crate::platform::is_reader;
use crate::settings::ProcessSettings;
use crate::wire::RevisionGauge;

/// Inputs taken from the ring before actions are carried out.
const BATCH_LIMIT: usize = 256;

/// What a router and a sidecar do differently.
pub trait HubRole {
    /// Inputs of the role.
    type Input;

    /// Takes in a proven connection.
    fn link_up(&mut self, link: LinkId, hello: &Hello, dialled: bool, now: ClockTime);

    /// Notes the loss of a connection.
    fn link_down(&mut self, link: LinkId, now: ClockTime);

    /// Takes in a message.
    fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime);

    /// Notes that nothing listens at the address of a host.
    fn peer_refused(&mut self, host: &HostName);

    /// Takes in an input of the role.
    fn input(&mut self, input: Self::Input, now: ClockTime);

    /// Takes a configuration into force.
    fn set_config(&mut self, config: &Arc<FleetConfig>);

    /// Takes a host list into force.
    fn set_hosts(&mut self, hosts: &HostList, revision: Revision);

    /// Internal addresses to keep connected.
    fn targets(&self, hosts: &HostList) -> Vec<SocketAddr>;

    /// Lets time pass.
    fn tick(&mut self, now: ClockTime);

    /// When time is to pass next.
    fn next_wake(&self) -> ClockTime;

    /// Carries out what is to be done.
    fn act(&mut self, links: &mut LinkTable, now: ClockTime);

    /// Begins a planned stop.
    fn stop(&mut self);

    /// Tells whether nothing is in progress.
    fn is_idle(&self) -> bool;

    /// What the role believes, for the status.
    fn status(&self, now: ClockTime) -> Value;
}

/// Runs a role until it is stopped.
#[derive(Debug)]
pub struct HubLoop<R: HubRole> {
    role: R,
    ring: flume::Receiver<HubInput<R::Input>>,
    links: LinkTable,
    keeper: DocumentKeeper,
    hosts: HostList,
    service: LinkService,
    context: HubBuilder,
    stop_deadline: Option<ClockTime>,
}

/// Collects what a [`HubLoop`] needs.
#[derive(Debug)]
pub struct HubBuilder {
    settings: ProcessSettings,
    clock: ProcessClock,
    identity: LinkIdentity,
    revisions: RevisionGauge,
    metrics: Arc<ProcessMetrics>,
    reader_mark: Arc<AtomicBool>,
}

impl HubBuilder {
    /// Creates a builder for a process with `settings`.
    #[must_use]
    pub fn new(settings: ProcessSettings, clock: ProcessClock, identity: LinkIdentity) -> Self {
        Self {
            settings,
            clock,
            identity,
            revisions: RevisionGauge::default(),
            metrics: Arc::new(ProcessMetrics::new()),
            reader_mark: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Sets the gauge of the revisions in force.
    #[must_use]
    pub fn revisions(mut self, revisions: RevisionGauge) -> Self {
        self.revisions = revisions;
        self
    }

    /// Sets the counters.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the mark that tells whether this process watches the platform.
    #[must_use]
    pub fn reader_mark(mut self, mark: Arc<AtomicBool>) -> Self {
        self.reader_mark = mark;
        self
    }

    /// Builds the loop of `role`, which is fed by `ring`.
    #[must_use]
    pub fn build<R: HubRole>(
        self,
        role: R,
        ring: flume::Receiver<HubInput<R::Input>>,
        service: LinkService,
    ) -> HubLoop<R> {
        HubLoop {
            role,
            ring,
            links: LinkTable::new(Arc::clone(&self.metrics)),
            keeper: DocumentKeeper::new(&self.settings.site),
            hosts: HostList::default(),
            service,
            context: self,
            stop_deadline: None,
        }
    }
}

impl<R: HubRole> HubLoop<R> {
    /// Runs until a planned stop is complete, and returns the connections, which are still open.
    #[must_use]
    pub fn run(mut self) -> LinkService {
        self.update_targets();
        loop {
            let now = self.context.clock.now();
            let pause = self.role.next_wake().since(now);
            match self.ring.recv_timeout(pause) {
                Ok(input) => self.take_batch(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => break,
            }
            let now = self.context.clock.now();
            self.role.tick(now);
            self.role.act(&mut self.links, now);
            if self.is_stopped(now) {
                break;
            }
        }
        // The role's other threads end when they find its rings gone.
        self.service
    }

    fn take_batch(&mut self, first: HubInput<R::Input>) {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next {
            self.take(input);
            count += 1;
            next = if count < BATCH_LIMIT {
                self.ring.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn take(&mut self, input: HubInput<R::Input>) {
        let now = self.context.clock.now();
        match input {
            HubInput::Link(event) => self.take_link(event, now),
            HubInput::Document(document) => self.take_document(document),
            HubInput::Role(input) => self.role.input(input, now),
            HubInput::Status(reply) => {
                let _ = reply.try_send(self.status(now));
            }
            HubInput::Stop => self.begin_stop(now),
        }
    }

    fn take_link(&mut self, event: LinkEvent, now: ClockTime) {
        match event {
            LinkEvent::Up {
                link,
                hello,
                outbox,
                dialled,
            } => {
                info!("link {link} to {} is up", hello.host);
                let _ = outbox.try_send(None);
                self.links.insert(link, outbox);
                self.role.link_up(link, &hello, dialled, now);
            }
            LinkEvent::Frame { link, envelope } => self.take_frame(link, envelope, now),
            LinkEvent::Down { link } => {
                info!("link {link} is down");
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

    fn take_frame(&mut self, link: LinkId, envelope: Envelope, now: ClockTime) {
        if self.links.get(link).is_none() {
            return;
        }
        let revisions = [
            (DocumentKind::Config, envelope.config_revision),
            (DocumentKind::Hosts, envelope.hosts_revision),
        ];
        for (kind, revision) in revisions {
            if self.keeper.wants(kind, revision, now) {
                let kind = kind.to_wire();
                self.links
                    .send(link, PeerMessage::Fetch(FetchDocument { kind }));
            }
        }
        match envelope.message {
            None => {}
            Some(PeerMessage::Fetch(fetch)) => self.send_document(link, fetch.kind),
            Some(PeerMessage::Document(message)) => self.take_message_document(message),
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
        if let Some(document) = self.keeper.get(kind) {
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

    fn take_message_document(&mut self, message: DocumentMessage) {
        let Some(kind) = DocumentKind::from_wire(message.kind) else {
            self.context.metrics.add(Metric::UnknownFrames, 1);
            return;
        };
        let revision = Revision::new(message.revision);
        self.take_document(Document::new(kind, revision, Arc::from(message.text)));
    }

    fn take_document(&mut self, document: Document) {
        let (kind, revision) = (document.kind, document.revision);
        let is_newer = revision > self.keeper.revision(kind);
        match self.keeper.offer(document) {
            Some(AcceptedDocument::Config(config)) => self.role.set_config(&config),
            Some(AcceptedDocument::Hosts(hosts, revision)) => {
                self.role.set_hosts(&hosts, revision);
                self.hosts = hosts;
                let mark = is_reader(&self.hosts, &self.context.settings.host);
                self.context.reader_mark.store(mark, Ordering::Relaxed);
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
        self.links.announce();
    }

    fn report_rejection(&self, kind: DocumentKind) {
        let Some((revision, findings)) = self.keeper.rejected(kind) else {
            return;
        };
        self.context.metrics.add(Metric::DocumentsRejected, 1);
        self.context
            .metrics
            .add(Metric::Findings, findings.len() as u64);
        warn!(
            "{kind} revision {revision} is rejected: {}",
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
            self.keeper.rejected(kind).map(
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
            "is_reader": self.context.reader_mark.load(Ordering::Relaxed),
            "config_revision": self.keeper.revision(DocumentKind::Config).get(),
            "hosts_revision": self.keeper.revision(DocumentKind::Hosts).get(),
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
