use std::time::Duration;

use super::machine::SidecarMachine;
use crate::config::SharingPolicy;
use crate::fair::{PeerReport, TotalEntry};
use crate::id::{CustomerId, LinkId};
use crate::message::{PeerMessage, TotalLine, TotalsReport};
use crate::time::{ClockTime, WallTime};

/// Interval at which homes of idempotency keys confirm their view to each other.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);

impl SidecarMachine {
    /// Handles a message from another sidecar.
    pub(super) fn receive_from_peer(
        &mut self,
        link: LinkId,
        message: PeerMessage,
        now: ClockTime,
        wall: WallTime,
    ) {
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        let host = peer.host.clone();
        match message {
            PeerMessage::Totals(report) if self.policy() == SharingPolicy::Fleet => {
                let report = PeerReport {
                    host,
                    incarnation: peer.incarnation,
                    sequence: report.sequence,
                    entries: report.lines.iter().map(decode_line).collect(),
                };
                self.scheduler.merge_report(&report, now);
            }
            PeerMessage::View(view) => self.lease.receive(&host, &view, now),
            PeerMessage::HandOff(message) => self.receive_hand_off(&host, message, now, wall),
            // With `is_back`, the notice announces that the sender accepts new work again.
            PeerMessage::Leaving(notice) if !notice.is_back => self.lease.mark_departed(&host),
            _ => {}
        }
    }

    /// Sends the totals and views that are due.
    pub(super) fn exchange(&mut self, now: ClockTime) {
        let Some(config) = &self.config else {
            return;
        };
        let are_totals_due = now.since(self.totals_sent) >= config.limits().exchange_interval;
        let has_non_idempotent_kinds = config
            .kinds()
            .iter()
            .any(|kind| kind.service == self.service && !kind.idempotent);
        if has_non_idempotent_kinds
            && now.since(self.view_sent) >= VIEW_INTERVAL
            && !self.is_leaving()
        {
            self.view_sent = now;
            self.send_views(now);
        }
        if are_totals_due {
            self.totals_sent = now;
            self.send_totals();
        }
    }

    fn send_totals(&mut self) {
        if self.policy() != SharingPolicy::Fleet {
            return;
        }
        let host = self.host.clone();
        let changes = self.scheduler.delta_report(&host);
        let links: Vec<(LinkId, bool)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_dialled)
            .map(|(link, peer)| (*link, peer.needs_full_report))
            .collect();
        for (link, needs_full) in links {
            let report = if needs_full {
                self.scheduler.full_report(&host)
            } else {
                changes.clone()
            };
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.needs_full_report = false;
            }
            self.send(link, PeerMessage::Totals(encode_report(&report)));
        }
    }

    /// Returns the connections to peers that this process opened.
    ///
    /// Totals, views and the ledger of a stopping sidecar are sent only on these.
    pub(super) fn dialled_links(&self) -> Vec<LinkId> {
        let dialled = self.peers.iter().filter(|(_, peer)| peer.is_dialled);
        dialled.map(|(link, _)| *link).collect()
    }

    fn send_views(&mut self, now: ClockTime) {
        for link in self.dialled_links() {
            let Some(peer) = self.peers.get(&link) else {
                continue;
            };
            let view = self.lease.message_for(&peer.host, now);
            self.send(link, PeerMessage::View(view));
        }
    }
}

fn decode_line(line: &TotalLine) -> TotalEntry {
    TotalEntry {
        customer: CustomerId::new(line.customer),
        total: line.total,
        pending: line.pending,
        backlogged: line.backlogged,
        lead: f64::from(line.lead),
    }
}

fn encode_report(report: &PeerReport) -> TotalsReport {
    let lines = report.entries.iter().map(|entry| TotalLine {
        customer: entry.customer.get(),
        total: entry.total,
        pending: entry.pending,
        backlogged: entry.backlogged,
        lead: entry.lead as f32,
    });
    TotalsReport {
        sequence: report.sequence,
        lines: lines.collect(),
    }
}
