//! The buckets that a VM owns.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{VmId, WorkspaceId};
use crate::limits::ledger::IssuedTokens;
use crate::limits::messages::{BucketRecord, GrantId, GrantReply, GrantRequest};
use crate::limits::{BucketLedger, BucketShare, LOAN_LIFETIME};

/// The buckets that a VM owns.
#[derive(Debug, Default)]
pub struct BucketOwner {
    ledgers: HashMap<WorkspaceId, BucketLedger>,
    owned_since: Duration,
}

/// What a draw depends on besides the ledger.
#[derive(Clone, Copy, Debug)]
pub struct AcquireContext {
    /// The time.
    pub now: Duration,
    /// The data centre's part of the workspace's rate and burst.
    pub bucket: BucketShare,
    /// The confirmed share of the data centre's VMs.
    pub confirmed_share: f64,
}

/// Tokens that another data centre lent.
#[derive(Clone, Copy, Debug)]
pub struct TokenLoan {
    /// The identity of the loan at the lender.
    pub grant: GrantId,
    /// The tokens.
    pub tokens: u32,
    /// Until when they may be spent, counted from the sending of the request.
    pub expires_at: Duration,
}

impl BucketOwner {
    /// Notes that the set of candidates changed at `now`: buckets without a ledger may have had another
    /// owner until then.
    pub fn on_view_change(&mut self, now: Duration) {
        self.owned_since = now;
    }

    /// The number of buckets with a ledger.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Whether no bucket has a ledger.
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

    /// Lends tokens to the owner in another data centre.
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

    /// Takes tokens that another data centre lent until `expires_at`.
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

    /// The loans of a lender that are spent or expired; reported once.
    pub fn take_closed_loans(&mut self, lender: &VmId, workspace: &WorkspaceId) -> Vec<GrantId> {
        let ledger = self.ledgers.get_mut(workspace);
        ledger.map(|ledger| ledger.take_closed_loans(lender)).unwrap_or_default()
    }

    /// Removes the buckets that `still_owned` denies and returns them for their new owners.
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

    /// Takes a bucket from its previous owner. The level is clipped by the next refresh.
    pub fn take_over(&mut self, context: &AcquireContext, record: &BucketRecord) {
        let ledger = self.ledger(context, &record.workspace);
        ledger.add_handover(context.now, record.level, record.outstanding);
        ledger.refill(context.now, &context.bucket, context.confirmed_share);
    }

    /// Drops ledgers that a later draw would create again in the same state.
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
