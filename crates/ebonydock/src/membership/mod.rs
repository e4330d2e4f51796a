//! Which VMs are alive.
//!
//! Inside a data centre every VM sends heartbeats to every other, at an interval that grows with their
//! number so that the cost for a VM stays constant. Between data centres one digest a data centre goes
//! to one VM of each other, which relays it to its own.

pub mod messages;
#[cfg(test)]
mod tests;
mod view;

pub use view::{HeartbeatTimeouts, MemberRecord, MembershipView};
