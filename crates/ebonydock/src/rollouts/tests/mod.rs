//! Unit tests of roll-outs.
