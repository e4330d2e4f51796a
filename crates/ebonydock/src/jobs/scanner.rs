//! Scans the active jobs for those that this VM should lead.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::ids::{DataCentreId, JobId, VmId, WorkspaceId};
use crate::jobs::{JobKey, JobLeaders, ProgressRow};
use crate::ownership::{owner_of, ranked};
use crate::platform::durable::decode_row;
use crate::platform::{PlatformResult, TableRow};
use crate::vm::VmContext;

const MAX_PAGE_ROWS: usize = 500;
/// A data centre from which no digest arrived for this long is considered lost; the remaining ones lead
/// its jobs.
const DATA_CENTRE_TIMEOUT: Duration = Duration::from_secs(20);

/// Scans the active jobs of the local and of lost data centres, and leads those that this VM owns.
pub(crate) async fn scan_jobs(
    context: &Rc<VmContext>,
    leaders: &Rc<JobLeaders>,
) -> PlatformResult<()> {
    let own = context.settings().data_centre.clone();
    let listed = scan_data_centre(context, leaders, &own).await?;
    leaders.wake_unlisted(&listed);
    for lost in inherited_data_centres(context) {
        scan_data_centre(context, leaders, &lost).await?;
    }
    Ok(())
}

/// Returns the lost data centres whose jobs the local data centre takes over.
fn inherited_data_centres(context: &VmContext) -> Vec<DataCentreId> {
    let settings = context.settings();
    let fleet = context.shared.fleet();
    let now = monotonic();
    let is_lost = |id: &&DataCentreId| {
        let silence = fleet.time_since_digest(now, id).unwrap_or(now);
        **id != settings.data_centre && silence >= DATA_CENTRE_TIMEOUT
    };
    let (lost, live): (Vec<_>, Vec<_>) = settings.data_centres.iter().partition(is_lost);
    let is_inherited = |id: &DataCentreId| {
        ranked(id.as_str(), &live).first().copied().copied() == Some(&settings.data_centre)
    };
    lost.into_iter().filter(|id| is_inherited(id)).cloned().collect()
}

/// Leads jobs of a data centre if this VM owns them. Returns the jobs that are listed with this VM as
/// their leader.
async fn scan_data_centre(
    context: &Rc<VmContext>,
    leaders: &Rc<JobLeaders>,
    data_centre: &DataCentreId,
) -> PlatformResult<HashSet<JobKey>> {
    let prefix = format!("active/{data_centre}/");
    let mut after = String::new();
    let mut listed = HashSet::new();
    loop {
        let rows = context.table.list(&prefix, &after, MAX_PAGE_ROWS).await?;
        for row in &rows {
            listed.extend(process_marker(context, leaders, data_centre, &prefix, row)?);
        }
        match rows.last() {
            Some(row) if rows.len() == MAX_PAGE_ROWS => after = row.key.to_string(),
            _ => return Ok(listed),
        }
    }
}

/// Leads the job of a row if this VM owns it. Returns the job if it is listed with this VM as its
/// leader.
fn process_marker(
    context: &Rc<VmContext>,
    leaders: &Rc<JobLeaders>,
    data_centre: &DataCentreId,
    prefix: &str,
    row: &TableRow,
) -> PlatformResult<Option<JobKey>> {
    let Some(name) = row.key.as_str().strip_prefix(prefix) else { return Ok(None) };
    let Some((workspace, job)) = name.split_once('/') else { return Ok(None) };
    let key = JobKey { workspace: WorkspaceId::from(workspace), job: JobId::from(job) };
    let marker: ProgressRow = decode_row(&row.value)?;
    if !leaders.contains(&key) && should_lead(context, &key, marker.lead.as_ref()) {
        leaders.spawn(context, key.clone(), data_centre.clone());
    }
    let is_own = marker.lead.as_ref() == Some(&context.settings().vm);
    Ok(is_own.then_some(key))
}

/// Whether this VM should lead a job. A job stays with its leader while that VM is live; otherwise its
/// owner takes over.
fn should_lead(context: &VmContext, key: &JobKey, leader: Option<&VmId>) -> bool {
    let candidates = context.shared.membership().candidates(monotonic());
    let own = &context.settings().vm;
    // The row may name this VM although it does not lead the job: it was written before a restart, or by
    // a claim whose response was lost.
    if leader.is_some_and(|leader| leader != own && candidates.contains(leader)) {
        return false;
    }
    owner_of(&key.ownership_key(), &candidates) == Some(own)
}
