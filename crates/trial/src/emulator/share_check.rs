use std::fmt;

use cicadalock_core::time::ClockTime;

use super::load_draw::DrawnCall;
use super::load_file::LoadFile;
use super::outcome_table::CallOutcome;

/// Seconds over which the tokens of customers are compared.
const WINDOW_SECONDS: usize = 6;

/// Fraction of what a customer asked, or of what the best served one got, that it is owed.
const OWED_FRACTION: f64 = 0.5;

/// Number of the largest requests that a customer may lack beside its share.
const LARGEST_REQUESTS: f64 = 3.0;

/// A customer that was refused or kept waiting throughout a window and got less than its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareBreach {
    /// Number of the customer.
    pub customer: usize,
    /// Second of the load with which the window begins.
    pub from_s: usize,
    /// Tokens that the customer asked for in the window.
    pub asked: f64,
    /// Tokens of its requests that began to run in the window.
    pub got: f64,
    /// Tokens of the customer that got most in the window.
    pub best: f64,
}

/// Tokens of one customer in one second.
#[derive(Debug, Clone, Copy, Default)]
struct SecondUsage {
    asked: f64,
    got: f64,
    /// Whether a request was refused or waited past its objective.
    is_backlogged: bool,
}

/// What backlogged customers got, compared with the best served one.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct ShareFindings {
    /// Customers that got less than their share, by window.
    pub(super) breaches: Vec<ShareBreach>,
    /// Least ratio of what a backlogged customer got in a window to what it asked or the best served one
    /// got; one without any.
    pub(super) least_share: f64,
}

/// Compares what customers got in windows of six seconds.
///
/// A customer is owed half of what it asked or of what the best served customer got, whichever is less
/// in each second, minus three of its largest requests. A prompt token counts once, a generated
/// token twice; a run counts when its engine begins to answer.
pub(super) fn compare_shares(
    load: &LoadFile,
    calls: &[DrawnCall],
    outcomes: &[CallOutcome],
    start: ClockTime,
) -> ShareFindings {
    let seconds = calls
        .last()
        .map_or(0, |call| call.at.as_secs() as usize + 1);
    let mut usage = vec![vec![SecondUsage::default(); seconds]; load.customers.count];
    let mut largest = vec![0.0_f64; load.customers.count];
    for (call, outcome) in calls.iter().zip(outcomes) {
        let cost = f64::from(call.prompt.tokens()) + 2.0 * f64::from(call.output);
        largest[call.customer] = largest[call.customer].max(cost);
        let customer = &mut usage[call.customer];
        let second = |at: ClockTime| at.since(start).as_secs() as usize;
        if let Some(entry) = customer.get_mut(second(outcome.sent)) {
            entry.asked += cost;
        }
        if let Some(begun) = outcome.begun_at
            && let Some(entry) = customer.get_mut(second(begun))
        {
            entry.got += cost;
        }
        for refused in &outcome.refused_at {
            mark(customer, second(*refused), second(*refused));
        }
        let due = outcome.sent + load.kinds[call.kind].objective();
        let waited_until = outcome.first_event_at.or(outcome.ended_at);
        if let Some(until) = waited_until.filter(|until| *until > due) {
            mark(customer, second(due), second(until));
        }
    }
    let windows = 0..(seconds + 1).saturating_sub(WINDOW_SECONDS);
    let mut findings = ShareFindings {
        breaches: Vec::new(),
        least_share: 1.0,
    };
    for from_s in windows {
        let window = from_s..from_s + WINDOW_SECONDS;
        let got = |customer: &Vec<SecondUsage>| -> f64 {
            customer[window.clone()].iter().map(|entry| entry.got).sum()
        };
        let Some(best) = usage
            .iter()
            .max_by(|left, right| got(left).total_cmp(&got(right)))
        else {
            continue;
        };
        for (number, customer) in usage.iter().enumerate() {
            let entries = &customer[window.clone()];
            let owed: f64 = entries
                .iter()
                .zip(&best[window.clone()])
                .map(|(own, best)| OWED_FRACTION * own.asked.min(best.got))
                .sum();
            let is_backlogged = entries.iter().all(|entry| entry.is_backlogged);
            if is_backlogged && owed > 0.0 {
                let share = got(customer) / owed * OWED_FRACTION;
                findings.least_share = findings.least_share.min(share);
            }
            if is_backlogged && got(customer) < owed - LARGEST_REQUESTS * largest[number] {
                findings.breaches.push(ShareBreach {
                    customer: number,
                    from_s,
                    asked: entries.iter().map(|entry| entry.asked).sum(),
                    got: got(customer),
                    best: got(best),
                });
            }
        }
    }
    findings
}

fn mark(usage: &mut [SecondUsage], from: usize, until: usize) {
    let last = until.min(usage.len().saturating_sub(1));
    if from <= last {
        for entry in &mut usage[from..=last] {
            entry.is_backlogged = true;
        }
    }
}

impl fmt::Display for ShareBreach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "from {} s, in {} s: customer {} asked for {:.0} tokens, waited throughout and got {:.0}; \
             the best served one got {:.0}",
            self.from_s, WINDOW_SECONDS, self.customer, self.asked, self.got, self.best
        )
    }
}
