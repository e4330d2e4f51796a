//! Reads the leases of other VMs and renews that of this VM.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::job_lease::{LEASE_RENEWAL_INTERVAL, LEASE_TABLE, VmLease};
use crate::gateway::job_records::{decode, encode};
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::platform::rows::{RowError, RowResult, RowTransaction, StoredRow};

/// Timeout of a renewal. Shorter than that of other calls, so that a lease outlasts a lost response.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a failed read of another VM's lease is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(300);

impl GatewayCore {
    /// Reads the lease of a VM and then looks again for jobs to claim.
    pub(crate) fn spawn_lease_read(self: &Rc<Self>, vm: VmId) {
        if !self.jobs.reading_leases.borrow_mut().insert(vm.clone()) {
            return;
        }
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            match core.read_lease_row(&vm).await {
                Ok(row) => {
                    let lease = row.and_then(|row| decode_lease(&row));
                    core.jobs.claims.borrow_mut().leases.record(vm.clone(), lease, monotonic());
                }
                Err(error) => {
                    log::info!(
                        vm = vm.as_str(), error = error.to_string();
                        "lease of a silent leader not read; its jobs stay with it"
                    );
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
            core.jobs.reading_leases.borrow_mut().remove(&vm);
            core.check_leaders();
        });
    }

    async fn read_lease_row(&self, vm: &VmId) -> RowResult<Option<StoredRow>> {
        let page = self.rows.range(LEASE_TABLE, vm.as_str(), "", "").await?;
        self.record_store_time(page.store_time);
        Ok(page.rows.into_iter().find(|row| row.key == vm.as_str()))
    }

    /// Renews the lease of this VM. `version` is that of its row, if known.
    async fn renew_lease(&self, version: Option<u64>) -> RowResult<u64> {
        let vm = &self.settings.vm;
        let version = match version {
            Some(version) => version,
            None => self.read_lease_row(vm).await?.map_or(0, |row| row.version),
        };
        let lease = VmLease { incarnation: self.incarnation, renewed_at: self.store_time() };
        // An earlier incarnation of this VM may still have renewals under way.
        let transaction = RowTransaction::in_partition(vm.as_str())
            .expect(LEASE_TABLE, vm.as_str(), version)
            .write(LEASE_TABLE, vm.as_str(), encode(&lease));
        self.rows.transact(&transaction).await
    }
}

/// Renews the lease of this VM while it leads jobs.
pub(crate) async fn keep_lease(core: Rc<GatewayCore>) {
    let mut version = None;
    loop {
        let is_leading = !core.jobs.leaders.borrow().is_empty();
        if !is_leading || core.peering.is_superseded() {
            tokio::time::sleep(LEASE_RENEWAL_INTERVAL).await;
            continue;
        }
        let renewal = tokio::time::timeout(RENEWAL_TIMEOUT, core.renew_lease(version)).await;
        let renewal = renewal.unwrap_or_else(|_| {
            Err(RowError::Unknown(format!("no response within {RENEWAL_TIMEOUT:?}")))
        });
        version = match renewal {
            Ok(version) => Some(version),
            Err(error) => {
                log::info!(error = error.to_string(); "lease not renewed; retrying");
                None
            }
        };
        let delay = if version.is_some() { LEASE_RENEWAL_INTERVAL } else { RENEWAL_RETRY_DELAY };
        tokio::time::sleep(delay).await;
    }
}

fn decode_lease(row: &StoredRow) -> Option<VmLease> {
    match decode(&row.value) {
        Ok(lease) => Some(lease),
        Err(reason) => {
            log::error!(
                key = row.key, version = row.version, reason = reason;
                "lease unreadable; it counts as ended"
            );
            None
        }
    }
}
