//! Prints the replies of the operator interface as text or JSON.

use ebonydock::{ConfigReply, EditReply, StatusReply};
use serde::Serialize;

/// Prints a reply as JSON.
pub(crate) fn json(reply: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(reply).unwrap_or_default());
}

/// Prints the status of a VM.
pub(crate) fn status(reply: &StatusReply) {
    let ready = if reply.ready { "ready" } else { "not ready" };
    println!(
        "VM {} in {}: {ready}, configuration version {}",
        reply.vm, reply.data_centre, reply.config_version
    );
    println!("{} requests running, {} quota buckets owned", reply.running, reply.buckets);
    for member in &reply.members {
        println!(
            "VM {}: {:?}, configuration version {}",
            member.vm, member.phase, member.config_version
        );
    }
    for report in &reply.data_centres {
        let reach = if report.reachable { "reachable" } else { "not reachable" };
        let out = if report.out { ", out of service" } else { "" };
        println!("data centre {}: {reach}, {} VMs{out}", report.data_centre, report.vms);
    }
    for target in reply.targets.as_array().into_iter().flatten() {
        println!(
            "target {} of {}: warm {}, {} of {} running",
            text(&target["target"]),
            text(&target["model"]),
            target["warm"],
            target["in_flight"],
            target["capacity"],
        );
    }
}

fn text(value: &serde_json::Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Prints the batch jobs with their progress.
pub(crate) fn jobs(reply: &serde_json::Value) {
    for job in reply["jobs"].as_array().into_iter().flatten() {
        println!(
            "{}: {}, {} of {} items completed, {} failed, due in {} s, led by {}",
            text(&job["job"]),
            text(&job["status"]),
            job["completed"],
            job["items"],
            job["failed"],
            job["due_in_s"],
            text(&job["lead"]),
        );
    }
}

/// Prints the workspaces with their plans and limits.
pub(crate) fn plans(reply: &ConfigReply) {
    println!("version {}", reply.version);
    for entry in &reply.workspaces {
        println!(
            "{}: plan {}, {} requests/s, burst {}, weight {}",
            entry.workspace, entry.plan, entry.rate, entry.burst, entry.weight
        );
    }
}

/// Prints the models and routes that each plan may use.
pub(crate) fn access(reply: &ConfigReply) {
    println!("version {}", reply.version);
    for entry in &reply.access {
        let models: Vec<&str> = entry.models.iter().map(ebonydock::ModelName::as_str).collect();
        println!("{}: models {}", entry.plan, models.join(", "));
        for rule in &entry.routes {
            let kind = if rule.idempotent { "idempotent" } else { "not idempotent" };
            println!("  {}{}: {kind}", rule.service, rule.path);
        }
    }
}

/// Prints the hashes of the keys with their workspaces.
pub(crate) fn keys(reply: &ConfigReply) {
    println!("version {}", reply.version);
    for key in &reply.keys {
        println!("{} {}", key.hash, key.workspace);
    }
}

/// Prints the version of an accepted edit and where it is not yet confirmed as active.
pub(crate) fn edit(reply: &EditReply) {
    println!("accepted as version {}", reply.version);
    if reply.not_yet_in_force.is_empty() {
        println!("active everywhere");
    } else {
        println!("not yet confirmed as active at: {}", reply.not_yet_in_force.join(", "));
    }
}
