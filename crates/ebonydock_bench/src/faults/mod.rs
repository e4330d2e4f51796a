//! `faults`: runs a site under load, injects a fault every few seconds and checks the guarantees to callers
//! and operators.

mod callers;
mod history;
mod injector;
mod jobs;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ebonydock_standins::{
    DataCentrePlan, EngineShape, PlatformFault, SiteClient, SitePlan, StandInSite,
};
use futures_util::future::join_all;
use getopts::Options;

use crate::bench_site::{configure, parse_number, with_site};
use crate::faults::history::RunHistory;
use crate::faults::injector::FaultInjector;

pub(crate) const MODEL: &str = "clerk-8b";
const DEFAULT_SECONDS: u64 = 60;
const ONLINE_CALLERS: usize = 8;
const NOTICE_CALLERS: usize = 3;

/// State shared by the load, the injector and the checks of a run.
pub(crate) struct FaultRun {
    /// Site under test.
    pub(crate) site: RefCell<StandInSite>,
    /// Observations so far.
    pub(crate) history: RefCell<RunHistory>,
    /// Client for requests of callers and operators.
    pub(crate) client: SiteClient,
    /// Seed of load and faults.
    pub(crate) seed: u64,
    /// Duration of load and faults.
    pub(crate) length: Duration,
}

fn plan() -> SitePlan {
    let shape = EngineShape { cold_ms: 500, step_us: 8000, ..EngineShape::default() };
    let data_centre = |name: &str| DataCentrePlan {
        name: name.to_owned(),
        vms: 3,
        engines: vec![shape.clone(); 2],
        services: 1,
    };
    let data_centres = vec![data_centre("celje"), data_centre("maribor")];
    SitePlan { data_centres, chunk_items: 50, ..SitePlan::default() }
}

/// Runs the experiment. Fails if a guarantee was violated.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "seed", "the seed of faults and load", "N");
    options.optopt("", "seconds", "how long faults go on", "S");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let seed = parse_number(&matches, "seed", 1)?;
    let length = Duration::from_secs(parse_number(&matches, "seconds", DEFAULT_SECONDS)?);
    with_site("faults", &plan(), move |site, client| run_site(site, client, seed, length))
}

async fn run_site(
    site: StandInSite,
    client: SiteClient,
    seed: u64,
    length: Duration,
) -> Result<(), String> {
    configure(&site, &client).await?;
    let mut history = RunHistory::open();
    for index in 0..site.vms.len() {
        history.serving.extend(site.callers(index).map(|callers| (index, callers)));
    }
    let site = RefCell::new(site);
    let run = Rc::new(FaultRun { site, history: RefCell::new(history), client, seed, length });
    let online =
        join_all((0..ONLINE_CALLERS).map(|caller| callers::run_online_caller(&run, caller)));
    let notices =
        join_all((0..NOTICE_CALLERS).map(|caller| callers::run_notice_caller(&run, caller)));
    let jobs = jobs::submit(&run);
    let edits = callers::run_config_editor(&run);
    let watch = callers::watch_versions(&run);
    let faults = FaultInjector::open(&run).inject();
    futures_util::join!(online, notices, jobs, edits, watch, faults);
    clear_faults(&run).await;
    jobs::check(&run).await;
    callers::check_versions(&run).await;
    check_notices(&run);
    run.history.borrow().report_verdict()
}

/// Ends all faults and waits until every VM that callers use is ready, so that accepted work can complete.
async fn clear_faults(run: &Rc<FaultRun>) {
    run.site.borrow().platform.set_fault(PlatformFault::default());
    for (_, service) in &run.site.borrow().services {
        service.set_fault(ebonydock_standins::ServiceFault::default());
    }
    let addresses: Vec<_> =
        run.history.borrow().serving.iter().map(|(_, address)| *address).collect();
    for address in addresses {
        if let Err(error) = run.client.wait_until_serving(address, Duration::from_secs(30)).await {
            run.history.borrow_mut().record_violation(format!(
                "the VM at {address} did not become ready after the faults ended: {error}"
            ));
        }
    }
}

/// Compares the responses to notices with the deliveries that the services counted.
///
/// No notice may be delivered twice, an acknowledged one must be delivered, and one that was always
/// reported as not run must not be.
fn check_notices(run: &Rc<FaultRun>) {
    let site = run.site.borrow();
    let mut history = run.history.borrow_mut();
    let mut delivered = std::collections::HashMap::new();
    for (_, service) in &site.services {
        for (body, count) in service.deliveries() {
            *delivered.entry(body).or_insert(0) += count;
        }
    }
    for notice in std::mem::take(&mut history.notices) {
        let count = delivered.get(&notice.body).copied().unwrap_or(0);
        let acknowledged = notice.acknowledged;
        if count > 1 || (acknowledged && count == 0) || (notice.never_run && count > 0) {
            history.record_violation(format!("`{notice:?}` was delivered {count} times"));
        }
        history.counts.notices_delivered += count;
    }
}
