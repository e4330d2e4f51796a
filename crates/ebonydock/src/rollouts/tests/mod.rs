//! Unit tests of roll-outs.

mod answer_track;
mod emulator;
mod news;
mod records;
mod verdicts;
mod views;
