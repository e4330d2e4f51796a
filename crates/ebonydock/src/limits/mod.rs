//! Rate limits of workspaces, enforced across all VMs.
//!
//! The rate and burst of each workspace are split over data centres. In each data centre, one VM owns the
//! token bucket and the others acquire small grants with a limited lifetime. A grant counts against the
//! burst until it is spent or expired, so the number of tokens never exceeds the burst and new tokens
//! never appear faster than the rate: any window of `t` seconds admits at most `rate * t + burst`
//! requests. The lifetime of a grant starts at the holder when it sends the request and at the owner when
//! it issues the grant, so clocks of different VMs are never compared.

pub(crate) mod admission;
mod allowance;
mod ledger;
pub mod messages;
mod owner;
#[cfg(test)]
mod tests;

pub use allowance::SpendingAllowance;
pub use ledger::{BucketLedger, BucketShare};
pub use owner::{AcquireContext, BucketOwner, TokenLoan};

use std::time::Duration;

/// Time during which the tokens of a grant can be spent.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_millis(300);
/// Time during which tokens lent by another data centre can be granted to VMs.
pub(crate) const LOAN_LIFETIME: Duration = Duration::from_secs(1);
