//! Acquisition of leases on targets, in the local data centre or another one.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::monotonic;
use crate::ids::{DataCentreId, ModelName, TargetId, VmId};
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::routing::order::{DataCentreLoad, rank_data_centres};
use crate::scheduling::PendingRevocation;
use crate::scheduling::messages::{
    AcquireRefusal, AcquireReply, AcquireRequest, HeldLease, LeaseGrant, LeaseOutcome,
    ReleaseReport, RequestDemand, RevokeRequest, StartReport,
};
use crate::vm::VmContext;

/// Timeout of a request to another VM, excluding the time that a request for a lease may wait there.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait in one data centre while another one could serve the request as well.
const MAX_WAIT_PER_DATA_CENTRE: Duration = Duration::from_millis(400);
/// Delay before all data centres are tried again. The owner of a pool may have changed meanwhile.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of the use of a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseUsage {
    /// Outcome of the use.
    pub(crate) outcome: LeaseOutcome,
    /// Number of generated tokens.
    pub(crate) tokens: u32,
    /// Mean time between tokens, in microseconds; 0 if unknown.
    pub(crate) token_micros: u32,
    /// Incarnation of the target that responded; 0 if unknown.
    pub(crate) start_id: u64,
}

/// Lease on a target. Dropping it returns the lease as cancelled.
pub(crate) struct LeaseGuard {
    context: Rc<VmContext>,
    data_centre: DataCentreId,
    model: ModelName,
    grant: LeaseGrant,
    revoked: watch::Receiver<bool>,
    returned: bool,
}

impl LeaseGuard {
    /// Returns the target that the lease is on.
    pub(crate) fn target(&self) -> &TargetId {
        &self.grant.target
    }

    /// Returns the address of the target, `host:port`.
    pub(crate) fn address(&self) -> &str {
        &self.grant.address
    }

    /// Waits until the lease is revoked.
    pub(crate) async fn revoked(&mut self) {
        if self.revoked.wait_for(|revoked| *revoked).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reports the target's incarnation to the scheduler, if it asked for it or knows another one.
    pub(crate) fn report_response_start(&self, start_id: u64) {
        if start_id == 0 || (!self.grant.probe && start_id == self.grant.start_id) {
            return;
        }
        let report = StartReport { model: self.model.clone(), lease: self.grant.lease, start_id };
        self.send_to_owner(PeerRequest::Started(report));
    }

    /// Returns the lease to the scheduler.
    pub(crate) fn release(mut self, usage: LeaseUsage) {
        self.return_lease(usage);
    }

    fn return_lease(&mut self, usage: LeaseUsage) {
        if self.returned {
            return;
        }
        self.returned = true;
        self.context.shared.held.remove(self.grant.lease);
        let report = ReleaseReport {
            model: self.model.clone(),
            lease: self.grant.lease,
            outcome: usage.outcome,
            tokens: usage.tokens,
            token_micros: usage.token_micros,
            start_id: usage.start_id,
        };
        self.send_to_owner(PeerRequest::Release(report));
    }

    fn send_to_owner(&self, request: PeerRequest) {
        let owner = self.context.shared.owner_in(&self.data_centre, &pool_key(&self.model));
        if let Some(owner) = owner {
            send_in_background(&self.context, owner, request);
        }
    }
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        let outcome = LeaseOutcome::Cancelled;
        self.return_lease(LeaseUsage { outcome, tokens: 0, token_micros: 0, start_id: 0 });
    }
}

/// Returns the ownership key that decides which VM schedules a model's pool.
pub(crate) fn pool_key(model: &ModelName) -> String {
    format!("pool/{model}")
}

/// Sends a request in the background and ignores the reply. A request to this VM is handled at once.
pub(crate) fn send_in_background(context: &Rc<VmContext>, vm: VmId, request: PeerRequest) {
    if vm == context.settings().vm {
        handle_local(context, &request);
        return;
    }
    let context = Rc::clone(context);
    ntex::rt::spawn(async move {
        if let Err(error) = context.shared.request(&vm, request, CALL_TIMEOUT).await {
            log::debug!(
                "routing: A background request to VM `{vm}` failed and is dropped: {error}."
            );
        }
    });
}

/// Sends a message to every other VM of the data centre and, if `other_data_centres`, to one VM of
/// each other data centre. The parameter of `message` says whether the receiver relays it to its
/// own data centre.
pub(crate) fn broadcast(
    context: &Rc<VmContext>,
    other_data_centres: bool,
    message: impl Fn(bool) -> PeerRequest,
) {
    let members: Vec<VmId> =
        context.shared.membership().members().map(|(vm, _)| vm.clone()).collect();
    for vm in members {
        send_in_background(context, vm, message(false));
    }
    let relays = if other_data_centres { context.shared.relays() } else { Vec::new() };
    for vm in relays {
        send_in_background(context, vm, message(true));
    }
}

fn handle_local(context: &Rc<VmContext>, request: &PeerRequest) {
    let now = monotonic();
    let revocations = match request {
        PeerRequest::Started(report) => context.shared.pools.record_response_start(now, report),
        PeerRequest::Release(report) => context.shared.pools.release(now, report),
        PeerRequest::Revoke(request) => {
            context.shared.held.revoke(request.lease);
            Vec::new()
        }
        _ => Vec::new(),
    };
    send_revocations(context, revocations);
}

/// Sends revocations of batch leases to the holders.
pub(crate) fn send_revocations(context: &Rc<VmContext>, revocations: Vec<PendingRevocation>) {
    for PendingRevocation { lease, holder } in revocations {
        send_in_background(context, holder, PeerRequest::Revoke(RevokeRequest { lease }));
    }
}

/// Returns the data centres in the order in which a request for `model` should try them.
pub(crate) fn data_centres_for(context: &VmContext, model: &ModelName) -> Vec<DataCentreId> {
    let settings = context.settings();
    let out_of_service: Vec<DataCentreId> =
        context.shared.with_config(|config| config.data_centres_out().cloned().collect());
    let fleet = context.shared.fleet();
    let now = monotonic();
    let load = |data_centre: &DataCentreId| {
        let is_local = *data_centre == settings.data_centre;
        let pools: Vec<_> = if is_local {
            fleet.local_pools().collect()
        } else {
            fleet.digest(now, data_centre)?.pools.iter().collect()
        };
        let pool = pools.into_iter().find(|pool| pool.model == *model).cloned();
        Some(DataCentreLoad { data_centre: data_centre.clone(), is_local, pool })
    };
    let usable = settings.data_centres.iter().filter(|id| !out_of_service.contains(id));
    let serving = usable.filter(|id| !fleet.engines(id, model).is_empty());
    rank_data_centres(serving.filter_map(load).collect())
}

/// Acquires a lease within `wait`, trying the data centres in order.
///
/// # Errors
///
/// Returns the last refusal if no lease was granted. Nothing was sent to a target.
pub(crate) async fn acquire(
    context: &Rc<VmContext>,
    model: &ModelName,
    demand: &RequestDemand,
    excluded: &[TargetId],
    wait: Duration,
) -> Result<LeaseGuard, AcquireRefusal> {
    let deadline = monotonic() + wait;
    let mut refusal = AcquireRefusal::NoCapableTarget;
    loop {
        let data_centres = data_centres_for(context, model);
        let is_only_candidate = data_centres.len() == 1;
        for data_centre in &data_centres {
            let left = deadline.saturating_sub(monotonic());
            let wait = if is_only_candidate { left } else { left.min(MAX_WAIT_PER_DATA_CENTRE) };
            let request = AcquireRequest {
                model: model.clone(),
                demand: demand.clone(),
                wait_ms: wait.as_millis() as u32,
                excluded: excluded.to_vec(),
            };
            match acquire_in(context, data_centre, request).await {
                Ok(lease) => return Ok(lease),
                Err(reason) => refusal = reason,
            }
        }
        if refusal == AcquireRefusal::NoCapableTarget || monotonic() + OWNER_RETRY_DELAY >= deadline
        {
            return Err(refusal);
        }
        tokio::time::sleep(OWNER_RETRY_DELAY).await;
    }
}

async fn acquire_in(
    context: &Rc<VmContext>,
    data_centre: &DataCentreId,
    request: AcquireRequest,
) -> Result<LeaseGuard, AcquireRefusal> {
    let owner = context.shared.owner_in(data_centre, &pool_key(&request.model));
    let owner = owner.ok_or(AcquireRefusal::NotOwner)?;
    let model = request.model.clone();
    let demand = request.demand.clone();
    let reply = if owner == context.settings().vm {
        acquire_locally(context, &owner, request).await
    } else {
        let timeout = Duration::from_millis(request.wait_ms.into()) + CALL_TIMEOUT;
        let reply = context.shared.request(&owner, PeerRequest::Acquire(request), timeout).await;
        match reply {
            Ok(PeerReply::Acquire(reply)) => reply,
            Ok(_) | Err(_) => AcquireReply::Refused(AcquireRefusal::NotOwner),
        }
    };
    match reply {
        AcquireReply::Refused(refusal) => Err(refusal),
        AcquireReply::Granted(grant) => {
            Ok(register_lease(context, data_centre.clone(), model, demand, grant))
        }
    }
}

fn register_lease(
    context: &Rc<VmContext>,
    data_centre: DataCentreId,
    model: ModelName,
    demand: RequestDemand,
    grant: LeaseGrant,
) -> LeaseGuard {
    let record = HeldLease { lease: grant.lease, target: grant.target.clone(), demand };
    let revoked = context.shared.held.insert(&model, record);
    LeaseGuard { context: Rc::clone(context), data_centre, model, grant, revoked, returned: false }
}

/// Waits for a lease on a target of a pool that this VM schedules.
pub(crate) async fn acquire_locally(
    context: &Rc<VmContext>,
    holder: &VmId,
    request: AcquireRequest,
) -> AcquireReply {
    let (pending, revocations) = context.shared.pools.acquire(monotonic(), holder, request);
    send_revocations(context, revocations);
    match pending {
        Some(pending) => pending.wait().await,
        None => AcquireReply::Refused(AcquireRefusal::NotOwner),
    }
}
