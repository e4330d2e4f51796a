//! Tests of the gateway.

mod board;
mod catalog;
mod decisions;
mod emulator;
mod fakes;
mod jobs;
mod load;
mod reports;
mod streams;
