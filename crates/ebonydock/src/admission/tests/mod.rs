//! Unit tests of admission.

mod limits;
mod promises;
