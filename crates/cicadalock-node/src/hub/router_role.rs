use std::net::SocketAddr;
use std::sync::Arc;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::{HostName, LinkId, RequestId, Revision};
use cicadalock_core::member::{HostList, HostRole};
use cicadalock_core::message::{Hello, PeerMessage};
use cicadalock_core::router::{CallerEvent, CallerRequest, RouterAction, RouterMachine};
use cicadalock_core::time::ClockTime;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{HubRole, LinkTable};
use crate::metrics::{Metric, ProcessMetrics};

/// An input from the port that accepts callers' requests.
#[derive(Debug)]
pub enum RouterInput {
    /// New request of a caller.
    Submit {
        /// Identifier of the request within this process.
        id: RequestId,
        /// Parsed request.
        call: Box<CallerRequest>,
        /// Channel that receives the events of the response.
        reply: flume::Sender<CallerEvent>,
    },
    /// The caller has disconnected before the end of its response.
    CallerDisconnected(RequestId),
    /// Flow-control credit: window units of the response that the caller has consumed.
    Credit(RequestId, u32),
    /// The callers' port is closed and all of its requests have ended.
    PortClosed,
}

/// Connects the router's state machine to the hub's event loop.
#[derive(Debug)]
pub struct RouterRole {
    machine: RouterMachine,
    replies: SortedMap<RequestId, flume::Sender<CallerEvent>>,
    config: watch::Sender<Option<Arc<FleetConfig>>>,
    metrics: Arc<ProcessMetrics>,
    is_port_closed: bool,
}

impl RouterRole {
    /// Creates the role; publishes the configuration in force through `config`.
    #[must_use]
    pub fn new(
        config: watch::Sender<Option<Arc<FleetConfig>>>,
        metrics: Arc<ProcessMetrics>,
    ) -> Self {
        Self {
            machine: RouterMachine::new(rand::random()),
            replies: SortedMap::new(),
            config,
            metrics,
            is_port_closed: false,
        }
    }

    fn answer(&mut self, request: RequestId, event: CallerEvent, now: ClockTime) {
        let is_last = event.is_last();
        let Some(reply) = self.replies.get(&request) else {
            return;
        };
        let is_delivered = reply.try_send(event).is_ok();
        if is_last {
            self.replies.remove(&request);
        } else if !is_delivered {
            self.replies.remove(&request);
            self.machine.caller_gone(request, now);
        }
    }
}

impl HubRole for RouterRole {
    type Input = RouterInput;

    fn link_up(&mut self, link: LinkId, hello: &Hello, _dialled: bool, now: ClockTime) {
        if let (Ok(host), Ok(service)) = (hello.host.parse(), hello.service.parse()) {
            self.machine
                .link_up(link, host, service, hello.leaving, now);
        }
    }

    fn link_down(&mut self, link: LinkId, now: ClockTime) {
        self.machine.link_down(link, now);
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime) {
        self.machine.receive(link, message, now);
    }

    /// Does nothing: a router detects a lost sidecar by the end of its connection.
    fn peer_refused(&mut self, _host: &HostName) {}

    fn handle_input(&mut self, input: RouterInput, now: ClockTime) {
        match input {
            RouterInput::Submit { id, call, reply } => {
                self.replies.insert(id, reply);
                self.machine.submit(id, *call, now);
            }
            RouterInput::CallerDisconnected(id) => {
                if self.replies.remove(&id).is_some() {
                    self.metrics.add(Metric::CallerGone, 1);
                    self.machine.caller_gone(id, now);
                }
            }
            RouterInput::Credit(id, units) => self.machine.credit(id, units),
            RouterInput::PortClosed => self.is_port_closed = true,
        }
    }

    fn set_config(&mut self, config: &Arc<FleetConfig>) {
        self.machine.set_config(Arc::clone(config));
        self.config.send_replace(Some(Arc::clone(config)));
    }

    fn set_hosts(&mut self, hosts: &HostList, _revision: Revision) {
        self.machine.set_hosts(hosts.clone());
    }

    fn targets(&self, hosts: &HostList) -> Vec<SocketAddr> {
        let sidecars = hosts
            .hosts()
            .iter()
            .filter(|host| matches!(host.role, HostRole::Sidecar(_)));
        sidecars.map(|host| host.address).collect()
    }

    fn tick(&mut self, now: ClockTime) {
        self.machine.tick(now);
        self.metrics.set(Metric::Retries, self.machine.retries());
    }

    fn next_wake(&self) -> ClockTime {
        self.machine.next_wake()
    }

    fn run_actions(&mut self, links: &mut LinkTable, now: ClockTime) {
        for action in self.machine.take_actions(now) {
            match action {
                RouterAction::Send { link, message } => links.send(link, message),
                RouterAction::Close(link) => links.close(link),
                RouterAction::Answer { request, event } => self.answer(request, event, now),
            }
        }
    }

    /// Does nothing: the callers' port serves until its requests have ended.
    fn stop(&mut self) {}

    fn is_idle(&self) -> bool {
        self.is_port_closed && self.replies.is_empty()
    }

    fn status(&self, _now: ClockTime) -> Value {
        let config = self.config.borrow();
        let customer = |id| {
            let known = config.as_ref().and_then(|config| config.customer(id));
            known.map_or_else(|| id.to_string(), |customer| customer.name.to_string())
        };
        let kind = |id| {
            let known = config.as_ref().and_then(|config| config.kind(id));
            known.map_or_else(|| id.to_string(), |kind| kind.name.to_string())
        };
        let queues = self.machine.queues().map(|queue| {
            json!({
                "customer": customer(queue.customer),
                "kind": kind(queue.kind),
                "waiting": queue.count,
            })
        });
        let peers = self.machine.links().map(|link| {
            json!({
                "host": link.host.as_str(),
                "service": link.service.as_str(),
                "is_eligible": link.is_eligible,
                "outstanding": link.outstanding,
            })
        });
        json!({
            "name": "router",
            "held": self.machine.held(),
            "queues": queues.collect::<Vec<_>>(),
            "peers": peers.collect::<Vec<_>>(),
        })
    }
}
