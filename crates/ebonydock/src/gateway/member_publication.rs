//! Keeps the entry of this VM in the member table, and removes it on a planned stop.
//!
//! [`member_entry`](crate::gateway::member_entry) decides what is written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::member_entry::{EntryAction, MemberGeneration, entry_action};
use crate::gateway::peering::{MEMBER_TABLE, decode_member};
use crate::gateway::runtime::GatewayCore;
use crate::platform::rows::{RowError, RowResult, RowTransaction};

/// Initial and maximum delay before a failed publication is retried; the delay doubles after each failure.
const PUBLISH_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1200));
/// Interval at which a VM compares its entry in the followed table with itself.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Limit for the time in which a stopping VM removes its entry.
const UNPUBLISH_TIMEOUT: Duration = Duration::from_millis(700);

/// What this VM knows of its own entry.
#[derive(Default)]
pub(crate) struct PublicationState {
    /// Set by the first read of the store.
    generation: Cell<Option<MemberGeneration>>,
    /// Version of the row when it last held the entry of this incarnation.
    version: Cell<Option<u64>>,
    is_superseded: Cell<bool>,
}

impl PublicationState {
    /// Returns whether a later incarnation of this VM was published at the last look.
    pub(crate) fn is_superseded(&self) -> bool {
        self.is_superseded.get()
    }

    /// Returns the generation of this incarnation. `store_version` counts only if this is the first read.
    fn generation(&self, incarnation: u64, store_version: u64) -> MemberGeneration {
        let first_read = MemberGeneration { first_version: store_version, incarnation };
        let generation = self.generation.get().unwrap_or(first_read);
        self.generation.set(Some(generation));
        generation
    }
}

impl GatewayCore {
    /// Removes the entry of this incarnation on a planned stop.
    pub(crate) async fn unpublish(&self) {
        let own = self.peering.own_entry();
        let outcome = tokio::time::timeout(UNPUBLISH_TIMEOUT, self.delete_own_entry()).await;
        let outcome = outcome.unwrap_or_else(|_| {
            Err(RowError::Unknown(format!("no response within {UNPUBLISH_TIMEOUT:?}")))
        });
        match outcome {
            Ok(()) => {}
            Err(RowError::Conflict) => {
                log::info!(vm = own.vm.as_str(); "member entry not removed: it is no longer this VM's");
            }
            Err(error) => {
                log::warn!(
                    vm = own.vm.as_str(), error = error.to_string();
                    "member entry not removed; it stays until the VM starts again"
                );
            }
        }
    }

    /// Returns whether the followed table shows the entry of this incarnation.
    fn is_own_entry_listed(&self) -> bool {
        let own = self.peering.own_entry();
        self.peering.is_member(&own.vm, own.incarnation)
    }

    async fn delete_own_entry(&self) -> RowResult<()> {
        let own = self.peering.own_entry();
        let version = if let Some(version) = self.peering.publication.version.get() {
            version
        } else {
            // A publication whose response was lost may have been applied.
            let (stored, _) = self.read_own_entry().await?;
            match stored {
                Some((generation, version)) if generation.incarnation == own.incarnation => version,
                _ => return Ok(()),
            }
        };
        let transaction = RowTransaction::in_partition("")
            .expect(MEMBER_TABLE, own.vm.as_str(), version)
            .delete(MEMBER_TABLE, own.vm.as_str());
        self.rows.transact(&transaction).await.map(|_| ())
    }

    /// Reads the row of this VM. Returns its generation and version, and the version of the store.
    async fn read_own_entry(&self) -> RowResult<(Option<(MemberGeneration, u64)>, u64)> {
        let vm = self.peering.own_entry().vm.as_str();
        // The smallest possible next key: keys contain no character that sorts before the space.
        let page = self.rows.range(MEMBER_TABLE, "", vm, &format!("{vm} ")).await?;
        let row = page.rows.iter().find(|row| row.key == vm);
        // An unreadable row is replaced like that of an earlier incarnation.
        let stored = row.map(|row| {
            let generation = decode_member(row).map(|(_, generation)| generation);
            (generation.unwrap_or_default(), row.version)
        });
        Ok((stored, page.version))
    }

    /// Makes sure that the store holds the entry of this incarnation, unless a later one has published
    /// itself.
    async fn publish_entry(&self) -> RowResult<()> {
        let own = self.peering.own_entry();
        let state = &self.peering.publication;
        let vm = own.vm.as_str();
        let (stored, store_version) = self.read_own_entry().await?;
        let generation = state.generation(own.incarnation, store_version);
        let action = entry_action(generation, stored);
        let was_superseded = state.is_superseded.replace(action == EntryAction::Yield);
        match action {
            EntryAction::Keep => state.version.set(stored.map(|(_, version)| version)),
            EntryAction::Yield if was_superseded => {}
            EntryAction::Yield => {
                log::warn!(
                    vm = vm, first_version = generation.first_version;
                    "a later incarnation of this VM is published; this one leads no jobs any more"
                );
            }
            EntryAction::Publish { expected } => {
                // Until the outcome is known, a deletion has to read the version first.
                state.version.set(None);
                let transaction = RowTransaction::in_partition("")
                    .expect(MEMBER_TABLE, vm, expected)
                    .write(MEMBER_TABLE, vm, own.encode(generation.first_version));
                let version = self.rows.transact(&transaction).await?;
                state.version.set(Some(version));
                log::info!(vm = vm, version = version, replaced_version = expected; "member entry published");
            }
        }
        Ok(())
    }
}

/// Publishes this VM, and again whenever the followed table no longer shows its entry.
pub(crate) async fn keep_published(core: Rc<GatewayCore>) {
    let mut retry_delay = PUBLISH_RETRY_DELAYS.0;
    while !core.is_stopping() {
        match core.publish_entry().await {
            Ok(()) => {
                retry_delay = PUBLISH_RETRY_DELAYS.0;
                tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
                while core.is_own_entry_listed() {
                    tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
                }
            }
            Err(error) => {
                log::warn!(
                    error = error.to_string(), retry_ms = retry_delay.as_millis() as u64;
                    "member entry could not be published; retrying"
                );
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(PUBLISH_RETRY_DELAYS.1);
            }
        }
    }
}
