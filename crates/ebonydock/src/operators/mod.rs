//! The interface for operators: the two lists, the keys, data centres out and back, and status.

mod changes;
pub mod messages;
mod server;
mod status;

pub(crate) use changes::{announce, apply_reply};
pub(crate) use server::configure;
