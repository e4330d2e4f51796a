//! Getting a lease on a target, in the own data centre or another one.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::monotonic;
use crate::ids::{DataCentreId, ModelName, TargetId, VmId};
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::routing::order::{DataCentreLoad, rank_data_centres};
use crate::scheduling::PendingRevoke;
use crate::scheduling::messages::{
    AcquireRefusal, AcquireReply, AcquireRequest, HeldRecord, LeaseGrant, LeaseOutcome,
    ReleaseReport, RequestDemand, RevokeOrder, StartReport,
};
use crate::vm::VmContext;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The first data centre gets this much of the wait while another one could serve as well.
const FIRST_WAIT: Duration = Duration::from_millis(400);
/// Owners change; a VM that does not own the pool any more is asked again after this time.
const OWNER_PAUSE: Duration = Duration::from_millis(100);

/// What the use of a lease showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseUse {
    /// How it ended.
    pub(crate) outcome: LeaseOutcome,
    /// Tokens generated.
    pub(crate) tokens: u32,
    /// Mean time between tokens, in microseconds; 0 if unknown.
    pub(crate) token_micros: u32,
    /// The start of the target that answered; 0 if unknown.
    pub(crate) start_id: u64,
}

/// A lease on a target, returned as cancelled when dropped.
pub(crate) struct LeaseGuard {
    context: Rc<VmContext>,
    data_centre: DataCentreId,
    model: ModelName,
    grant: LeaseGrant,
    revoked: watch::Receiver<bool>,
    returned: bool,
}

impl LeaseGuard {
    /// The target.
    pub(crate) fn target(&self) -> &TargetId {
        &self.grant.target
    }

    /// The address of the target, `host:port`.
    pub(crate) fn address(&self) -> &str {
        &self.grant.address
    }

    /// Waits until the lease is taken back.
    pub(crate) async fn revoked(&mut self) {
        if self.revoked.wait_for(|revoked| *revoked).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Tells the scheduler which start of the target answers, if it wants to know.
    pub(crate) fn report_start(&self, start_id: u64) {
        if start_id == 0 || (!self.grant.probe && start_id == self.grant.start_id) {
            return;
        }
        let report = StartReport { model: self.model.clone(), lease: self.grant.lease, start_id };
        self.send_to_owner(PeerRequest::Started(report));
    }

    /// Returns the lease.
    pub(crate) fn release(mut self, usage: LeaseUse) {
        self.give_back(usage);
    }

    fn give_back(&mut self, usage: LeaseUse) {
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
        self.give_back(LeaseUse { outcome, tokens: 0, token_micros: 0, start_id: 0 });
    }
}

/// The key that decides which VM schedules a model's pool.
pub(crate) fn pool_key(model: &ModelName) -> String {
    format!("pool/{model}")
}

/// Sends a request whose reply does not matter; the VM itself handles its own at once.
pub(crate) fn send_in_background(context: &Rc<VmContext>, vm: VmId, request: PeerRequest) {
    if vm == context.settings().vm {
        handle_local(context, &request);
        return;
    }
    let context = Rc::clone(context);
    ntex::rt::spawn(async move {
        if let Err(error) = context.shared.request(&vm, request, CALL_TIMEOUT).await {
            log::debug!("routing: VM `{vm}` did not take a message: {error}.");
        }
    });
}

/// Sends a message to every other VM of the data centre and, if `far`, to one VM of each other data
/// centre. `message` is told whether the receiver relays it to its own data centre.
pub(crate) fn broadcast(context: &Rc<VmContext>, far: bool, message: impl Fn(bool) -> PeerRequest) {
    let members: Vec<VmId> =
        context.shared.membership().members().map(|(vm, _)| vm.clone()).collect();
    for vm in members {
        send_in_background(context, vm, message(false));
    }
    let relays = if far { context.shared.relays() } else { Vec::new() };
    for vm in relays {
        send_in_background(context, vm, message(true));
    }
}

fn handle_local(context: &Rc<VmContext>, request: &PeerRequest) {
    let now = monotonic();
    let revokes = match request {
        PeerRequest::Started(report) => context.shared.pools.started(now, report),
        PeerRequest::Release(report) => context.shared.pools.release(now, report),
        PeerRequest::Revoke(order) => {
            context.shared.held.revoke(order.lease);
            Vec::new()
        }
        _ => Vec::new(),
    };
    send_revokes(context, revokes);
}

/// Takes batch leases back from their holders.
pub(crate) fn send_revokes(context: &Rc<VmContext>, revokes: Vec<PendingRevoke>) {
    for PendingRevoke { lease, holder } in revokes {
        send_in_background(context, holder, PeerRequest::Revoke(RevokeOrder { lease }));
    }
}

/// The data centres in the order in which a request for `model` should try them.
pub(crate) fn data_centres_for(context: &VmContext, model: &ModelName) -> Vec<DataCentreId> {
    let settings = context.settings();
    let out: Vec<DataCentreId> =
        context.shared.with_config(|config| config.data_centres_out().cloned().collect());
    let fleet = context.shared.fleet();
    let now = monotonic();
    let load = |data_centre: &DataCentreId| {
        let own = *data_centre == settings.data_centre;
        let pools: Vec<_> = if own {
            fleet.local_pools().collect()
        } else {
            fleet.digest(now, data_centre)?.pools.iter().collect()
        };
        let pool = pools.into_iter().find(|pool| pool.model == *model).cloned();
        Some(DataCentreLoad { data_centre: data_centre.clone(), own, pool })
    };
    let usable = settings.data_centres.iter().filter(|id| !out.contains(id));
    let serving = usable.filter(|id| !fleet.engines(id, model).is_empty());
    rank_data_centres(serving.filter_map(load).collect())
}

/// Gets a lease within `wait`, trying data centres in order.
///
/// # Errors
///
/// The last refusal. Nothing was sent to a target.
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
        let alone = data_centres.len() == 1;
        for data_centre in &data_centres {
            let left = deadline.saturating_sub(monotonic());
            let part = if alone { left } else { left.min(FIRST_WAIT) };
            let request = AcquireRequest {
                model: model.clone(),
                demand: demand.clone(),
                wait_ms: part.as_millis() as u32,
                excluded: excluded.to_vec(),
            };
            match acquire_in(context, data_centre, request).await {
                Ok(lease) => return Ok(lease),
                Err(reason) => refusal = reason,
            }
        }
        if refusal == AcquireRefusal::NoCapableTarget || monotonic() + OWNER_PAUSE >= deadline {
            return Err(refusal);
        }
        tokio::time::sleep(OWNER_PAUSE).await;
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
            Ok(hold(context, data_centre.clone(), model, demand, grant))
        }
    }
}

fn hold(
    context: &Rc<VmContext>,
    data_centre: DataCentreId,
    model: ModelName,
    demand: RequestDemand,
    grant: LeaseGrant,
) -> LeaseGuard {
    let record = HeldRecord { lease: grant.lease, target: grant.target.clone(), demand };
    let revoked = context.shared.held.insert(&model, record);
    LeaseGuard { context: Rc::clone(context), data_centre, model, grant, revoked, returned: false }
}

/// Waits for a lease of a pool that this VM schedules.
pub(crate) async fn acquire_locally(
    context: &Rc<VmContext>,
    holder: &VmId,
    request: AcquireRequest,
) -> AcquireReply {
    let (pending, revokes) = context.shared.pools.acquire(monotonic(), holder, request);
    send_revokes(context, revokes);
    match pending {
        Some(pending) => pending.wait().await,
        None => AcquireReply::Refused(AcquireRefusal::NotOwner),
    }
}
