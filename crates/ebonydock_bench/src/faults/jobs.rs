//! Jobs of a run, and what became of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock_standins::{caller_key, check_results, job_items};
use ntex::http::Method;
use serde_json::Value;

use crate::faults::{FaultRun, MODEL};

const ITEMS: usize = 150;
const TOKENS: u32 = 6;
const JOB_PAUSE: Duration = Duration::from_secs(3);
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Jobs end within this time after the last fault.
const END_LIMIT: Duration = Duration::from_secs(90);

fn prompt(job: &str) -> String {
    format!("{job} estimate")
}

/// Submits a job every few seconds; each is sent again until it is accepted.
pub(crate) async fn submit(run: &Rc<FaultRun>) {
    let mut random = run.random(300);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < run.length {
        number += 1;
        let job = format!("job-{number}");
        while began.elapsed() < run.length {
            let address = run.pick(&mut random).await;
            let url = format!("http://{address}/v1/batches?name={job}&due_in_s=600");
            let items = job_items(MODEL, &prompt(&job), ITEMS, TOKENS);
            let (status, text) = run
                .client
                .call(Method::POST, url, Some(&caller_key("association")), &[], items)
                .await;
            if status == 200 {
                let mut books = run.books.borrow_mut();
                books.counts.jobs += 1;
                books.note(&format!("`{job}` is accepted"));
                books.jobs.push(job.clone());
                break;
            }
            if status == 409 {
                run.books.borrow_mut().breach(format!("`{job}` sent again: {text}"));
            }
            ntex::time::sleep(RESEND_PAUSE).await;
        }
        ntex::time::sleep(JOB_PAUSE).await;
    }
}

/// Waits for the accepted jobs and checks that each item is in the results exactly once.
pub(crate) async fn check(run: &Rc<FaultRun>) {
    let jobs = run.books.borrow().jobs.clone();
    let deadline = Instant::now() + END_LIMIT;
    for job in jobs {
        match read_results(run, &job, deadline).await {
            Ok(()) => run.books.borrow_mut().counts.items += ITEMS as u64,
            Err(breach) => run.books.borrow_mut().breach(format!("`{job}`: {breach}")),
        }
    }
}

async fn read_results(run: &FaultRun, job: &str, deadline: Instant) -> Result<(), String> {
    let mut random = run.random(301);
    loop {
        let address = run.pick(&mut random).await;
        let url = format!("http://{address}/v1/batches/{job}");
        let (_, text) = run
            .client
            .call(Method::GET, url.clone(), Some(&caller_key("association")), &[], "")
            .await;
        let report: Value = serde_json::from_str(&text).unwrap_or_default();
        if report["status"] == "completed" {
            let url = format!("{url}/results");
            let (_, text) =
                run.client.call(Method::GET, url, Some(&caller_key("association")), &[], "").await;
            return check_results(&text, &prompt(job), ITEMS, TOKENS);
        }
        if Instant::now() > deadline {
            return Err(format!("did not end: {text}"));
        }
        ntex::time::sleep(RESEND_PAUSE).await;
    }
}
