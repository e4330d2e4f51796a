//! Buckets that a VM owns.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{VmId, WorkspaceId};
use crate::limits::ledger::IssuedTokens;
use crate::limits::messages::{BucketRecord, GrantId, GrantReply, GrantRequest};
use crate::limits::{BucketLedger, BucketShare, LOAN_LIFETIME};

/// Buckets that a VM owns.
#[derive(Debug, Default)]
pub struct BucketOwner {
    ledgers: HashMap<WorkspaceId, BucketLedger>,
    owned_since: Duration,
}

/// Inputs of a bucket operation besides the ledger.
#[derive(Clone, Copy, Debug)]
pub struct AcquireContext {
    /// Current time.
    pub now: Duration,
    /// Share of the workspace's rate and burst that the data centre manages.
    pub bucket: BucketShare,
    /// Value of `MembershipView::confirmed_share`.
    pub confirmed_share: f64,
}

/// Tokens lent by another data centre.
#[derive(Clone, Copy, Debug)]
pub struct TokenLoan {
    /// ID of the loan at the lender.
    pub grant: GrantId,
    /// Number of tokens.
    pub tokens: u32,
    /// Expiry time, counted from the sending of the request.
    pub expires_at: Duration,
}

impl BucketOwner {
    /// Records that the set of candidate owners changed at `now`.
    ///
    /// Buckets without a ledger may have had another owner until then.
    pub fn on_view_change(&mut self, now: Duration) {
        self.owned_since = now;
    }

    /// Returns the number of buckets with a ledger.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns whether no bucket has a ledger.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }

    /// Grants tokens to a VM of the same data centre.
    pub fn acquire(
        &mut self,
        context: &AcquireContext,
        from: &VmId,
        request: &GrantRequest,
    ) -> GrantReply {
        let ledger = self.ledger(context, &request.workspace);
        ledger.close_grants(from, &request.closed);
        ledger.refill(context.now, &context.bucket, context.confirmed_share);
        let issued =
            ledger.acquire(context.now, &context.bucket, from, request.grant, request.want);
        grant_reply(ledger, &context.bucket, issued)
    }

    /// Lends tokens to a VM of another data centre.
    pub fn lend(
        &mut self,
        context: &AcquireContext,
        from: &VmId,
        request: &GrantRequest,
    ) -> GrantReply {
        let ledger = self.ledger(context, &request.workspace);
        ledger.close_grants(from, &request.closed);
        ledger.refill(context.now, &context.bucket, context.confirmed_share);
        let issued = ledger.lend(context.now, &context.bucket, from, request.grant, request.want);
        grant_reply(ledger, &context.bucket, issued)
    }

    /// Adds tokens that another data centre lent.
    pub fn add_loan(
        &mut self,
        context: &AcquireContext,
        lender: &VmId,
        workspace: &WorkspaceId,
        loan: &TokenLoan,
    ) {
        let ledger = self.ledger(context, workspace);
        ledger.add_loan(lender, loan.grant, loan.tokens, loan.expires_at);
    }

    /// Returns the loans of a lender that are spent or expired, each of them only once.
    pub fn take_closed_loans(&mut self, lender: &VmId, workspace: &WorkspaceId) -> Vec<GrantId> {
        let ledger = self.ledgers.get_mut(workspace);
        ledger.map(|ledger| ledger.take_closed_loans(lender)).unwrap_or_default()
    }

    /// Removes the buckets for which `still_owned` is false and returns them for their new owners.
    pub fn release(&mut self, still_owned: impl Fn(&WorkspaceId) -> bool) -> Vec<BucketRecord> {
        let released = self.ledgers.extract_if(|workspace, _| !still_owned(workspace));
        released
            .map(|(workspace, ledger)| BucketRecord {
                workspace,
                level: ledger.level(),
                outstanding: ledger.outstanding(),
            })
            .collect()
    }

    /// Takes over a bucket from its previous owner. The refill caps its level.
    pub fn take_over(&mut self, context: &AcquireContext, record: &BucketRecord) {
        let ledger = self.ledger(context, &record.workspace);
        ledger.add_handover(context.now, record.level, record.outstanding);
        ledger.refill(context.now, &context.bucket, context.confirmed_share);
    }

    /// Drops ledgers that a later request would recreate in the same state.
    pub fn compact(&mut self, now: Duration, bucket_of: impl Fn(&WorkspaceId) -> BucketShare) {
        if now.saturating_sub(self.owned_since) < LOAN_LIFETIME {
            return;
        }
        let owned_for = now.saturating_sub(self.owned_since).as_secs_f64();
        self.ledgers.retain(|workspace, ledger| {
            let bucket = bucket_of(workspace);
            let refilled = owned_for * bucket.rate >= bucket.burst;
            !(refilled && ledger.is_full(&bucket))
        });
    }

    fn ledger(&mut self, context: &AcquireContext, workspace: &WorkspaceId) -> &mut BucketLedger {
        let owned_since = self.owned_since;
        self.ledgers
            .entry(workspace.clone())
            .or_insert_with(|| BucketLedger::open(&context.bucket, owned_since))
    }
}

fn grant_reply(
    ledger: &BucketLedger,
    bucket: &BucketShare,
    issued: Option<IssuedTokens>,
) -> GrantReply {
    GrantReply {
        tokens: issued.map_or(0, |issued| issued.tokens),
        lifetime_ms: issued.map_or(0, |issued| issued.lifetime.as_millis() as u32),
        retry_after_ms: ledger.retry_after(bucket).as_millis() as u32,
        owner: true,
    }
}
