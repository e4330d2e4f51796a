//! Liveness of VMs.
//!
//! Within a data centre, every VM sends heartbeats to every other VM, at an interval that grows with the
//! number of VMs so that the cost per VM stays constant. Between data centres, each data centre sends one
//! digest to one VM of every other data centre, which relays it to the other VMs there.

pub mod messages;
#[cfg(test)]
mod tests;
mod view;

pub use view::{HeartbeatTimeouts, MemberRecord, MembershipView};
