//! `mix`: runs online requests and batch jobs together, once per scheduling policy, on real VMs with stand-in
//! engines and services.

mod load;
mod report;
mod scenario;

use std::time::Duration;

use ebonydock::{AffinityPolicy as Affinity, PoolPolicy, PreemptionPolicy as Preemption};
use ebonydock_standins::StandInSite;
use getopts::Options;

use crate::bench_site::{configure, parse_number, with_site};
use crate::mix::report::PolicyReport;
use crate::mix::scenario::{MixFault, MixScenario};

const DEFAULT_SCENARIO: &str = "scenarios/zlatnik.json";

/// Policy to run, and whether batch jobs run beside the online load.
#[derive(Clone)]
struct MixCase {
    name: &'static str,
    policy: PoolPolicy,
    batch: bool,
}

fn cases() -> Vec<MixCase> {
    let case = |name, yielding, affinity, batch| MixCase {
        name,
        policy: PoolPolicy { preemption: yielding, affinity },
        batch,
    };
    vec![
        case("online alone", Preemption::Revoke, Affinity::BoundedLoad, false),
        case("first come", Preemption::None, Affinity::BoundedLoad, true),
        case("static reserve", Preemption::StaticReserve, Affinity::BoundedLoad, true),
        case("revoke", Preemption::Revoke, Affinity::BoundedLoad, true),
        case("revoke, no affinity", Preemption::Revoke, Affinity::None, true),
        case("revoke, wait ratio", Preemption::Revoke, Affinity::WaitRatio, true),
    ]
}

/// Returns all cases, or the case `only` with the baseline: the online load alone, to which all are compared.
fn selected_cases(only: Option<&str>) -> Result<Vec<MixCase>, String> {
    let mut cases = cases();
    let Some(only) = only else { return Ok(cases) };
    if !cases.iter().any(|case| case.name == only) {
        let names: Vec<&str> = cases.iter().map(|case| case.name).collect();
        return Err(format!("unknown policy `{only}`; there are {}", names.join(", ")));
    }
    cases.retain(|case| !case.batch || case.name == only);
    Ok(cases)
}

/// Runs the chosen cases, prints a report of each and writes all as JSON if asked to.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "scenario", "the scenario, JSON with comments", "FILE");
    options.optopt("", "seed", "the seed of the load", "N");
    options.optopt("", "json", "write the table as JSON", "FILE");
    options.optopt("", "only", "run only this policy, and the load alone", "TEXT");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let file = matches.opt_str("scenario").unwrap_or_else(|| DEFAULT_SCENARIO.to_owned());
    let text = std::fs::read_to_string(&file).map_err(|e| format!("cannot read `{file}`: {e}"))?;
    let scenario = MixScenario::parse(&file, &text)
        .map_err(|findings| format!("{:?}", miette::Report::new(findings)))?;
    let seed = parse_number(&matches, "seed", 1)?;
    let cases = selected_cases(matches.opt_str("only").as_deref())?;
    let mut reports = Vec::new();
    for case in cases {
        let report = run_case(&scenario, &case, seed)?;
        report.print(reports.first());
        reports.push(report);
    }
    if let Some(file) = matches.opt_str("json") {
        let json = serde_json::to_string_pretty(&reports).map_err(|error| error.to_string())?;
        std::fs::write(&file, json).map_err(|error| format!("cannot write `{file}`: {error}"))?;
    }
    Ok(())
}

fn run_case(scenario: &MixScenario, case: &MixCase, seed: u64) -> Result<PolicyReport, String> {
    let plan = scenario.site_plan(case.policy);
    let (scenario, case) = (scenario.clone(), case.clone());
    with_site("mix", &plan, move |mut site, client| async move {
        let scenario = &scenario;
        configure(&site, &client).await?;
        load::wait_until_ready(&client, &site, scenario).await?;
        if case.batch {
            load::submit_jobs(&client, &site, scenario).await?;
        }
        let tokens_before = load::generated_tokens(&site);
        let start = std::time::Instant::now();
        let requests = load::run_load(scenario, seed, &site);
        let faults = apply_faults(scenario, &mut site);
        let (samples, ()) = futures_util::future::join(requests, faults).await;
        let duration = start.elapsed();
        Ok(PolicyReport::new(case.name, scenario, &samples, &site, tokens_before, duration))
    })
}

async fn apply_faults(scenario: &MixScenario, site: &mut StandInSite) {
    let mut elapsed = Duration::ZERO;
    for fault in &scenario.faults {
        tokio::time::sleep(fault.at.saturating_sub(elapsed)).await;
        elapsed = fault.at;
        match fault.kind {
            MixFault::EngineRestarts => {
                if let Some(engine) = &site.engines[fault.index].engine {
                    engine.restart();
                }
            }
            MixFault::VmLost => site.lose_vm(fault.index),
            MixFault::VmBack => {
                let _ = site.start_vm(fault.index);
            }
            MixFault::PlatformDown | MixFault::PlatformUp => {
                let down = fault.kind == MixFault::PlatformDown;
                let fault = ebonydock_standins::PlatformFault { down, ..Default::default() };
                site.platform.set_fault(fault);
            }
        }
    }
}
