//! Orders in the operators' table.

use std::collections::HashMap;
use std::time::Duration;

use crate::rollouts::order::RolloutOrder;

/// An order's row.
#[derive(Clone, Debug)]
struct ListedOrder {
    /// `None` if the row cannot be followed. It changes nothing, but it is not a deleted row either.
    order: Option<RolloutOrder>,
    seen_at: Duration,
}

/// Orders by the keys of their rows.
#[derive(Debug, Default)]
pub(crate) struct OrderListing {
    rows: HashMap<String, ListedOrder>,
    is_complete: bool,
}

impl OrderListing {
    /// Removes the orders whose rows are not part of a snapshot.
    pub(crate) fn apply_snapshot(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.rows.retain(|key, _| is_listed(key));
        self.is_complete = true;
    }

    /// Adds or replaces an order; `None` if its row cannot be followed.
    pub(crate) fn insert(&mut self, now: Duration, key: &str, order: Option<RolloutOrder>) {
        let known = self.rows.get(key).filter(|listed| listed.order == order);
        let seen_at = known.map_or(now, |listed| listed.seen_at);
        self.rows.insert(key.to_owned(), ListedOrder { order, seen_at });
    }

    /// Removes an order. Returns whether there was one.
    pub(crate) fn remove(&mut self, key: &str) -> bool {
        self.rows.remove(key).is_some()
    }

    /// Returns the order of a row and when this VM first saw it.
    pub(crate) fn order(&self, key: &str) -> Option<(&RolloutOrder, Duration)> {
        let listed = self.rows.get(key)?;
        listed.order.as_ref().map(|order| (order, listed.seen_at))
    }

    /// Returns all orders that can be followed.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.rows.values().filter_map(|listed| listed.order.as_ref())
    }

    /// Returns whether the table is known to have no row with this key.
    pub(crate) fn is_absent(&self, key: &str) -> bool {
        self.is_complete && !self.rows.contains_key(key)
    }
}
