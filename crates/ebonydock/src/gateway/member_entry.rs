//! Decides what a VM does about its entry in the member table, without I/O.
//!
//! Calls to the store may take effect late or not at all, and a predecessor of a VM may still have calls
//! under way. Every write and deletion therefore expects the version of the entry that it was decided on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::unix_micros;
use crate::gateway::job_records::encode;
use crate::ids::{DataCentreId, VmId};

/// Orders the incarnations of one VM by the time of their starts.
///
/// A process reads the store after its predecessor has ended, so its first version is not lower. The versions are
/// equal if nothing was written meanwhile; the number of the incarnation then decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberGeneration {
    /// Version of the store when the incarnation first read it; 0 for entries of earlier releases.
    pub(crate) first_version: u64,
    /// Number of the incarnation, see [`new_incarnation`].
    pub(crate) incarnation: u64,
}

/// Bits of an incarnation's number that are random.
const RANDOM_BITS: u32 = 12;

/// Returns the number of a new incarnation. Numbers grow with the wall clock.
pub(crate) fn new_incarnation() -> u64 {
    let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
    (unix_micros() << RANDOM_BITS) | random
}

/// The entry that a VM publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayMember {
    /// The name of the VM.
    pub(crate) vm: VmId,
    /// Differs for each start of the VM.
    pub(crate) incarnation: u64,
    /// The data centre of the VM.
    pub(crate) data_centre: DataCentreId,
    /// The VM's processor share in thousandths of a core.
    pub(crate) capacity: u32,
    /// The address for messages from other VMs.
    pub(crate) address: SocketAddr,
    /// The certificate of the VM, in PEM.
    pub(crate) certificate: String,
}

impl GatewayMember {
    /// Encodes the entry. The version follows the member, where earlier releases ignore it.
    pub(crate) fn encode(&self, first_version: u64) -> Vec<u8> {
        let mut row = encode(self);
        row.extend(encode(&first_version));
        row
    }

    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// Returns the reason if the row is no entry.
    pub(crate) fn decode(row: &[u8]) -> Result<(Self, MemberGeneration), String> {
        let unreadable = |error: postcard::Error| format!("row cannot be decoded: {error}");
        let (member, rest) = postcard::take_from_bytes::<Self>(row).map_err(unreadable)?;
        let first_version =
            if rest.is_empty() { 0 } else { postcard::from_bytes(rest).map_err(unreadable)? };
        let generation = MemberGeneration { first_version, incarnation: member.incarnation };
        Ok((member, generation))
    }
}

/// What a VM does about its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryAction {
    /// The entry is as it should be.
    Keep,
    /// Write the entry if the row still has this version; 0 if it must be absent.
    Publish {
        /// Version of the row that is replaced.
        expected: u64,
    },
    /// A later incarnation of the VM has published itself; this one must not act for the VM any more.
    Yield,
}

/// Decides from the stored generation and version of the VM's row; `None` if there is no readable row.
pub(crate) fn entry_action(
    own: MemberGeneration,
    stored: Option<(MemberGeneration, u64)>,
) -> EntryAction {
    match stored {
        None => EntryAction::Publish { expected: 0 },
        Some((generation, _)) if generation == own => EntryAction::Keep,
        Some((generation, _)) if generation > own => EntryAction::Yield,
        Some((_, version)) => EntryAction::Publish { expected: version },
    }
}
