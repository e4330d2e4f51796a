//! Unit tests of placement.

mod dispatcher;
pub(crate) mod emulator;
mod load;
