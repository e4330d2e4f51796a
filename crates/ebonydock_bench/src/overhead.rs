//! `overhead`: what a VM adds to a request, against the same engine called directly in the same run.

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

use crate::bench_site::{configure, number, with_site};
use crate::slopes::process_cpu_ms;

const MODEL: &str = "clerk-8b";
const DEFAULT_REQUESTS: usize = 600;
/// The longest time that is told apart, in microseconds.
const LONGEST_TIME: u64 = 60_000_000;
/// Requests of one way before the other way has its turn, so that both see the same machine.
const TURN: usize = 40;
const PARALLEL: usize = 8;

/// Which way a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestWay {
    Engine,
    Vm,
}

/// How many requests run at once, and how long their answers are.
#[derive(Clone, Copy)]
struct RequestLoad {
    parallel: usize,
    tokens: u32,
}

/// Times of one way, in microseconds.
struct WayTimes {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    cpu_ms: f64,
    requests: usize,
}

impl WayTimes {
    fn open() -> Result<Self, String> {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST_TIME, 3).map_err(|error| error.to_string());
        Ok(Self { first: histogram()?, whole: histogram()?, cpu_ms: 0.0, requests: 0 })
    }
}

/// Where the requests go.
struct RequestSite {
    client: SiteClient,
    engine: String,
    vm: String,
    key: String,
}

/// Runs the comparison.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "requests", "requests of each way", "N");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let requests = number(&matches, "requests", DEFAULT_REQUESTS)?;
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
    let target = RequestSite {
        client,
        engine: format!("http://{engine}/v1/generate"),
        vm: format!("http://{vm}/v1/chat/completions"),
        key: caller_key("zlatnik"),
    };
    for (parallel, tokens) in [(1, 16), (PARALLEL, 1), (PARALLEL, 16), (PARALLEL, 64)] {
        let load = RequestLoad { parallel, tokens };
        let mut direct = WayTimes::open()?;
        let mut through = WayTimes::open()?;
        while through.requests < requests {
            turn(&target, RequestWay::Engine, load, &mut direct).await?;
            turn(&target, RequestWay::Vm, load, &mut through).await?;
        }
        print(load, &direct, &through);
    }
    Ok(())
}

async fn turn(
    site: &RequestSite,
    way: RequestWay,
    load: RequestLoad,
    times: &mut WayTimes,
) -> Result<(), String> {
    let before = process_cpu_ms();
    let requests =
        stream::iter(0..TURN).map(|_| ask(site, way, load.tokens)).buffer_unordered(load.parallel);
    let answers: Vec<Result<AnswerTimes, String>> = requests.collect().await;
    times.cpu_ms += process_cpu_ms() - before;
    times.requests += TURN;
    for answer in answers {
        let answer = answer?;
        times.first.saturating_record(answer.first.as_micros() as u64);
        times.whole.saturating_record(answer.whole.as_micros() as u64);
    }
    Ok(())
}

struct AnswerTimes {
    first: Duration,
    whole: Duration,
}

async fn ask(site: &RequestSite, way: RequestWay, tokens: u32) -> Result<AnswerTimes, String> {
    let question = format!("When is ticket {} ready?", rand::random::<u32>());
    let (url, key, body) = match way {
        RequestWay::Engine => (&site.engine, None, engine_body(&question, tokens)),
        RequestWay::Vm => {
            (&site.vm, Some(site.key.as_str()), chat_body(MODEL, &question, tokens, true))
        }
    };
    let headers = [("content-type", "application/json")];
    let began = Instant::now();
    let response = site.client.send(Method::POST, url.clone(), key, &headers, body).await;
    let response = response.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("{way:?} refused: {}", response.status()));
    }
    let mut payload = response.take_payload();
    let mut first = None;
    while let Some(part) = payload.next().await {
        part.map_err(|error| error.to_string())?;
        first.get_or_insert_with(|| began.elapsed());
    }
    let first = first.ok_or("an answer was empty")?;
    Ok(AnswerTimes { first, whole: began.elapsed() })
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

fn print(load: RequestLoad, direct: &WayTimes, through: &WayTimes) {
    let RequestLoad { parallel, tokens } = load;
    println!("{} requests of {tokens} tokens each way, {parallel} at a time", through.requests);
    let row = |name: &str, direct: &Histogram<u64>, through: &Histogram<u64>| {
        for quantile in [0.5, 0.99] {
            let (d, t) = (direct.value_at_quantile(quantile), through.value_at_quantile(quantile));
            let added = t as f64 - d as f64;
            println!(
                "  {name} p{:.0}: engine {d} us, VM {t} us, added {added} us",
                quantile * 100.0
            );
        }
    };
    row("first token", &direct.first, &through.first);
    row("whole answer", &direct.whole, &through.whole);
    let cost = |times: &WayTimes| times.cpu_ms * 1000.0 / times.requests as f64;
    let added = cost(through) - cost(direct);
    println!(
        "  processor: engine and caller {:.0} us a request, with the VM {:.0} us; the VM adds {added:.0} \
         us, {:.0} requests/s for a core",
        cost(direct),
        cost(through),
        1e6 / added.max(1.0)
    );
}
