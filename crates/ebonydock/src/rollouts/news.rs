//! What VMs tell each other of roll-outs in their load reports.
//!
//! The evidence of a VM is larger than what a datagram has room for next to the load, so it is sent in parts, each
//! in a few reports in a row because relays forward only the latest one.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::VmId;
use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::evidence::RolloutReport;

/// Bytes of a part. With the load of a VM that uses 60 targets it fits into a datagram of 1,000 bytes.
const PART_BYTES: usize = 320;
/// Time for which a part is sent; three reports in a fleet of up to 100 VMs.
const PART_TIME: Duration = Duration::from_millis(45);
/// Shortest time between the beginnings of two generations of evidence.
const GENERATION_TIME: Duration = Duration::from_millis(150);
/// Time after which unchanged evidence is sent again, because parts may have been lost.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Limit for the parts of a generation; evidence has a few of them.
const MAX_PARTS: u8 = 64;

/// Part of a VM's evidence on all running roll-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidencePart {
    /// Increases with each state of the evidence.
    pub generation: u32,
    /// Number of the part.
    pub index: u8,
    /// Number of parts of the generation.
    pub count: u8,
    /// Bytes of the encoded evidence.
    pub bytes: Vec<u8>,
}

/// News of roll-outs in a load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// States of the roll-outs that the VM leads or has led just now.
    pub announcements: Vec<RolloutAnnouncement>,
    /// Evidence of the VM; `None` if no roll-out runs.
    pub part: Option<EvidencePart>,
}

/// Divides the evidence of this VM into parts.
#[derive(Debug, Default)]
pub(crate) struct EvidenceSender {
    generation: u32,
    bytes: Vec<u8>,
    index: u8,
    generation_at: Duration,
    part_at: Duration,
}

impl EvidenceSender {
    /// Goes on to the next part once the last one was reported for `part_time`. Returns whether a new generation is
    /// to begin.
    pub(crate) fn advance(&mut self, now: Duration, part_time: Duration) -> bool {
        if self.generation == 0 {
            return true;
        }
        if now < self.part_at + part_time.max(PART_TIME) {
            return false;
        }
        if self.index + 1 < self.count() {
            self.index += 1;
            self.part_at = now;
            return false;
        }
        now >= self.generation_at + GENERATION_TIME
    }

    /// Returns the part to report now.
    pub(crate) fn part(&self) -> EvidencePart {
        let from = usize::from(self.index) * PART_BYTES;
        let to = (from + PART_BYTES).min(self.bytes.len());
        EvidencePart {
            generation: self.generation,
            index: self.index,
            count: self.count(),
            bytes: self.bytes[from..to].to_vec(),
        }
    }

    /// Begins a new generation if the evidence has changed.
    pub(crate) fn begin(&mut self, now: Duration, reports: &[RolloutReport]) {
        let is_new = self.generation == 0;
        let bytes = postcard::to_stdvec(reports)
            .unwrap_or_else(|error| unreachable!("evidence always encodes: {error}"));
        let is_repeated = now >= self.generation_at + REPEAT_TIME;
        if !is_new && bytes == self.bytes && !is_repeated {
            return;
        }
        if bytes.len() > usize::from(MAX_PARTS) * PART_BYTES {
            log::error!(bytes = bytes.len() as u64; "evidence on roll-outs too large to be reported");
            return;
        }
        (self.bytes, self.index) = (bytes, 0);
        self.generation += 1;
        (self.generation_at, self.part_at) = (now, now);
    }

    fn count(&self) -> u8 {
        self.bytes.len().div_ceil(PART_BYTES).max(1) as u8
    }
}

/// Parts of one VM's evidence that have arrived.
#[derive(Debug)]
struct PartialEvidence {
    incarnation: u64,
    generation: u32,
    parts: Vec<Option<Vec<u8>>>,
}

/// Puts the parts of other VMs together.
#[derive(Debug, Default)]
pub(crate) struct EvidenceReceiver(HashMap<VmId, PartialEvidence>);

impl EvidenceReceiver {
    /// Adds a part. Returns the evidence if it is complete now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the evidence cannot be decoded.
    pub(crate) fn add(
        &mut self,
        vm: &VmId,
        incarnation: u64,
        part: &EvidencePart,
    ) -> Result<Option<Vec<RolloutReport>>, String> {
        if part.index >= part.count || part.count > MAX_PARTS {
            return Err(format!("part {} of {}", part.index, part.count));
        }
        let is_same = |known: &PartialEvidence| {
            (known.incarnation, known.generation) == (incarnation, part.generation)
                && known.parts.len() == usize::from(part.count)
        };
        if !self.0.get(vm).is_some_and(is_same) {
            let parts = vec![None; usize::from(part.count)];
            let generation = part.generation;
            self.0.insert(vm.clone(), PartialEvidence { incarnation, generation, parts });
        }
        let Some(known) = self.0.get_mut(vm) else { return Ok(None) };
        let slot = &mut known.parts[usize::from(part.index)];
        if slot.is_some() {
            return Ok(None);
        }
        *slot = Some(part.bytes.clone());
        let Some(parts) = known.parts.iter().map(Option::as_deref).collect::<Option<Vec<_>>>()
        else {
            return Ok(None);
        };
        postcard::from_bytes(&parts.concat()).map(Some).map_err(|error| error.to_string())
    }

    /// Forgets all parts once no roll-out runs.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
