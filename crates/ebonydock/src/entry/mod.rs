//! The interface for callers, in the shapes that their clients already speak.

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

pub(crate) use body::{parse_json, read_body, respond_json};
pub(crate) use refusal::{Refusal, RefusalCode};
pub(crate) use server::{configure, unknown_route};
