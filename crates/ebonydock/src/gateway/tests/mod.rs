//! Tests of the gateway.

mod board;
mod catalog;
mod decisions;
mod fakes;
mod jobs;
mod streams;
