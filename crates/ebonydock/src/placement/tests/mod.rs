//! Unit tests of placement.

mod cohorts;
mod dispatcher;
pub(crate) mod emulator;
mod load;
mod outlier_ejection;
