//! Rate and burst of each workspace over all VMs.
//!
//! Every workspace's rate and burst are split over data centres; in each, one VM owns the bucket and
//! the others draw small grants with a lifetime. A grant counts against the burst until it is spent or
//! has expired, so the tokens that exist never exceed the burst and the tokens that appear never exceed
//! the rate: in any window `t` at most `rate * t + burst` requests are admitted. Lifetimes run from the
//! sending of the request at the spender and from the granting at the owner, so no clocks are compared.

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

/// How long a grant may be spent.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_millis(300);
/// How long tokens lent by another data centre may be passed on.
pub(crate) const LOAN_LIFETIME: Duration = Duration::from_secs(1);
