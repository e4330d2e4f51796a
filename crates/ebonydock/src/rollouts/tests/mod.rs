//! Unit tests of roll-outs.

mod answer_track;
mod news;
