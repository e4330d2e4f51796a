//! Admission of requests: spends tokens, acquires them from the bucket's owner and borrows them from other
//! data centres.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::monotonic;
use crate::configuration::WorkspaceEntry;
use crate::ids::{DataCentreId, VmId, WorkspaceId};
use crate::limits::messages::{BucketHandover, GrantId, GrantReply, GrantRequest};
use crate::limits::{AcquireContext, BucketShare, TokenLoan};
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::vm::VmShared;

const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(250);
const LEND_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum total time that a request waits for a token.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(600);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

static NEXT_GRANT_ID: AtomicU64 = AtomicU64::new(1);

fn next_grant_id() -> GrantId {
    GrantId(NEXT_GRANT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns the key that decides which VM owns a workspace's bucket.
fn bucket_key(workspace: &WorkspaceId) -> String {
    format!("bucket/{workspace}")
}

/// Spends a token of the workspace; waits for one if none is available.
///
/// # Errors
///
/// Returns the delay before a retry if no token is expected within [`ADMISSION_TIMEOUT`].
pub(crate) async fn admit(shared: &VmShared, entry: &WorkspaceEntry) -> Result<(), Duration> {
    let deadline = monotonic() + ADMISSION_TIMEOUT;
    let want =
        shared.allowances().entry(entry.workspace.clone()).or_default().record_request(monotonic());
    loop {
        if spend(shared, &entry.workspace) {
            return Ok(());
        }
        let reply = acquire(shared, entry, want).await;
        if spend(shared, &entry.workspace) {
            return Ok(());
        }
        let delay = Duration::from_millis(reply.retry_after_ms.into()).max(MIN_RETRY_DELAY);
        if monotonic() + delay > deadline {
            return Err(delay);
        }
        tokio::time::sleep(delay).await;
    }
}

fn spend(shared: &VmShared, workspace: &WorkspaceId) -> bool {
    let mut allowances = shared.allowances();
    allowances.entry(workspace.clone()).or_default().spend(monotonic())
}

async fn acquire(shared: &VmShared, entry: &WorkspaceEntry, want: u32) -> GrantReply {
    let sent_at = monotonic();
    let grant = next_grant_id();
    let closed = {
        let mut allowances = shared.allowances();
        allowances.entry(entry.workspace.clone()).or_default().take_closed(sent_at)
    };
    let workspace = entry.workspace.clone();
    let request = GrantRequest { workspace, grant, want, closed };
    let reply = match shared.owner(&bucket_key(&entry.workspace)) {
        None => GrantReply::not_owner(),
        Some(owner) if owner == shared.settings.vm => {
            acquire_from_owned_bucket(shared, &owner, &request).await
        }
        Some(owner) => {
            let reply = shared.request(&owner, PeerRequest::Draw(request), ACQUIRE_TIMEOUT).await;
            match reply {
                Ok(PeerReply::Grant(reply)) => reply,
                Ok(_) | Err(_) => borrow_without_owner(shared, entry, grant, want).await,
            }
        }
    };
    let mut allowances = shared.allowances();
    allowances.entry(entry.workspace.clone()).or_default().add(sent_at, grant, reply);
    reply
}

impl GrantReply {
    /// Returns the reply of a VM that does not own the bucket, with a short delay before a retry.
    pub(crate) fn not_owner() -> Self {
        Self { tokens: 0, lifetime_ms: 0, retry_after_ms: 100, owner: false }
    }
}

fn acquire_context(shared: &VmShared, entry: &WorkspaceEntry) -> AcquireContext {
    let now = monotonic();
    AcquireContext {
        now,
        bucket: bucket_of(shared, entry),
        confirmed_share: shared.membership().confirmed_share(now),
    }
}

fn bucket_of(shared: &VmShared, entry: &WorkspaceEntry) -> BucketShare {
    let settings = &shared.settings;
    let workspace = entry.workspace.as_str();
    let (own, all) = (&settings.data_centre, &settings.data_centres);
    BucketShare::of_data_centre(workspace, entry.rate, entry.burst, own, all)
}

fn owned_entry(shared: &VmShared, workspace: &WorkspaceId) -> Option<WorkspaceEntry> {
    let owner = shared.owner(&bucket_key(workspace));
    if owner.as_ref() != Some(&shared.settings.vm) {
        return None;
    }
    shared.with_config(|config| config.workspace(workspace).cloned())
}

/// Grants tokens of a bucket that this VM owns; borrows from other data centres if it is empty.
pub(crate) async fn acquire_from_owned_bucket(
    shared: &VmShared,
    from: &VmId,
    request: &GrantRequest,
) -> GrantReply {
    let Some(entry) = owned_entry(shared, &request.workspace) else {
        return GrantReply::not_owner();
    };
    let reply = shared.buckets().acquire(&acquire_context(shared, &entry), from, request);
    if !reply.bucket_is_empty() || !borrow(shared, &entry, request.want).await {
        return reply;
    }
    // Ownership of the bucket may have moved while this VM waited for the lender.
    if owned_entry(shared, &request.workspace).is_none() {
        return GrantReply::not_owner();
    }
    shared.buckets().acquire(&acquire_context(shared, &entry), from, request)
}

/// Lends tokens of a bucket that this VM owns to another data centre.
pub(crate) fn lend_from_owned_bucket(
    shared: &VmShared,
    from: &VmId,
    request: &GrantRequest,
) -> GrantReply {
    let Some(entry) = owned_entry(shared, &request.workspace) else {
        return GrantReply::not_owner();
    };
    shared.buckets().lend(&acquire_context(shared, &entry), from, request)
}

/// Returns the owners of a workspace's bucket in other data centres, in rotating order.
fn lenders(shared: &VmShared, workspace: &WorkspaceId) -> Vec<VmId> {
    let settings = &shared.settings;
    let others = settings.data_centres.iter().filter(|id| **id != settings.data_centre);
    let mut others: Vec<&DataCentreId> = others.collect();
    let offset = NEXT_GRANT_ID.load(Ordering::Relaxed) as usize % others.len().max(1);
    others.rotate_left(offset);
    let key = bucket_key(workspace);
    others.into_iter().filter_map(|data_centre| shared.owner_in(data_centre, &key)).collect()
}

async fn borrow(shared: &VmShared, entry: &WorkspaceEntry, want: u32) -> bool {
    for lender in lenders(shared, &entry.workspace) {
        if borrow_from(shared, entry, &lender, want).await {
            return true;
        }
    }
    false
}

/// Borrows from other data centres while the bucket's owner in this one does not reply.
///
/// The tokens of a lost owner are unavailable until it is replaced. A lender counts such a grant like any
/// other loan.
async fn borrow_without_owner(
    shared: &VmShared,
    entry: &WorkspaceEntry,
    grant: GrantId,
    want: u32,
) -> GrantReply {
    for lender in lenders(shared, &entry.workspace) {
        let workspace = entry.workspace.clone();
        let request = GrantRequest { workspace, grant, want, closed: Vec::new() };
        if let Some(reply) = request_loan(shared, &lender, request).await {
            return reply;
        }
    }
    GrantReply::not_owner()
}

/// Requests a loan and returns it if it holds at least one token.
async fn request_loan(
    shared: &VmShared,
    lender: &VmId,
    request: GrantRequest,
) -> Option<GrantReply> {
    match shared.request(lender, PeerRequest::Lend(request), LEND_TIMEOUT).await {
        Ok(PeerReply::Grant(reply)) if reply.tokens > 0 => Some(reply),
        Ok(_) | Err(_) => None,
    }
}

async fn borrow_from(shared: &VmShared, entry: &WorkspaceEntry, lender: &VmId, want: u32) -> bool {
    let sent_at = monotonic();
    let workspace = entry.workspace.clone();
    let closed = shared.buckets().take_closed_loans(lender, &workspace);
    let grant = next_grant_id();
    let request = GrantRequest { workspace, grant, want, closed };
    let Some(reply) = request_loan(shared, lender, request).await else { return false };
    let expires_at = sent_at + Duration::from_millis(reply.lifetime_ms.into());
    let loan = TokenLoan { grant, tokens: reply.tokens, expires_at };
    let context = acquire_context(shared, entry);
    shared.buckets().add_loan(&context, lender, &entry.workspace, &loan);
    true
}

/// Releases the buckets that this VM no longer owns and returns them grouped by new owner.
pub(crate) fn release_buckets(shared: &VmShared) -> Vec<(VmId, BucketHandover)> {
    let now = monotonic();
    shared.buckets().on_view_change(now);
    let owner_of = |workspace: &WorkspaceId| shared.owner(&bucket_key(workspace));
    let own = Some(&shared.settings.vm);
    let released = shared.buckets().release(|workspace| owner_of(workspace).as_ref() == own);
    let mut handovers: Vec<(VmId, BucketHandover)> = Vec::new();
    for record in released {
        let Some(owner) = owner_of(&record.workspace) else { continue };
        match handovers.iter_mut().find(|(vm, _)| *vm == owner) {
            Some((_, handover)) => handover.buckets.push(record),
            None => handovers.push((owner, BucketHandover { buckets: vec![record] })),
        }
    }
    handovers
}

/// Takes over buckets from their previous owner.
pub(crate) fn take_over_buckets(shared: &VmShared, handover: &BucketHandover) {
    for record in &handover.buckets {
        if let Some(entry) = owned_entry(shared, &record.workspace) {
            shared.buckets().take_over(&acquire_context(shared, &entry), record);
        }
    }
}

/// Drops idle state that a later request would recreate.
pub(crate) fn compact(shared: &VmShared) {
    let now = monotonic();
    shared.allowances().retain(|_, allowance| !allowance.is_idle(now));
    let bucket_of = |workspace: &WorkspaceId| {
        let entry = shared.with_config(|config| config.workspace(workspace).cloned());
        entry.map_or(BucketShare { rate: 0.0, burst: 0.0 }, |entry| bucket_of(shared, &entry))
    };
    shared.buckets().compact(now, bucket_of);
}
