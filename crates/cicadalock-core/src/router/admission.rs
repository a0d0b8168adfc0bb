use super::failure::CallerFailure;
use super::machine::RouterMachine;
use super::request::CallerRequest;
use crate::collect::SortedMap;
use crate::config::FleetConfig;
use crate::id::CustomerId;

impl RouterMachine {
    /// Checks the queue and memory limits for a new request, shedding another one if needed.
    pub(super) fn admit(&mut self, call: &CallerRequest) -> Result<(), CallerFailure> {
        let Some(config) = self.config.clone() else {
            return Err(CallerFailure::no_capacity());
        };
        let limits = config.limits();
        let key = (call.customer, call.kind);
        let waiting = self.queue.len(key) + self.claim_queue.len(key);
        if waiting >= limits.queue_per_kind as usize {
            return Err(CallerFailure::over_bound());
        }
        let is_full = self.requests.len() >= limits.requests_per_router as usize
            || self.body_bytes + call.body.len() as u64 > limits.body_total;
        if is_full && !self.shed_for(call.customer, &config) {
            return Err(CallerFailure::router_full());
        }
        Ok(())
    }

    /// Drops one waiting request of the customer with the most waiting requests per share.
    ///
    /// The newest request of that customer's longest queue is dropped. Returns false, and drops
    /// nothing, unless that customer has more per share than `customer` would have with one more.
    pub(super) fn shed_for(&mut self, customer: CustomerId, config: &FleetConfig) -> bool {
        let requests_per_share = |id: CustomerId, count: usize| {
            count as f64
                / config
                    .customer(id)
                    .map_or(1.0, |customer| f64::from(customer.share))
        };
        let mut counts: SortedMap<CustomerId, usize> = SortedMap::new();
        for ((id, _), count) in self.queue.lengths() {
            *counts.get_or_insert_with(id, || 0) += count;
        }
        let own = requests_per_share(customer, counts.get(&customer).copied().unwrap_or(0) + 1);
        let greatest = counts
            .iter()
            .map(|(id, count)| (*id, requests_per_share(*id, *count)))
            .max_by(|left, right| left.1.total_cmp(&right.1));
        let Some((victim, _)) = greatest.filter(|(id, held)| *id != customer && *held > own) else {
            return false;
        };
        let longest = self
            .queue
            .lengths()
            .filter(|((id, _), _)| *id == victim)
            .max_by_key(|(_, count)| *count);
        let Some(id) = longest.and_then(|(key, _)| self.queue.last(key)) else {
            return false;
        };
        self.fail_held(id, CallerFailure::over_bound());
        true
    }
}
