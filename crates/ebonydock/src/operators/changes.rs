//! Bringing accepted changes into force.

use std::rc::Rc;

use crate::configuration::VersionedBatch;
use crate::configuration::messages::{ChangeBatch, ChangeReply};
use crate::peers::messages::PeerRequest;
use crate::routing::broadcast;
use crate::vm::VmContext;

/// Brings changes into force at this VM. Returns the batches that were new.
pub(crate) fn apply_reply(context: &VmContext, reply: ChangeReply) -> Vec<VersionedBatch> {
    let before = context.shared.with_config(|config| config.version);
    let applied = context.shared.update_config(|state| state.advance(reply));
    let after = context.shared.with_config(|config| config.version);
    if after > before {
        log::info!("config: Version {after} is in force.");
    }
    applied
}

/// Tells the other VMs of the data centre, and one VM of each other data centre, which relays.
pub(crate) fn announce(context: &Rc<VmContext>, batches: &[VersionedBatch], far: bool) {
    if batches.is_empty() {
        return;
    }
    broadcast(context, far, |relay| {
        PeerRequest::Announce(ChangeBatch { batches: batches.to_vec(), relay })
    });
}
