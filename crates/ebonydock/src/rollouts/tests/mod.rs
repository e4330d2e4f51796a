//! Unit tests of roll-outs.

mod emulator;
mod records;
mod verdicts;
mod views;
