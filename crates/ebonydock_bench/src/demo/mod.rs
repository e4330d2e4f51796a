//! `demo`: runs a whole site in one process and uses it once for online inference, a batch job and a call
//! of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use ebonydock_standins::{
    SiteClient, SitePlan, StandInSite, StreamEnd, caller_key, chat_body, chat_prompt,
    check_results, expected_text, job_items,
};
use getopts::Options;
use ntex::http::Method;
use serde_json::Value;

use crate::bench_site::{configure, with_site};

const MODEL: &str = "clerk-8b";
const ITEMS_PER_JOB: usize = 200;
const RESPONSE_TOKENS: u32 = 24;

/// Runs the demo; with `--keep` the site serves until the process is interrupted.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optflag("", "keep", "leave the site serving");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let keep_serving = matches.opt_present("keep");
    with_site("demo", &SitePlan::default(), move |site, client| async move {
        run_demo(&site, &client).await?;
        if keep_serving {
            serve_until_interrupted(&site).await;
        }
        Ok(())
    })
}

async fn run_demo(site: &StandInSite, client: &SiteClient) -> Result<(), String> {
    configure(site, client).await?;
    let address = site.callers(0).ok_or("no VM runs")?;
    println!("site: 2 data centres, 4 VMs, 4 engines, 2 notice servers");
    show_response(client, address).await?;
    show_job(client, address).await?;
    show_notice(client, site, address).await?;
    let leaked_keys: u64 = site.services.iter().map(|(_, service)| service.leaked_keys()).sum();
    let engines = site.engines.iter().filter_map(|engine| engine.engine.as_ref());
    let leaked_keys =
        leaked_keys + engines.map(|engine| engine.counters().leaked_keys).sum::<u64>();
    ensure(leaked_keys == 0, "a caller's key reached a target")?;
    println!("keys: none reached a target");
    Ok(())
}

fn ensure(condition: bool, failure: &str) -> Result<(), String> {
    if condition { Ok(()) } else { Err(format!("failed: {failure}")) }
}

async fn show_response(client: &SiteClient, address: SocketAddr) -> Result<(), String> {
    let question = "When is the wedding band ready?";
    let body = chat_body(MODEL, question, RESPONSE_TOKENS, true);
    let key = caller_key("zlatnik");
    let start = std::time::Instant::now();
    let mut first_token = None;
    let response = client.stream_chat(address, &key, body, || {
        first_token.get_or_insert_with(|| start.elapsed());
    });
    let response = response.await;
    ensure(
        response.end == StreamEnd::Done,
        &format!("the response is incomplete: {:?}", response.end),
    )?;
    let prompt = chat_prompt(question);
    ensure(
        response.text == expected_text(&prompt, RESPONSE_TOKENS),
        "the response differs from the text that the engine generated",
    )?;
    let first_token = first_token.unwrap_or_default();
    println!(
        "answer: {RESPONSE_TOKENS} tokens, first after {first_token:.0?}, whole after {:.0?}",
        start.elapsed()
    );
    Ok(())
}

async fn show_job(client: &SiteClient, address: SocketAddr) -> Result<(), String> {
    let items = job_items(MODEL, "estimate", ITEMS_PER_JOB, 4);
    let key = caller_key("association");
    let base = format!("http://{address}/v1/batches");
    let url = format!("{base}?name=demo&due_in_s=600");
    let start = std::time::Instant::now();
    let (status, text) = client.call(Method::POST, url, Some(&key), &[], items).await;
    ensure(status == 200, &format!("the job was refused with status {status}: {text}"))?;
    let deadline = start + Duration::from_secs(40);
    loop {
        let url = format!("{base}/demo");
        let (_, text) = client.call(Method::GET, url, Some(&key), &[], "").await;
        let job_status: Value = serde_json::from_str(&text).unwrap_or_default();
        if job_status["status"] == "completed" {
            break;
        }
        ensure(
            std::time::Instant::now() < deadline,
            &format!("the job did not complete within 40 s: {text}"),
        )?;
        ntex::time::sleep(Duration::from_millis(100)).await;
    }
    let duration = start.elapsed();
    let url = format!("{base}/demo/results");
    let (_, results) = client.call(Method::GET, url, Some(&key), &[], "").await;
    check_results(&results, "estimate", ITEMS_PER_JOB, 4)
        .map_err(|error| format!("failed: {error}"))?;
    println!("job: {ITEMS_PER_JOB} items completed and read after {duration:.1?}");
    Ok(())
}

async fn show_notice(
    client: &SiteClient,
    site: &StandInSite,
    address: SocketAddr,
) -> Result<(), String> {
    let key = caller_key("zlatnik");
    let headers = [("idempotency-key", "pickup-4711"), ("content-type", "text/plain")];
    for _ in 0..2 {
        let url = format!("http://{address}/services/notices/send/pickup");
        let body = "the band is ready";
        let (status, text) = client.call(Method::POST, url, Some(&key), &headers, body).await;
        ensure(status == 200, &format!("the notice was refused with status {status}: {text}"))?;
    }
    let services = site.services.iter();
    let delivered: u64 = services.flat_map(|(_, service)| service.deliveries().into_values()).sum();
    ensure(delivered == 1, &format!("the notice was delivered {delivered} times instead of once"))?;
    println!("notice: sent twice by its caller, delivered once");
    Ok(())
}

async fn serve_until_interrupted(site: &StandInSite) {
    let Some(address) = site.callers(0) else { return };
    let key = caller_key("zlatnik");
    println!("\nserving at {address}, key {key}; end with Ctrl-C. Try:");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {key}' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"When is it ready?\"}}]}}'"
    );
    println!(
        "curl 'http://{address}/v1/batches?name=first&due_in_s=600' \
         -H 'authorization: Bearer {key}' \
         -d '{{\"custom_id\":\"a\",\"body\":{{\"model\":\"{MODEL}\",\"prompt\":\"estimate\"}}}}'"
    );
    println!("curl http://{address}/v1/batches/first/results -H 'authorization: Bearer {key}'");
    println!(
        "curl http://{address}/services/notices/send/pickup \
         -H 'authorization: Bearer {key}' -H 'idempotency-key: 1' -d 'ready'"
    );
    std::future::pending::<()>().await;
}
