//! Submits the batch jobs of a run and checks their results.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock_standins::{caller_key, check_results, job_items};
use ntex::http::Method;
use serde_json::Value;

use crate::faults::{FaultRun, MODEL};

const ITEMS_PER_JOB: usize = 150;
const TOKENS_PER_ITEM: u32 = 6;
const SUBMIT_INTERVAL: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time after the last fault until all accepted jobs have completed.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);

fn prompt(job: &str) -> String {
    format!("{job} estimate")
}

/// Submits a job every `SUBMIT_INTERVAL`, each retried until it is accepted.
pub(crate) async fn submit(run: &Rc<FaultRun>) {
    let mut random = run.rng(300);
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < run.length {
        number += 1;
        let job = format!("job-{number}");
        while start.elapsed() < run.length {
            let address = run.pick_address(&mut random).await;
            let url = format!("http://{address}/v1/batches?name={job}&due_in_s=600");
            let items = job_items(MODEL, &prompt(&job), ITEMS_PER_JOB, TOKENS_PER_ITEM);
            let (status, text) = run
                .client
                .call(Method::POST, url, Some(&caller_key("association")), &[], items)
                .await;
            if status == 200 {
                let mut history = run.history.borrow_mut();
                history.counts.jobs += 1;
                history.record_event(&format!("`{job}` is accepted"));
                history.jobs.push(job.clone());
                break;
            }
            if status == 409 {
                run.history.borrow_mut().record_violation(format!(
                    "`{job}`, which was not accepted yet, was refused as a conflict: {text}"
                ));
            }
            ntex::time::sleep(RETRY_DELAY).await;
        }
        ntex::time::sleep(SUBMIT_INTERVAL).await;
    }
}

/// Waits until the accepted jobs have completed and checks that the results hold each item exactly once.
pub(crate) async fn check(run: &Rc<FaultRun>) {
    let jobs = run.history.borrow().jobs.clone();
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    for job in jobs {
        match read_results(run, &job, deadline).await {
            Ok(()) => run.history.borrow_mut().counts.items += ITEMS_PER_JOB as u64,
            Err(error) => run.history.borrow_mut().record_violation(format!("`{job}`: {error}")),
        }
    }
}

async fn read_results(run: &FaultRun, job: &str, deadline: Instant) -> Result<(), String> {
    let mut random = run.rng(301);
    loop {
        let address = run.pick_address(&mut random).await;
        let url = format!("http://{address}/v1/batches/{job}");
        let (_, text) = run
            .client
            .call(Method::GET, url.clone(), Some(&caller_key("association")), &[], "")
            .await;
        let job_status: Value = serde_json::from_str(&text).unwrap_or_default();
        if job_status["status"] == "completed" {
            let url = format!("{url}/results");
            let (_, text) =
                run.client.call(Method::GET, url, Some(&caller_key("association")), &[], "").await;
            return check_results(&text, &prompt(job), ITEMS_PER_JOB, TOKENS_PER_ITEM);
        }
        if Instant::now() > deadline {
            return Err(format!("the job did not complete in time: {text}"));
        }
        ntex::time::sleep(RETRY_DELAY).await;
    }
}
