use super::peers::PeerAccount;
use super::{GrantScheduler, PeerReport, PeerTotals, TotalEntry};
use crate::id::{CustomerId, HostName};
use crate::time::ClockTime;

impl GrantScheduler {
    /// Adds the work in a peer's report to the customers' positions.
    ///
    /// A customer's position is the cost charged to it divided by its share; its lead is the
    /// distance to the least position at the peer.
    ///
    /// If the peer's process is older than this one, its first report is a baseline: the totals in
    /// it are recorded but not added, because they include work from before this process started.
    /// The leads are adopted, that is added to the positions, from the first baseline of any peer
    /// only.
    ///
    /// Returns false for an old or repeated report, which is ignored.
    pub fn merge_report(&mut self, report: &PeerReport, now: ClockTime) -> bool {
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
        let is_first_report =
            known.is_none_or(|(incarnation, _)| incarnation != report.incarnation);
        let is_older_process = report.incarnation < self.incarnation;
        if is_first_report {
            self.remove_peer(&report.host);
            self.peers.insert(
                report.host.clone(),
                PeerTotals::new(report.incarnation, now),
            );
        }
        let adopts_leads = is_first_report && is_older_process && !self.has_adopted_leads;
        for entry in &report.entries {
            self.merge_entry(
                &report.host,
                entry,
                is_first_report && is_older_process,
                adopts_leads,
            );
            if was_silent && entry.backlogged {
                self.undo_idle_adjustment(entry.customer, now);
            }
        }
        if adopts_leads {
            self.has_adopted_leads = true;
        }
        self.record_report(&report.host, report.sequence, now);
        true
    }

    /// Adds one customer's entry of a report.
    ///
    /// The total of a baseline is recorded but not added.
    pub(super) fn merge_entry(
        &mut self,
        host: &HostName,
        entry: &TotalEntry,
        is_baseline: bool,
        adopts_leads: bool,
    ) {
        let Some(account) = self.accounts.get_mut(&entry.customer) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let peer_account = peer
            .customers
            .get_or_insert_with(entry.customer, PeerAccount::default);
        if adopts_leads && entry.lead.is_finite() {
            account.position += entry.lead;
        }
        if !is_baseline {
            account.position +=
                entry.total.saturating_sub(peer_account.total) as f64 / account.share;
        }
        peer_account.total = entry.total;
        // Negative if the customer's pending cost at the peer has decreased.
        let change = entry.pending.saturating_sub(peer_account.pending);
        account.peer_pending = account.peer_pending.saturating_add(change);
        peer_account.pending = entry.pending;
        if peer_account.backlogged == entry.backlogged {
            return;
        }
        peer_account.backlogged = entry.backlogged;
        // The sum over backlogged peers serves to extrapolate their work since their last reports.
        if entry.backlogged {
            peer_account.own_total_at_report = account.own_total;
            account.peer_backlogs += 1;
            account.own_totals_at_reports += peer_account.own_total_at_report as f64;
        } else {
            account.peer_backlogs -= 1;
            account.own_totals_at_reports -= peer_account.own_total_at_report as f64;
        }
    }

    /// Reverts the position adjustment that a customer got when it recently returned from idle.
    ///
    /// Used when a silent peer reports again and the customer is backlogged there: the customer was
    /// not idle; only the peer's reports were missing.
    pub(super) fn undo_idle_adjustment(&mut self, customer: CustomerId, now: ClockTime) {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        if let Some((adjusted_at, amount)) = account.idle_adjustment.take()
            && now.since(adjusted_at) <= self.silence_limit
        {
            account.position -= amount;
        }
    }

    /// Records the arrival of a report and restarts extrapolating the peer's work from `now`.
    pub(super) fn record_report(&mut self, host: &HostName, sequence: u64, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.sequence = sequence;
        peer.last_report_at = now;
        for (customer, peer_account) in peer
            .customers
            .iter_mut()
            .filter(|(_, peer_account)| peer_account.backlogged)
        {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.own_totals_at_reports +=
                    (account.own_total - peer_account.own_total_at_report) as f64;
                peer_account.own_total_at_report = account.own_total;
            }
        }
    }

    pub(super) fn remove_peer(&mut self, host: &HostName) {
        if self.peers.remove(host).is_some() {
            self.recompute_peer_sums();
        }
    }

    /// Recomputes each account's sums over all peers.
    pub(super) fn recompute_peer_sums(&mut self) {
        for account in self.accounts.values_mut() {
            account.peer_backlogs = 0;
            account.own_totals_at_reports = 0.0;
            account.peer_pending = 0;
        }
        for peer in self.peers.values() {
            for (customer, peer_account) in peer.customers.iter() {
                let Some(account) = self.accounts.get_mut(customer) else {
                    continue;
                };
                account.peer_pending = account.peer_pending.saturating_add(peer_account.pending);
                if peer_account.backlogged {
                    account.peer_backlogs += 1;
                    account.own_totals_at_reports += peer_account.own_total_at_report as f64;
                }
            }
        }
    }
}
