//! Routing of a request to a data centre, a pool and a target, with retries and resumption.

mod acquire;
mod order;
mod retry_budget;
mod session;
#[cfg(test)]
mod tests;

pub(crate) use acquire::{
    acquire_locally, broadcast, pool_key, send_in_background, send_revocations,
};
pub use order::{DataCentreLoad, rank_data_centres};
pub use retry_budget::RetryBudget;
pub(crate) use session::{InferenceError, InferenceRequest, InferenceSession};
