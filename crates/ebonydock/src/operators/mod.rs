//! Operator API: plans of workspaces, access of plans, API keys, data centres in and out of service, and
//! status.

mod changes;
pub mod messages;
mod server;
mod status;

pub(crate) use changes::{announce, apply_reply};
pub(crate) use server::configure;
