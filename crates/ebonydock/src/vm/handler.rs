//! The handler of requests and datagrams from other VMs.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use crate::clock::monotonic;
use crate::configuration::messages::ChangeReply;
use crate::ids::VmId;
use crate::jobs::{JobKey, notify_members, run_chunk};
use crate::limits::admission::{
    acquire_from_owned_bucket, lend_from_owned_bucket, take_over_buckets,
};
use crate::membership::messages::DataCentreDigest;
use crate::operators::{announce, apply_reply};
use crate::peers::PeerEvents;
use crate::peers::messages::{PeerDatagram, PeerReply, PeerRequest};
use crate::routing::{acquire_locally, send_in_background, send_revocations};
use crate::vm::VmContext;
use crate::vm::tasks::on_view_change;

/// Handles requests and datagrams from other VMs.
pub(crate) struct PeerHandler {
    context: Rc<VmContext>,
}

impl PeerHandler {
    /// Returns a handler that uses the clients of `context`.
    pub(crate) fn open(context: &Rc<VmContext>) -> Self {
        Self { context: Rc::clone(context) }
    }

    async fn reply(&self, from: VmId, request: PeerRequest) -> PeerReply {
        let context = &self.context;
        let shared = &context.shared;
        let now = monotonic();
        match request {
            PeerRequest::Acquire(request) => {
                PeerReply::Acquire(acquire_locally(context, &from, request).await)
            }
            PeerRequest::Started(report) => {
                send_revocations(context, shared.pools.record_response_start(now, &report));
                PeerReply::Done
            }
            PeerRequest::Release(report) => {
                send_revocations(context, shared.pools.release(now, &report));
                PeerReply::Done
            }
            PeerRequest::Revoke(request) => {
                shared.held.revoke(request.lease);
                PeerReply::Done
            }
            PeerRequest::Held(query) => PeerReply::Held(shared.held.list(&query.model)),
            PeerRequest::Draw(request) => {
                PeerReply::Grant(acquire_from_owned_bucket(shared, &from, &request).await)
            }
            PeerRequest::Lend(request) => {
                PeerReply::Grant(lend_from_owned_bucket(shared, &from, &request))
            }
            PeerRequest::Handover(handover) => {
                take_over_buckets(shared, &handover);
                PeerReply::Done
            }
            PeerRequest::Changes(query) => {
                PeerReply::Changes(shared.with_config_state(|state| state.reply_after(query.after)))
            }
            PeerRequest::Fleet => PeerReply::Fleet(shared.fleet().listing().clone()),
            PeerRequest::Announce(batch) => {
                let applied = apply_reply(context, ChangeReply::Batches(batch.batches));
                if batch.relay {
                    announce(context, &applied, false);
                }
                PeerReply::Done
            }
            PeerRequest::RunChunk(request) => match run_chunk(context, &request).await {
                Ok(report) => PeerReply::Chunk(report),
                Err(error) => PeerReply::Rejected(error.to_string()),
            },
            PeerRequest::Job(signal) => {
                let key = JobKey { workspace: signal.workspace, job: signal.job };
                if signal.relay {
                    notify_members(context, &key, false);
                } else {
                    shared.wake_job(key);
                }
                PeerReply::Done
            }
            PeerRequest::Digest(digest) => {
                self.on_digest(digest);
                PeerReply::Done
            }
        }
    }

    /// Records a digest of another data centre. If it is new and still to be relayed, sends it to the
    /// members of this data centre.
    fn on_digest(&self, mut digest: DataCentreDigest) {
        let relay = std::mem::replace(&mut digest.relay, false);
        let is_new = self.context.shared.fleet().record_digest(monotonic(), digest.clone());
        if !(relay && is_new) {
            return;
        }
        let members: Vec<VmId> =
            self.context.shared.membership().members().map(|(vm, _)| vm.clone()).collect();
        for vm in members {
            send_in_background(&self.context, vm, PeerRequest::Digest(digest.clone()));
        }
    }
}

impl PeerEvents for PeerHandler {
    fn handle_request(
        self: Rc<Self>,
        from: VmId,
        request: PeerRequest,
    ) -> LocalBoxFuture<'static, PeerReply> {
        Box::pin(async move { self.reply(from, request).await })
    }

    fn handle_datagram(&self, from: VmId, datagram: PeerDatagram<'_>) {
        // Only gateways use load reports.
        let PeerDatagram::Heartbeat(heartbeat) = datagram else { return };
        let shared = &self.context.shared;
        for pool in &heartbeat.pools {
            shared.fleet().record_pool(pool.clone());
        }
        let changed = shared.membership().receive(monotonic(), &from, &heartbeat);
        if changed {
            on_view_change(&self.context);
        }
    }
}
