use super::peers::PeerLine;
use super::{GrantScheduler, PeerReport, PeerTotals, TotalEntry};
use crate::id::{CustomerId, HostName};
use crate::time::ClockTime;

impl GrantScheduler {
    /// Adds a peer's report. Old and repeated reports are ignored; returns whether it was new.
    pub fn merge(&mut self, report: &PeerReport, now: ClockTime) -> bool {
        let known = self
            .peers
            .get(&report.host)
            .map(|peer| (peer.incarnation, peer.sequence));
        if known.is_some_and(|seen| seen >= (report.incarnation, report.sequence)) {
            return false;
        }
        let was_silent = self
            .peers
            .get(&report.host)
            .is_some_and(|peer| peer.is_silent(now, self.silence_limit));
        let is_first = known.is_none_or(|(incarnation, _)| incarnation != report.incarnation);
        let is_older = report.incarnation < self.incarnation;
        if is_first {
            self.forget_peer(&report.host);
            self.peers.insert(
                report.host.clone(),
                PeerTotals::new(report.incarnation, now),
            );
        }
        let adopts = is_first && is_older && !self.is_adopted;
        for entry in &report.entries {
            self.merge_entry(&report.host, entry, is_first && is_older, adopts);
            if was_silent && entry.backlogged {
                self.withdraw_lift(entry.customer, now);
            }
        }
        if adopts {
            self.is_adopted = true;
        }
        self.mark_heard(&report.host, report.sequence, now);
        true
    }

    pub(super) fn merge_entry(
        &mut self,
        host: &HostName,
        entry: &TotalEntry,
        is_baseline: bool,
        adopts: bool,
    ) {
        let Some(account) = self.accounts.get_mut(&entry.customer) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let line = peer
            .lines
            .get_or_insert_with(entry.customer, PeerLine::default);
        if adopts && entry.lead.is_finite() {
            account.position += entry.lead;
        }
        if !is_baseline {
            account.position += entry.total.saturating_sub(line.total) as f64 / account.share;
        }
        line.total = entry.total;
        let change = entry.pending.saturating_sub(line.pending);
        account.peer_pending = account.peer_pending.saturating_add(change);
        line.pending = entry.pending;
        if line.backlogged == entry.backlogged {
            return;
        }
        line.backlogged = entry.backlogged;
        if entry.backlogged {
            line.own_mark = account.own_total;
            account.peer_backlogs += 1;
            account.peer_marks += line.own_mark as f64;
        } else {
            account.peer_backlogs -= 1;
            account.peer_marks -= line.own_mark as f64;
        }
    }

    /// Takes back a customer's recent adjustment: it was not idle, only out of sight.
    pub(super) fn withdraw_lift(&mut self, customer: CustomerId, now: ClockTime) {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        if let Some((at, lag)) = account.lift.take()
            && now.since(at) <= self.silence_limit
        {
            account.position -= lag;
        }
    }

    /// Moves the marks of every line of a peer to the own totals of now.
    pub(super) fn mark_heard(&mut self, host: &HostName, sequence: u64, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.sequence = sequence;
        peer.heard = now;
        for (customer, line) in peer.lines.iter_mut().filter(|(_, line)| line.backlogged) {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.peer_marks += (account.own_total - line.own_mark) as f64;
                line.own_mark = account.own_total;
            }
        }
    }

    pub(super) fn forget_peer(&mut self, host: &HostName) {
        if self.peers.remove(host).is_some() {
            self.recount_peers();
        }
    }

    /// Recomputes each account's sums over peers with a backlog.
    pub(super) fn recount_peers(&mut self) {
        for account in self.accounts.values_mut() {
            account.peer_backlogs = 0;
            account.peer_marks = 0.0;
            account.peer_pending = 0;
        }
        for peer in self.peers.values() {
            for (customer, line) in peer.lines.iter() {
                let Some(account) = self.accounts.get_mut(customer) else {
                    continue;
                };
                account.peer_pending = account.peer_pending.saturating_add(line.pending);
                if line.backlogged {
                    account.peer_backlogs += 1;
                    account.peer_marks += line.own_mark as f64;
                }
            }
        }
    }
}
