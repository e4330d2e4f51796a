//! Unit tests of the gateway.

mod catalog;
mod configurations;
mod decisions;
mod fakes;
mod jobs;
mod lead_model;
mod leads;
mod lost_service;
mod membership;
mod prompt_fleet;
mod quarantine;
mod quota;
mod reports;
mod rollouts;
mod stop;
mod streams;
