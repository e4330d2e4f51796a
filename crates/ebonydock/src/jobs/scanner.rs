//! Finding jobs to lead.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::ids::{DataCentreId, JobId, VmId, WorkspaceId};
use crate::jobs::{JobKey, JobLeads, ProgressRow};
use crate::ownership::{owner_of, ranked};
use crate::platform::durable::decode_row;
use crate::platform::{PlatformResult, TableRow};
use crate::vm::VmContext;

const PAGE: usize = 500;
/// A data centre that was silent for this long is taken as lost, and its jobs are led elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_secs(20);

/// Looks through the active jobs and leads those that fall to this VM.
pub(crate) async fn scan_jobs(context: &Rc<VmContext>, leads: &Rc<JobLeads>) -> PlatformResult<()> {
    let own = context.settings().data_centre.clone();
    let listed = scan_data_centre(context, leads, &own).await?;
    leads.wake_unlisted(&listed);
    for lost in inherited_data_centres(context) {
        scan_data_centre(context, leads, &lost).await?;
    }
    Ok(())
}

/// Lost data centres whose jobs fall to the own one.
fn inherited_data_centres(context: &VmContext) -> Vec<DataCentreId> {
    let settings = context.settings();
    let fleet = context.shared.fleet();
    let now = monotonic();
    let is_lost = |id: &&DataCentreId| {
        let silence = fleet.time_since_digest(now, id).unwrap_or(now);
        **id != settings.data_centre && silence >= SILENCE_LIMIT
    };
    let (lost, live): (Vec<_>, Vec<_>) = settings.data_centres.iter().partition(is_lost);
    let heir = |id: &DataCentreId| {
        ranked(id.as_str(), &live).first().copied().copied() == Some(&settings.data_centre)
    };
    lost.into_iter().filter(|id| heir(id)).cloned().collect()
}

/// Returns the jobs that are listed with this VM as their lead.
async fn scan_data_centre(
    context: &Rc<VmContext>,
    leads: &Rc<JobLeads>,
    data_centre: &DataCentreId,
) -> PlatformResult<HashSet<JobKey>> {
    let prefix = format!("active/{data_centre}/");
    let mut after = String::new();
    let mut listed = HashSet::new();
    loop {
        let rows = context.table.list(&prefix, &after, PAGE).await?;
        for row in &rows {
            listed.extend(consider(context, leads, data_centre, &prefix, row)?);
        }
        match rows.last() {
            Some(row) if rows.len() == PAGE => after = row.key.to_string(),
            _ => return Ok(listed),
        }
    }
}

/// Leads a job if it falls to this VM. Returns it if it is listed with this VM as its lead.
fn consider(
    context: &Rc<VmContext>,
    leads: &Rc<JobLeads>,
    data_centre: &DataCentreId,
    prefix: &str,
    row: &TableRow,
) -> PlatformResult<Option<JobKey>> {
    let Some(name) = row.key.as_str().strip_prefix(prefix) else { return Ok(None) };
    let Some((workspace, job)) = name.split_once('/') else { return Ok(None) };
    let key = JobKey { workspace: WorkspaceId::from(workspace), job: JobId::from(job) };
    let marker: ProgressRow = decode_row(&row.value)?;
    if !leads.contains(&key) && should_lead(context, &key, marker.lead.as_ref()) {
        leads.spawn(context, key.clone(), data_centre.clone());
    }
    let own = marker.lead.as_ref() == Some(&context.settings().vm);
    Ok(own.then_some(key))
}

/// A job stays with its lead while that VM serves; otherwise its owner takes it.
fn should_lead(context: &VmContext, key: &JobKey, lead: Option<&VmId>) -> bool {
    let candidates = context.shared.membership().candidates(monotonic());
    let own = &context.settings().vm;
    // A row that names this VM, which does not lead, is from before a restart or a lost write.
    if lead.is_some_and(|lead| lead != own && candidates.contains(lead)) {
        return false;
    }
    owner_of(&key.ownership_key(), &candidates) == Some(own)
}
