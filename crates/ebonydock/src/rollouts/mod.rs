//! Decides on roll-outs: which share of a service's requests the targets of a new version get, whether the
//! version is good, and when the old targets are free to leave.
//!
//! Decisions without I/O. Each VM selects versions by its [`RolloutView`] and counts outcomes in a
//! [`VersionEvidence`], which other VMs sum up in their [`FleetEvidence`]. The leader of the roll-out plans the
//! steps with a [`RolloutController`] and keeps its progress in a [`RolloutRecord`] in the store.

mod announcement;
pub(crate) mod answer_track;
mod controller;
mod evidence;
mod exposure;
mod fleet_evidence;
pub(crate) mod host;
mod judge;
pub(crate) mod leadership;
pub(crate) mod news;
mod order;
mod order_listing;
mod record;
pub(crate) mod service;
mod shares;
#[cfg(test)]
mod tests;
mod versions;
mod view;

pub use announcement::RolloutAnnouncement;
pub use controller::{CohortLoad, RolloutController, RolloutLoad, RolloutStep};
pub use evidence::{
    AnswerSample, AnswerStage, AnswerTally, CohortEvidence, GroupTally, RolloutReport, RouteTally,
    VersionEvidence,
};
pub use fleet_evidence::FleetEvidence;
pub use news::{EvidencePart, RolloutNews};
pub use order::{OrderFault, RolloutOrder, RolloutSettings};
pub use record::{
    ClaimWait, EvidenceSummary, LEASE_RENEWAL_INTERVAL, RolloutLeader, RolloutPhase, RolloutReason,
    RolloutRecord, claim_delay,
};
pub use shares::{RouteShare, ShareTable, SlowLimits, rank_canary_targets, route_hash};
pub use versions::{TargetCohort, VersionCohorts};
pub use view::RolloutView;
