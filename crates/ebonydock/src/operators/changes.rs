//! Activation of accepted configuration changes, and their announcement to other VMs.

use std::rc::Rc;

use crate::configuration::VersionedBatch;
use crate::configuration::messages::{ChangeBatch, ChangeReply};
use crate::peers::messages::PeerRequest;
use crate::routing::broadcast;
use crate::vm::VmContext;

/// Activates changes on this VM. Returns the batches that were new.
pub(crate) fn apply_reply(context: &VmContext, reply: ChangeReply) -> Vec<VersionedBatch> {
    let before = context.shared.with_config(|config| config.version);
    let applied = context.shared.update_config(|state| state.advance(reply));
    let after = context.shared.with_config(|config| config.version);
    if after > before {
        log::info!("config: Version {after} is active.");
    }
    applied
}

/// Announces changes to the other VMs of the data centre. With `to_all_data_centres`, also announces
/// them to one VM of each other data centre, which relays them.
pub(crate) fn announce(
    context: &Rc<VmContext>,
    batches: &[VersionedBatch],
    to_all_data_centres: bool,
) {
    if batches.is_empty() {
        return;
    }
    broadcast(context, to_all_data_centres, |relay| {
        PeerRequest::Announce(ChangeBatch { batches: batches.to_vec(), relay })
    });
}
