//! `overhead`: measures what a VM adds to a request, compared with direct calls of the same engine in the
//! same run.

use std::time::{Duration, Instant};

use ebonydock::{GenerateRequest, ModelName};
use ebonydock_standins::{
    DataCentrePlan, EngineShape, SiteClient, SitePlan, StandInSite, caller_key, chat_body,
    chat_prompt,
};
use futures_util::StreamExt;
use futures_util::stream;
use getopts::Options;
use hdrhistogram::Histogram;
use ntex::http::Method;

use crate::bench_site::{configure, parse_number, with_site};
use crate::slopes::process_cpu_ms;

const MODEL: &str = "clerk-8b";
const DEFAULT_REQUESTS: usize = 600;
/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_TIME_US: u64 = 60_000_000;
/// Requests sent on one path before the other path takes over. Short turns let both paths see the same
/// conditions of the machine.
const REQUESTS_PER_TURN: usize = 40;
const PARALLEL_REQUESTS: usize = 8;

/// Path of a request: directly to the engine, or through a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPath {
    Engine,
    Vm,
}

/// Number of concurrent requests, and tokens to generate for each.
#[derive(Clone, Copy)]
struct RequestLoad {
    parallel: usize,
    tokens: u32,
}

/// Measurements of one path; the histograms are in microseconds.
struct PathTimes {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    cpu_ms: f64,
    requests: usize,
}

impl PathTimes {
    fn open() -> Result<Self, String> {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_TIME_US, 3).map_err(|error| error.to_string());
        Ok(Self { first_token: histogram()?, total: histogram()?, cpu_ms: 0.0, requests: 0 })
    }
}

/// Client, URLs and key for the requests of both paths.
struct RequestEndpoints {
    client: SiteClient,
    engine_url: String,
    vm_url: String,
    key: String,
}

/// Runs the comparison and prints it for each load.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "requests", "requests on each path", "N");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let requests = parse_number(&matches, "requests", DEFAULT_REQUESTS)?;
    with_site("overhead", &plan(), move |site, client| compare(site, client, requests))
}

fn plan() -> SitePlan {
    let shape =
        EngineShape { step_us: 500, sequence_us: 0, prompt_us: 0, ..EngineShape::default() };
    let data_centre =
        DataCentrePlan { name: "celje".to_owned(), vms: 1, engines: vec![shape], services: 0 };
    let mut plan = SitePlan { data_centres: vec![data_centre], ..SitePlan::default() };
    for workspace in &mut plan.workspaces {
        (workspace.rate, workspace.burst) = (1e6, 1e6);
    }
    plan
}

async fn compare(site: StandInSite, client: SiteClient, requests: usize) -> Result<(), String> {
    configure(&site, &client).await?;
    let engine = site.engines[0].engine.as_ref().ok_or("no engine runs")?.address();
    let vm = site.callers(0).ok_or("no VM runs")?;
    let endpoints = RequestEndpoints {
        client,
        engine_url: format!("http://{engine}/v1/generate"),
        vm_url: format!("http://{vm}/v1/chat/completions"),
        key: caller_key("zlatnik"),
    };
    for (parallel, tokens) in
        [(1, 16), (PARALLEL_REQUESTS, 1), (PARALLEL_REQUESTS, 16), (PARALLEL_REQUESTS, 64)]
    {
        let load = RequestLoad { parallel, tokens };
        let mut direct = PathTimes::open()?;
        let mut through_vm = PathTimes::open()?;
        while through_vm.requests < requests {
            measure_turn(&endpoints, RequestPath::Engine, load, &mut direct).await?;
            measure_turn(&endpoints, RequestPath::Vm, load, &mut through_vm).await?;
        }
        print_comparison(load, &direct, &through_vm);
    }
    Ok(())
}

async fn measure_turn(
    endpoints: &RequestEndpoints,
    path: RequestPath,
    load: RequestLoad,
    times: &mut PathTimes,
) -> Result<(), String> {
    let cpu_before_ms = process_cpu_ms();
    let requests = stream::iter(0..REQUESTS_PER_TURN)
        .map(|_| send_request(endpoints, path, load.tokens))
        .buffer_unordered(load.parallel);
    let responses: Vec<Result<ResponseTimes, String>> = requests.collect().await;
    times.cpu_ms += process_cpu_ms() - cpu_before_ms;
    times.requests += REQUESTS_PER_TURN;
    for response in responses {
        let response = response?;
        times.first_token.saturating_record(response.first_token.as_micros() as u64);
        times.total.saturating_record(response.total.as_micros() as u64);
    }
    Ok(())
}

struct ResponseTimes {
    first_token: Duration,
    total: Duration,
}

async fn send_request(
    endpoints: &RequestEndpoints,
    path: RequestPath,
    tokens: u32,
) -> Result<ResponseTimes, String> {
    let question = format!("When is ticket {} ready?", rand::random::<u32>());
    let (url, key, body) = match path {
        RequestPath::Engine => (&endpoints.engine_url, None, engine_body(&question, tokens)),
        RequestPath::Vm => (
            &endpoints.vm_url,
            Some(endpoints.key.as_str()),
            chat_body(MODEL, &question, tokens, true),
        ),
    };
    let headers = [("content-type", "application/json")];
    let start = Instant::now();
    let response = endpoints.client.send(Method::POST, url.clone(), key, &headers, body).await;
    let response = response.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!(
            "the request was refused on the path {path:?} with status {}",
            response.status()
        ));
    }
    let mut payload = response.take_payload();
    let mut first_token = None;
    while let Some(chunk) = payload.next().await {
        chunk.map_err(|error| error.to_string())?;
        first_token.get_or_insert_with(|| start.elapsed());
    }
    let first_token = first_token.ok_or("a response had no body")?;
    Ok(ResponseTimes { first_token, total: start.elapsed() })
}

fn engine_body(question: &str, tokens: u32) -> Vec<u8> {
    let request = GenerateRequest {
        request_id: format!("{:x}", rand::random::<u64>()),
        model: ModelName::from(MODEL),
        prompt: chat_prompt(question),
        max_tokens: tokens,
        generated: String::new(),
        generated_tokens: 0,
    };
    serde_json::to_vec(&request).unwrap_or_default()
}

fn print_comparison(load: RequestLoad, direct: &PathTimes, through_vm: &PathTimes) {
    let RequestLoad { parallel, tokens } = load;
    println!("{} requests of {tokens} tokens each way, {parallel} at a time", through_vm.requests);
    let print_quantiles = |name: &str, direct: &Histogram<u64>, through_vm: &Histogram<u64>| {
        for quantile in [0.5, 0.99] {
            let (d, t) =
                (direct.value_at_quantile(quantile), through_vm.value_at_quantile(quantile));
            let added = t as f64 - d as f64;
            println!(
                "  {name} p{:.0}: engine {d} us, VM {t} us, added {added} us",
                quantile * 100.0
            );
        }
    };
    print_quantiles("first token", &direct.first_token, &through_vm.first_token);
    print_quantiles("whole answer", &direct.total, &through_vm.total);
    let cpu_us_per_request = |times: &PathTimes| times.cpu_ms * 1000.0 / times.requests as f64;
    let added = cpu_us_per_request(through_vm) - cpu_us_per_request(direct);
    println!(
        "  processor: engine and caller {:.0} us a request, with the VM {:.0} us; the VM adds {added:.0} \
         us, {:.0} requests/s for a core",
        cpu_us_per_request(direct),
        cpu_us_per_request(through_vm),
        1e6 / added.max(1.0)
    );
}
