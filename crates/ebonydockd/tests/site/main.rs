//! Tests of a whole site: real daemon processes and stand-ins, with faults injected between them.

mod durable;
mod online;
mod support;
