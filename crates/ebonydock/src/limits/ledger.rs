//! Token bucket of one workspace in one data centre.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{DataCentreId, VmId};
use crate::limits::messages::GrantId;
use crate::limits::{GRANT_LIFETIME, LOAN_LIFETIME};
use crate::ownership::ranked;

/// Minimum burst of a data centre that has a share, so that a grant of one token fits next to another.
const MIN_BURST_TOKENS: f64 = 2.0;
/// Maximum fraction of the burst that can be granted and unspent.
///
/// A new owner assumes that its predecessor had granted this much. Grants of earlier owners have expired,
/// because replacing a lost owner takes longer than the remaining lifetime of these grants.
const MAX_OUTSTANDING_FRACTION: f64 = 0.4;

/// Share of a workspace's rate and burst that one data centre manages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketShare {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens, granted ones included.
    pub burst: f64,
}

impl BucketShare {
    /// Returns the share of `own` among `data_centres`.
    ///
    /// A small burst is split over only a few data centres; the others get a rate and burst of 0.
    pub fn of_data_centre(
        workspace: &str,
        rate: f64,
        burst: f64,
        own: &DataCentreId,
        data_centres: &[DataCentreId],
    ) -> Self {
        let max_holders = (burst / MIN_BURST_TOKENS).floor() as usize;
        let holders = max_holders.clamp(1, data_centres.len().max(1));
        let is_holder = data_centres.len() <= holders
            || ranked(workspace, data_centres).into_iter().take(holders).any(|id| id == own);
        if !is_holder {
            return Self { rate: 0.0, burst: 0.0 };
        }
        Self { rate: rate / holders as f64, burst: burst / holders as f64 }
    }

    fn max_outstanding(&self) -> f64 {
        (self.burst * MAX_OUTSTANDING_FRACTION).max(1.0).min(self.burst)
    }
}

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    tokens: f64,
    expires_at: Duration,
}

/// Tokens lent by another data centre. The loan is closed once they are spent or expired.
#[derive(Clone, Debug)]
struct Loan {
    lender: VmId,
    grant: GrantId,
    tokens: u32,
    expires_at: Duration,
    grants: Vec<(VmId, GrantId)>,
}

/// Token bucket of one workspace in one data centre, as tracked by the VM that owns it.
#[derive(Debug)]
pub struct BucketLedger {
    level: f64,
    confirmed_share: f64,
    updated_at: Duration,
    grants: HashMap<(VmId, GrantId), OutstandingGrant>,
    inherited: f64,
    inherited_until: Duration,
    loans: Vec<Loan>,
    closed_loans: Vec<(VmId, GrantId)>,
}

/// Tokens issued from a bucket as a grant or a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedTokens {
    /// Number of tokens.
    pub tokens: u32,
    /// Lifetime of the tokens.
    pub lifetime: Duration,
}

impl BucketLedger {
    /// Opens the ledger of a bucket that this VM has owned since `owned_since`.
    ///
    /// The bucket is empty at that time. For the lifetime of a loan, the ledger assumes that a predecessor
    /// had granted as many tokens as it was allowed to.
    pub fn open(bucket: &BucketShare, owned_since: Duration) -> Self {
        Self {
            level: 0.0,
            confirmed_share: 0.0,
            updated_at: owned_since,
            grants: HashMap::new(),
            inherited: bucket.max_outstanding(),
            inherited_until: owned_since + LOAN_LIFETIME,
            loans: Vec::new(),
            closed_loans: Vec::new(),
        }
    }

    /// Refills the bucket up to `now` and removes expired grants and closed loans.
    ///
    /// `confirmed_share` is the value of `MembershipView::confirmed_share`.
    pub fn refill(&mut self, now: Duration, bucket: &BucketShare, confirmed_share: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        // An increased share applies only from now on.
        let lower_share = if self.confirmed_share == 0.0 {
            confirmed_share
        } else {
            confirmed_share.min(self.confirmed_share)
        };
        self.confirmed_share = confirmed_share;
        self.updated_at = self.updated_at.max(now);
        self.grants.retain(|_, grant| grant.expires_at > now);
        let is_closed = |loan: &mut Loan| {
            loan.expires_at <= now || (loan.tokens == 0 && loan.grants.is_empty())
        };
        let closed = self.loans.extract_if(.., is_closed).map(|loan| (loan.lender, loan.grant));
        self.closed_loans.extend(closed);
        if now >= self.inherited_until {
            self.inherited = 0.0;
        }
        let max_level = (bucket.burst * confirmed_share - self.outstanding()).max(0.0);
        self.level = (self.level + elapsed * bucket.rate * lower_share).min(max_level);
    }

    /// Returns the number of tokens that are granted and neither spent nor expired.
    pub fn outstanding(&self) -> f64 {
        self.inherited + self.granted()
    }

    fn granted(&self) -> f64 {
        self.grants.values().map(|grant| grant.tokens).sum()
    }

    /// Returns the number of tokens that can be granted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether the bucket is full without outstanding grants, so that dropping it loses no state.
    pub fn is_full(&self, bucket: &BucketShare) -> bool {
        self.grants.is_empty()
            && self.inherited == 0.0
            && self.level >= bucket.burst * self.confirmed_share
    }

    /// Removes grants that their holder reports as spent or expired.
    pub fn close_grants(&mut self, holder: &VmId, closed: &[GrantId]) {
        for grant in closed {
            self.grants.remove(&(holder.clone(), *grant));
            for loan in &mut self.loans {
                loan.grants.retain(|(vm, id)| (vm, id) != (holder, grant));
            }
        }
    }

    /// Grants up to `want` tokens to a VM of the data centre. Call [`Self::refill`] first.
    pub fn acquire(
        &mut self,
        now: Duration,
        bucket: &BucketShare,
        holder: &VmId,
        grant: GrantId,
        want: u32,
    ) -> Option<IssuedTokens> {
        if let Some(issued) = self.acquire_from_loan(now, holder, grant, want) {
            return Some(issued);
        }
        let tokens = self.take_tokens(bucket, want)?;
        self.record_grant(holder, grant, tokens, now + GRANT_LIFETIME);
        Some(IssuedTokens { tokens, lifetime: GRANT_LIFETIME })
    }

    /// Lends up to `want` tokens to another data centre, at most half of the available ones.
    pub fn lend(
        &mut self,
        now: Duration,
        bucket: &BucketShare,
        borrower: &VmId,
        grant: GrantId,
        want: u32,
    ) -> Option<IssuedTokens> {
        let half = (self.level / 2.0).ceil() as u32;
        let tokens = self.take_tokens(bucket, want.min(half))?;
        self.record_grant(borrower, grant, tokens, now + LOAN_LIFETIME);
        Some(IssuedTokens { tokens, lifetime: LOAN_LIFETIME })
    }

    /// Adds tokens that another data centre lent.
    pub fn add_loan(&mut self, lender: &VmId, grant: GrantId, tokens: u32, expires_at: Duration) {
        let grants = Vec::new();
        self.loans.push(Loan { lender: lender.clone(), grant, tokens, expires_at, grants });
    }

    /// Returns the loans of a lender that are spent or expired, each of them only once.
    pub fn take_closed_loans(&mut self, lender: &VmId) -> Vec<GrantId> {
        let closed = self.closed_loans.extract_if(.., |(vm, _)| vm == lender);
        closed.map(|(_, grant)| grant).collect()
    }

    /// Adds the state that the previous owner handed over. Its grants count as outstanding until they
    /// expire.
    pub fn add_handover(&mut self, now: Duration, level: f64, outstanding: f64) {
        self.level += level.max(0.0);
        self.inherited = outstanding.max(0.0);
        self.inherited_until = now + LOAN_LIFETIME;
    }

    /// Returns the time until the next token is expected, given that none is available now.
    pub fn retry_after(&self, bucket: &BucketShare) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let rate = bucket.rate * self.confirmed_share;
        Duration::try_from_secs_f64(missing / rate).unwrap_or(LOAN_LIFETIME).min(LOAN_LIFETIME)
    }

    fn take_tokens(&mut self, bucket: &BucketShare, want: u32) -> Option<u32> {
        let headroom = bucket.max_outstanding() - self.granted();
        let tokens = self.level.min(headroom).min(f64::from(want)).floor();
        if tokens < 1.0 {
            return None;
        }
        self.level -= tokens;
        Some(tokens as u32)
    }

    fn record_grant(&mut self, holder: &VmId, grant: GrantId, tokens: u32, expires_at: Duration) {
        let outstanding = OutstandingGrant { tokens: f64::from(tokens), expires_at };
        self.grants.insert((holder.clone(), grant), outstanding);
    }

    fn acquire_from_loan(
        &mut self,
        now: Duration,
        holder: &VmId,
        grant: GrantId,
        want: u32,
    ) -> Option<IssuedTokens> {
        let loan = self.loans.iter_mut().find(|loan| loan.tokens > 0 && loan.expires_at > now)?;
        let tokens = loan.tokens.min(want);
        loan.tokens -= tokens;
        loan.grants.push((holder.clone(), grant));
        let lifetime = loan.expires_at.saturating_sub(now).min(GRANT_LIFETIME);
        (tokens > 0).then_some(IssuedTokens { tokens, lifetime })
    }
}
