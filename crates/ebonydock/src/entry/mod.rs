//! The HTTP interface for callers, compatible with the clients that they already use.

mod auth;
mod batches;
mod body;
mod completions;
mod models;
pub(crate) mod prompt;
mod refusal;
mod server;
mod services;
#[cfg(test)]
mod tests;

pub(crate) use body::{check_before_body, parse_json, read_body, respond_json};
pub(crate) use refusal::{Refusal, RefusalCode};
pub(crate) use server::{configure, unknown_route};
