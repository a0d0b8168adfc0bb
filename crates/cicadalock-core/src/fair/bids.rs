use crate::collect::SortedMap;
use crate::id::{CustomerId, KindId, LinkId};
use crate::time::ClockTime;

/// Bids of all routers, by customer, kind and router.
#[derive(Debug, Clone, Default)]
pub struct BidBook {
    customers: SortedMap<CustomerId, KindBids>,
}

type KindBids = SortedMap<KindId, RouterBids>;
type RouterBids = SortedMap<LinkId, WaitingBid>;

#[derive(Debug, Clone, Copy)]
struct WaitingBid {
    count: u32,
    since: ClockTime,
}

impl BidBook {
    /// Creates an empty book.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the bid of the router on `link`; a `count` of zero removes it.
    pub fn set(
        &mut self,
        link: LinkId,
        customer: CustomerId,
        kind: KindId,
        count: u32,
        since: ClockTime,
    ) {
        if count == 0 {
            self.remove(link, customer, kind);
            return;
        }
        let kinds = self.customers.get_or_insert_with(customer, KindBids::new);
        let routers = kinds.get_or_insert_with(kind, RouterBids::new);
        routers.insert(link, WaitingBid { count, since });
    }

    /// Takes one request off the oldest bid and returns the link of its router.
    ///
    /// The rest of that bid counts as waiting since `now`, so that routers with equal bids take
    /// turns. Returns `None` if no router has a bid for the customer and kind.
    pub fn take_oldest(
        &mut self,
        customer: CustomerId,
        kind: KindId,
        now: ClockTime,
    ) -> Option<LinkId> {
        let routers = self.customers.get_mut(&customer)?.get_mut(&kind)?;
        let link = routers
            .iter()
            .min_by_key(|(_, bid)| bid.since)
            .map(|(link, _)| *link)?;
        let bid = routers.get_mut(&link)?;
        bid.count -= 1;
        bid.since = now;
        if bid.count == 0 {
            self.remove(link, customer, kind);
        }
        Some(link)
    }

    /// Removes every bid of `link`.
    pub fn drop_link(&mut self, link: LinkId) {
        for kinds in self.customers.values_mut() {
            for routers in kinds.values_mut() {
                routers.remove(&link);
            }
            kinds.retain(|_, routers| !routers.is_empty());
        }
        self.customers.retain(|_, kinds| !kinds.is_empty());
    }

    /// Removes the bids of customers and kinds for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(CustomerId, KindId) -> bool) {
        for (customer, kinds) in self.customers.iter_mut() {
            kinds.retain(|kind, _| keep(*customer, *kind));
        }
        self.customers.retain(|_, kinds| !kinds.is_empty());
    }

    /// Customers with a bid, in ascending order.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.customers.keys().copied()
    }

    /// Kinds for which `customer` has a bid, in ascending order.
    pub fn kinds(&self, customer: CustomerId) -> impl Iterator<Item = KindId> {
        self.customers
            .get(&customer)
            .into_iter()
            .flat_map(|kinds| kinds.keys().copied())
    }

    /// Returns whether `customer` has a bid of any kind.
    #[must_use]
    pub fn has_bid(&self, customer: CustomerId) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Number of waiting requests at all routers, by customer and kind.
    #[must_use]
    pub fn waiting(&self) -> SortedMap<(CustomerId, KindId), u32> {
        let mut sums = SortedMap::new();
        for (customer, kinds) in self.customers.iter() {
            for (kind, routers) in kinds.iter() {
                let sum = routers.values().map(|bid| bid.count).sum();
                sums.insert((*customer, *kind), sum);
            }
        }
        sums
    }

    /// Returns whether there are no bids.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    fn remove(&mut self, link: LinkId, customer: CustomerId, kind: KindId) {
        let Some(kinds) = self.customers.get_mut(&customer) else {
            return;
        };
        if let Some(routers) = kinds.get_mut(&kind) {
            routers.remove(&link);
            if routers.is_empty() {
                kinds.remove(&kind);
            }
        }
        if kinds.is_empty() {
            self.customers.remove(&customer);
        }
    }
}
