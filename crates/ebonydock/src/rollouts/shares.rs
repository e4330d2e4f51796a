//! Division of the requests between two versions, by route.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TargetId;

/// Parts that a share is counted in, so that it takes two bytes in a report.
const SHARE_UNITS: f64 = 10_000.0;
/// Routes with shares of their own; enough for a service whose rare routes matter, and about 60 bytes in a report.
pub(crate) const MAX_LISTED_ROUTES: usize = 8;
/// Number that stands for all routes that are not listed.
pub(crate) const OTHER_ROUTES: u32 = 0;
/// Largest part of a route's requests that the new version gets before the final shift.
const MAX_ROUTE_SHARE: f64 = 0.5;

/// Times of answers above which they count as slow, as indexes of histogram buckets. 255 if unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowLimits {
    /// First slow bucket of the time to the first event.
    pub first: u8,
    /// First slow bucket of the time between events, or to the end.
    pub pace: u8,
}

impl Default for SlowLimits {
    fn default() -> Self {
        Self { first: u8::MAX, pace: u8::MAX }
    }
}

impl SlowLimits {
    fn is_known(self) -> bool {
        self.first != u8::MAX
    }
}

/// Share of a route's requests that the new version gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// Hash of the route; 0 stands for all routes that are not listed.
    pub route: u32,
    /// Share in units of 1/10,000.
    pub share: u16,
    /// When answers on this route count as slow.
    pub slow: SlowLimits,
}

/// Shares of a service's requests that the new version gets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// Share of all requests, in units of 1/10,000.
    pub overall: u16,
    /// Number of new targets that get requests; 0 for all.
    pub canary_targets: u16,
    /// Shares by route, at most eight and one for all other routes. Without an entry the share is `overall`.
    pub routes: Vec<RouteShare>,
}

impl ShareTable {
    /// Creates a table that gives the new version the same share of each route.
    pub fn uniform(share: f64) -> Self {
        Self { overall: share_units(share), ..Self::default() }
    }

    /// Returns the share of all requests.
    pub fn share(&self) -> f64 {
        f64::from(self.overall) / SHARE_UNITS
    }

    fn entry(&self, route: u32) -> Option<&RouteShare> {
        let listed = self.routes.iter().find(|entry| entry.route == route);
        listed.or_else(|| self.routes.iter().find(|entry| entry.route == OTHER_ROUTES))
    }

    /// Returns the share of a route.
    pub fn route_share(&self, route: u32) -> f64 {
        let units = self.entry(route).map_or(self.overall, |entry| entry.share);
        f64::from(units) / SHARE_UNITS
    }

    /// Returns when answers on a route count as slow.
    pub fn slow_limits(&self, route: u32) -> SlowLimits {
        self.entry(route).map(|entry| entry.slow).unwrap_or_default()
    }

    /// Returns whether no route has a larger share than in `other`.
    pub(crate) fn is_within(&self, other: &Self) -> bool {
        let is_lower = |route| self.route_share(route) <= other.route_share(route);
        let mut routes = self.routes.iter().chain(&other.routes);
        is_lower(OTHER_ROUTES) && routes.all(|entry| is_lower(entry.route))
    }

    /// Returns the table with at least `share` for each route.
    pub(crate) fn raised(&self, share: f64) -> Self {
        let units = share_units(share);
        let mut raised = self.clone();
        raised.overall = units;
        raised.routes.iter_mut().for_each(|entry| entry.share = entry.share.max(units));
        raised
    }

    /// Sets the limits for slow answers of the listed routes that had none. Known ones are kept, because answers are
    /// compared with those that were counted by the same limit.
    pub(crate) fn update_limits(&mut self, requests: &[(u32, f64, SlowLimits)]) {
        for entry in self.routes.iter_mut().filter(|entry| !entry.slow.is_known()) {
            let known = requests.iter().find(|(route, ..)| *route == entry.route);
            if let Some((.., limits)) = known {
                entry.slow = *limits;
            }
        }
    }

    /// Returns the table with the limits for slow answers that are known in `previous`.
    pub(crate) fn with_limits_of(mut self, previous: &Self) -> Self {
        for entry in &mut self.routes {
            let known = previous.slow_limits(entry.route);
            entry.slow = if known.is_known() { known } else { entry.slow };
        }
        self
    }

    /// Returns whether a route is listed that is not in `other`, or a limit for slow answers is known that is unknown
    /// there. A rare route may first be seen after the others.
    pub(crate) fn knows_more(&self, other: &Self) -> bool {
        let is_listed = |route| other.routes.iter().any(|entry| entry.route == route);
        let has_new_limit = |entry: &RouteShare| {
            entry.slow.is_known() && !other.slow_limits(entry.route).is_known()
        };
        self.routes.iter().any(|entry| !is_listed(entry.route) || has_new_limit(entry))
    }

    /// Divides `share` of all requests among routes so that each gets about the same number of requests at the new
    /// version, and at most half of its requests. `requests` are the recent requests by route, with their limits.
    pub(crate) fn divide(share: f64, requests: &[(u32, f64, SlowLimits)]) -> Self {
        let total: f64 = requests.iter().map(|(_, count, _)| count).sum();
        let mut remaining = share * total;
        let mut by_size: Vec<_> = requests.iter().filter(|(_, count, _)| *count > 0.0).collect();
        by_size.sort_by(|a, b| a.1.total_cmp(&b.1));
        let max_share = MAX_ROUTE_SHARE.max(share);
        let mut left = by_size.len();
        let routes = by_size.into_iter().map(|(route, count, slow)| {
            // Rarer routes cannot use an equal part in full; what they leave goes to the others.
            let part = (remaining / left as f64).min(count * max_share);
            remaining -= part;
            left -= 1;
            RouteShare { route: *route, share: share_units(part / count), slow: *slow }
        });
        let mut routes: Vec<_> = routes.collect();
        if routes.iter().all(|entry| entry.route != OTHER_ROUTES) {
            let slow = SlowLimits::default();
            routes.push(RouteShare { route: OTHER_ROUTES, share: share_units(share), slow });
        }
        Self { overall: share_units(share), canary_targets: 0, routes }
    }
}

/// Rounds down, so that the sum stays within the exposure.
fn share_units(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * SHARE_UNITS) as u16
}

/// Orders the new targets in the same way on each VM; the first [`ShareTable::canary_targets`] of them get requests.
pub fn rank_canary_targets<'a>(revision: u64, targets: &[&'a TargetId]) -> Vec<&'a TargetId> {
    let mut ranked = targets.to_vec();
    ranked.sort_by_cached_key(|target| {
        (xxh3_64_with_seed(target.as_str().as_bytes(), revision), target.as_str().to_owned())
    });
    ranked
}

/// Returns the hash that identifies a route in shares and evidence.
pub fn route_hash(route: &str) -> u32 {
    (xxh3_64_with_seed(route.as_bytes(), 0) as u32).max(OTHER_ROUTES + 1)
}
