//! Tests of a whole site: real daemon processes, stand-ins around them, faults between them.

mod durable;
mod online;
mod support;
