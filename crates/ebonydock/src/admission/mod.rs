//! Decides on requests that no token of their workspace's quota is left for.
//!
//! Decisions without I/O. A refusal names the time at which a token will be available, and the token is kept
//! from other requests until then ([`PromiseBook`]). VMs tell each other for when they have promised tokens, and
//! the digests of the requests that return for them ([`RequestDigest`]).

mod promises;
mod request_digest;
#[cfg(test)]
mod tests;

pub use promises::{
    PromiseBook, PromiseEvidence, PromiseRequest, PromiseState, QuotaArrival, ReportedPromises,
};
pub use request_digest::RequestDigest;
