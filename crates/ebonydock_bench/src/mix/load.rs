//! Generates the load of `mix`: open-loop online requests and batch jobs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock_standins::{
    SiteClient, StandInSite, StreamEnd, StreamedResponse, caller_key, chat_body, chat_prompt,
    expected_text, job_items,
};
use futures_util::future::join_all;
use ntex::http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::mix::scenario::{MixScenario, OfferedLoad};

/// Fraction of each period that a burst lasts.
const BURST_FRACTION: f64 = 0.25;
const BURST_PERIOD: Duration = Duration::from_secs(2);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A response that takes longer counts as interrupted.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleOutcome {
    /// The complete response arrived and is the text that the engine generates for the prompt.
    Completed,
    /// Refused with status 429.
    RateLimited,
    /// Refused with another status.
    Refused,
    /// Ended early, by an error event or the connection, or took longer than `RESPONSE_TIMEOUT`.
    Interrupted,
    /// Complete, but with another text than this prompt's, such as that of another request.
    Mismatched,
}

/// Measured outcome of one online request.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Index of the workspace in the scenario.
    pub(crate) workspace: usize,
    /// How the request ended.
    pub(crate) outcome: SampleOutcome,
    /// Time to the first token; zero if none arrived.
    pub(crate) first_token: Duration,
    /// Time to the end of the request, however it ended.
    pub(crate) total: Duration,
}

/// Returns the number of tokens that all engines of the site have generated.
pub(crate) fn generated_tokens(site: &StandInSite) -> u64 {
    let engines = site.engines.iter().filter_map(|engine| engine.engine.as_ref());
    engines.map(|engine| engine.counters().tokens).sum()
}

fn caller_addresses(site: &StandInSite) -> Vec<SocketAddr> {
    (0..site.vms.len()).filter_map(|index| site.callers(index)).collect()
}

/// Waits until every VM completes an online request. Fails after `READY_TIMEOUT`.
pub(crate) async fn wait_until_ready(
    client: &SiteClient,
    site: &StandInSite,
    scenario: &MixScenario,
) -> Result<(), String> {
    let name = &scenario.workspaces.first().ok_or("the scenario has no workspace")?.name;
    let key = caller_key(name);
    let deadline = Instant::now() + READY_TIMEOUT;
    for address in caller_addresses(site) {
        while client.chat(address, &key, &scenario.model, "ready?", 1).await.0 != 200 {
            if Instant::now() > deadline {
                return Err(format!(
                    "the VM at {address} completed no request within {READY_TIMEOUT:?}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    // Lets buckets fill up and the reserve drop its memory of the start.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Submits the jobs, then waits 3 s so that items run before the load starts.
pub(crate) async fn submit_jobs(
    client: &SiteClient,
    site: &StandInSite,
    scenario: &MixScenario,
) -> Result<(), String> {
    let addresses = caller_addresses(site);
    for (index, job) in scenario.jobs.iter().enumerate() {
        // A job runs in the data centre that accepted it, so each data centre gets an equal share.
        let data_centres = scenario.data_centres.len();
        let items_per_data_centre = job.items as usize / data_centres;
        let mut first_vm = 0;
        for (part, data_centre) in scenario.data_centres.iter().enumerate() {
            let items =
                job_items(&scenario.model, "estimate", items_per_data_centre, job.tokens as u32);
            let name = format!("job-{index}-{part}");
            let address = addresses[first_vm];
            first_vm += data_centre.vms;
            let url = format!("http://{address}/v1/batches?name={name}&due_in_s={}", job.due_in_s);
            let key = caller_key(&job.workspace);
            let (status, text) = client.call(Method::POST, url, Some(&key), &[], items).await;
            if status != 200 {
                return Err(format!("job `{name}` was refused with status {status}: {text}"));
            }
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(())
}

/// Sends the online load for the length of the scenario; returns a sample for each request.
pub(crate) fn run_load(
    scenario: &MixScenario,
    seed: u64,
    site: &StandInSite,
) -> impl Future<Output = Vec<Sample>> + 'static {
    let scenario = Rc::new(scenario.clone());
    let addresses = Rc::new(caller_addresses(site));
    async move {
        let client = Rc::new(SiteClient::open().await);
        let workspace_loads = (0..scenario.workspaces.len()).map(|index| {
            let random = SmallRng::seed_from_u64(seed.wrapping_mul(1000) + index as u64);
            run_workspace_load(
                Rc::clone(&scenario),
                Rc::clone(&addresses),
                Rc::clone(&client),
                index,
                random,
            )
        });
        join_all(workspace_loads).await.into_iter().flatten().collect()
    }
}

/// Returns the request rate of a workspace, in requests per second, at a time since the start.
fn request_rate(load: &OfferedLoad, elapsed: Duration) -> f64 {
    let phase = elapsed.as_secs_f64() / BURST_PERIOD.as_secs_f64();
    if phase.fract() < BURST_FRACTION {
        load.offered_rate * load.burst_factor
    } else {
        load.offered_rate
    }
}

async fn run_workspace_load(
    scenario: Rc<MixScenario>,
    addresses: Rc<Vec<SocketAddr>>,
    client: Rc<SiteClient>,
    index: usize,
    mut random: SmallRng,
) -> Vec<Sample> {
    let load = &scenario.workspaces[index];
    let start = Instant::now();
    let mut send_at = Duration::ZERO;
    let mut requests = Vec::new();
    while send_at < scenario.length {
        let interval =
            -(1.0 - random.random::<f64>()).ln() / request_rate(load, send_at).max(0.001);
        send_at += Duration::from_secs_f64(interval);
        tokio::time::sleep(send_at.saturating_sub(start.elapsed())).await;
        let address = addresses[random.random_range(0..addresses.len())];
        let prefix = random.random_range(0..scenario.prefixes);
        let prefix_text = format!("catalogue {prefix}. ").repeat(1 + scenario.prompt_bytes / 14);
        let content = format!("{prefix_text}question {}", random.random::<u32>());
        let (client, scenario) = (Rc::clone(&client), Rc::clone(&scenario));
        requests.push(tokio::task::spawn_local(async move {
            send_request(&client, &scenario, index, address, &content).await
        }));
    }
    let samples = join_all(requests).await;
    samples.into_iter().filter_map(Result::ok).collect()
}

async fn send_request(
    client: &SiteClient,
    scenario: &MixScenario,
    workspace: usize,
    address: SocketAddr,
    content: &str,
) -> Sample {
    let start = Instant::now();
    let key = caller_key(&scenario.workspaces[workspace].name);
    let body = chat_body(&scenario.model, content, scenario.answer_tokens, true);
    let mut first_token = None;
    let response = client.stream_chat(address, &key, body, || {
        first_token.get_or_insert_with(|| start.elapsed());
    });
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, response).await;
    let first_token = first_token.unwrap_or_default();
    let prompt = chat_prompt(content);
    let expected = expected_text(&prompt, scenario.answer_tokens);
    let outcome = match response {
        Ok(response) => outcome_of(&response, &expected),
        Err(_) => log_interrupted(&format!(
            "no complete response from {address} within {RESPONSE_TIMEOUT:?}, first token after \
             {first_token:?}"
        )),
    };
    Sample { workspace, outcome, first_token, total: start.elapsed() }
}

fn outcome_of(response: &StreamedResponse, expected: &str) -> SampleOutcome {
    match &response.end {
        StreamEnd::Done if response.text == expected => SampleOutcome::Completed,
        StreamEnd::Done => SampleOutcome::Mismatched,
        StreamEnd::Refused(429, _) => SampleOutcome::RateLimited,
        StreamEnd::Refused(..) => SampleOutcome::Refused,
        StreamEnd::Failed(event) => log_interrupted(&event.to_string()),
        StreamEnd::Interrupted(error) => log_interrupted(error),
    }
}

fn log_interrupted(error: &str) -> SampleOutcome {
    log::warn!("mix: a response was interrupted: {error}");
    SampleOutcome::Interrupted
}
