use std::net::SocketAddr;
use std::sync::Arc;

use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::{GrantId, HostName, Incarnation, LinkId, Revision, ServiceName};
use cicadalock_core::member::HostList;
use cicadalock_core::message::{Hello, PeerMessage};
use cicadalock_core::sidecar::{CallResult, RunCommand, SidecarAction, SidecarMachine};
use cicadalock_core::time::{ClockTime, WallTime};
use serde_json::{Value, json};

use super::{HubRole, LinkTable};
use crate::clock::ProcessClock;
use crate::endpoint::{CallCommand, EndpointCommand};

/// An input from the thread that calls the endpoint.
#[derive(Debug)]
pub enum SidecarInput {
    /// Cost so far of a running call.
    Progress(GrantId, i64),
    /// Result and total cost of a call that has ended.
    Ended(GrantId, CallResult, i64),
}

/// Connects the sidecar's state machine to the hub's event loop.
#[derive(Debug)]
pub struct SidecarRole {
    machine: SidecarMachine,
    clock: ProcessClock,
    host: HostName,
    service: ServiceName,
    incarnation: Incarnation,
    commands: flume::Sender<EndpointCommand>,
}

impl SidecarRole {
    /// Creates the role of the sidecar on `host`; sends the commands for its endpoint to `commands`.
    #[must_use]
    pub fn new(
        host: HostName,
        service: ServiceName,
        incarnation: Incarnation,
        clock: ProcessClock,
        commands: flume::Sender<EndpointCommand>,
    ) -> Self {
        let machine = SidecarMachine::builder(host.clone(), service.clone())
            .incarnation(incarnation)
            .started(clock.started())
            .build();
        Self {
            machine,
            clock,
            host,
            service,
            incarnation,
            commands,
        }
    }

    fn start(&mut self, command: RunCommand, links: &LinkTable, now: ClockTime) {
        let (Some(outbox), Some(config)) = (links.get(command.link), self.machine.config()) else {
            self.machine
                .finish_call(command.grant, CallResult::TooLate, 0, now);
            return;
        };
        let customer = config.customer(command.customer);
        let kind = config.kind(command.kind);
        let service = config.service(&self.service);
        let (Some(customer), Some(kind), Some(service)) = (customer, kind, service) else {
            self.machine
                .finish_call(command.grant, CallResult::TooLate, 0, now);
            return;
        };
        let call = CallCommand {
            customer: customer.name.clone(),
            kind: kind.name.clone(),
            protocol: service.protocol,
            outbox: outbox.clone(),
            command,
        };
        let _ = self.commands.send(EndpointCommand::Call(Box::new(call)));
    }
}

impl HubRole for SidecarRole {
    type Input = SidecarInput;

    fn link_up(&mut self, link: LinkId, hello: &Hello, dialled: bool, now: ClockTime) {
        let Ok(host) = hello.host.parse() else {
            return;
        };
        if hello.service.is_empty() {
            self.machine.router_connected(link, host, now);
        } else if hello.service == self.service.as_str() && host != self.host {
            let incarnation = Incarnation::new(hello.incarnation);
            self.machine
                .peer_connected(link, host, incarnation, dialled);
        }
    }

    fn link_down(&mut self, link: LinkId, now: ClockTime) {
        self.machine.link_down(link, now);
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime) {
        let wall = self.clock.wall_at(now);
        self.machine.receive(link, message, now, wall);
    }

    fn peer_refused(&mut self, host: &HostName) {
        self.machine.peer_refused(host);
    }

    fn handle_input(&mut self, input: SidecarInput, now: ClockTime) {
        match input {
            SidecarInput::Progress(grant, cost) => self.machine.update_cost(grant, cost),
            SidecarInput::Ended(grant, result, cost) => {
                self.machine.finish_call(grant, result, cost, now);
            }
        }
    }

    fn set_config(&mut self, config: &Arc<FleetConfig>) {
        self.machine
            .set_config(Arc::clone(config), self.clock.wall());
    }

    fn set_hosts(&mut self, hosts: &HostList, revision: Revision) {
        self.machine.set_hosts(hosts, revision);
    }

    fn targets(&self, hosts: &HostList) -> Vec<SocketAddr> {
        let peers = hosts
            .sidecars(&self.service)
            .filter(|peer| peer.name != self.host);
        peers.map(|peer| peer.address).collect()
    }

    fn tick(&mut self, now: ClockTime) {
        self.machine.tick(now, self.clock.wall_at(now));
    }

    fn next_wake(&self) -> ClockTime {
        self.machine.next_wake()
    }

    fn run_actions(&mut self, links: &mut LinkTable, now: ClockTime) {
        let wall = self.clock.wall_at(now);
        for action in self.machine.take_actions(now, wall) {
            match action {
                SidecarAction::Send { link, message } => links.send(link, message),
                SidecarAction::Close(link) => links.close(link),
                SidecarAction::Start(command) => self.start(*command, links, now),
                SidecarAction::Abort(grant) => {
                    let _ = self.commands.send(EndpointCommand::Abort(grant));
                }
                SidecarAction::Credit { grant, units } => {
                    let _ = self.commands.send(EndpointCommand::Credit(grant, units));
                }
            }
        }
    }

    fn stop(&mut self) {
        self.machine.stop();
    }

    fn is_idle(&self) -> bool {
        self.machine.is_idle()
    }

    fn status(&self, now: ClockTime) -> Value {
        let report = self.machine.report(now);
        let config = self.machine.config();
        let customer = |id| {
            let known = config.and_then(|config| config.customer(id));
            known.map_or_else(|| id.to_string(), |customer| customer.name.to_string())
        };
        let kind = |id| {
            let known = config.and_then(|config| config.kind(id));
            known.map_or_else(|| id.to_string(), |kind| kind.name.to_string())
        };
        let queues = report.waiting.iter().map(|(customer_id, kind_id, count)| {
            json!({ "customer": customer(*customer_id), "kind": kind(*kind_id), "waiting": count })
        });
        let totals = report.totals.iter().filter(|(_, total)| *total != 0);
        let totals =
            totals.map(|(customer_id, total)| (customer(*customer_id), Value::from(*total)));
        json!({
            "name": "sidecar",
            "service": self.service.as_str(),
            "incarnation": self.incarnation.get(),
            "running": report.running,
            "staged": report.staged,
            "offered": report.offered,
            "queues": queues.collect::<Vec<_>>(),
            "totals": totals.collect::<serde_json::Map<_, _>>(),
            "is_leaving": report.is_leaving,
            "is_failing": report.is_failing,
            "keys": report.keys,
            "keys_fresh_after_ms": report.keys_fresh_after.map(WallTime::as_unix_millis),
            "missing_words": report.missing_words.iter().map(HostName::as_str).collect::<Vec<_>>(),
        })
    }
}
