//! What all VMs logged of one request, item or job, as a timeline with the cause at its end.

use std::fmt::Write as _;
use std::path::Path;

use serde_json::{Map, Value};

/// Events of a VM that may explain what happened to a request, shown from this long before its first line.
const CONTEXT_MS: u64 = 2000;
const CONTEXT_EVENTS: [&str; 10] = [
    "configuration in force",
    "data centre out of service",
    "gateway started",
    "gateway stopped",
    "gateway stopping",
    "peer lost",
    "store back",
    "store lost",
    "target gone",
    "target gone: did not register again",
];
/// Fields that hold the id of a request, an item or a job.
const ID_FIELDS: [&str; 3] = ["id", "item", "job"];
/// Why a request or item ended as it did, by the outcome in the logs.
const CAUSES: [(&str, &str); 14] = [
    ("bad_key", "no workspace has the key in the configuration that was in force"),
    ("broken_off", "the target broke its answer off, and no other one could go on with it"),
    ("busy", "every target stayed full for as long as the request could wait"),
    ("caller_left", "the caller left"),
    ("completed", "it was completed"),
    ("failed", "targets failed it as often as its route allows"),
    ("kept_too_long", "it was not done in the time for which its job is kept"),
    ("no_route", "no route had its host and path in the configuration that was in force"),
    ("no_target", "its service had no target that could be used"),
    ("not_configured", "the VM knew no configuration yet"),
    ("not_doable", "the target said that it can not be done"),
    ("over_quota", "its workspace was over its rate"),
    ("stopping", "the VM was about to stop"),
    ("timed_out", "the caller's time or the route's was over"),
];

struct LogLine {
    at_ms: u64,
    vm: String,
    event: String,
    fields: Map<String, Value>,
    is_own: bool,
}

impl LogLine {
    fn parse(vm: &str, line: &str, id: &str) -> Option<Self> {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(line) else { return None };
        let at_ms = fields.remove("ts_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        fields.remove("level");
        let is_own = ID_FIELDS.iter().filter_map(|name| fields.get(*name)?.as_str()).any(|value| {
            // Jobs are logged with their workspace.
            value == id || value.split_once(':').is_some_and(|(_, job)| job == id)
        });
        Some(Self { at_ms, vm: vm.to_owned(), event, fields, is_own })
    }
}

/// Explains what became of `id` by the logs in `files`, a VM each.
pub(crate) fn explain(id: &str, files: &[&str]) -> Result<String, String> {
    let mut logs = Vec::new();
    for file in files {
        let text = std::fs::read(file).map_err(|error| format!("cannot read `{file}`: {error}"))?;
        let vm = Path::new(file).file_stem().map_or(*file, |stem| stem.to_str().unwrap_or(file));
        logs.push((vm.to_owned(), String::from_utf8_lossy(&text).into_owned()));
    }
    timeline(id, &logs).ok_or_else(|| format!("no line of the logs names `{id}`"))
}

/// The timeline of `id`; `None` if no line names it. Logs are pairs of a VM and its lines.
fn timeline(id: &str, logs: &[(String, String)]) -> Option<String> {
    let mut unread = 0;
    let mut lines = Vec::new();
    for (vm, text) in logs {
        for line in text.lines() {
            match LogLine::parse(vm, line, id) {
                Some(line) => lines.push(line),
                None => unread += 1,
            }
        }
    }
    let own = lines.iter().filter(|line| line.is_own);
    let first = own.clone().map(|line| line.at_ms).min()?;
    let last = own.clone().map(|line| line.at_ms).max()?;
    let vms: Vec<String> = own.map(|line| line.vm.clone()).collect();
    lines.retain(|line| {
        let in_time = (first.saturating_sub(CONTEXT_MS)..=last).contains(&line.at_ms);
        let is_context = CONTEXT_EVENTS.contains(&line.event.as_str()) && vms.contains(&line.vm);
        line.is_own || (in_time && is_context)
    });
    lines.sort_by_key(|line| line.at_ms);
    let mut text = format!("{id}, from {first} (Unix milliseconds)\n");
    for line in &lines {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{}", describe(line, first));
    }
    let _ = writeln!(text, "cause: {}", cause(&lines));
    if unread > 0 {
        let _ = writeln!(text, "{unread} lines of the logs could not be read");
    }
    Some(text)
}

fn describe(line: &LogLine, first: u64) -> String {
    let offset = line.at_ms as i64 - first as i64;
    let mark = if line.is_own { ' ' } else { '·' };
    let fields = line.fields.iter().map(|(name, value)| match value {
        Value::String(value) => format!(" {name}={value}"),
        value => format!(" {name}={value}"),
    });
    format!("{offset:>+7} ms {mark} {}: {}{}", line.vm, line.event, fields.collect::<String>())
}

fn cause(lines: &[LogLine]) -> String {
    let outcomes = lines.iter().rev().filter(|line| line.is_own).filter_map(|line| {
        let outcome = line.fields.get("outcome")?.as_str()?;
        CAUSES.iter().find(|(name, _)| *name == outcome)
    });
    let known = outcomes.map(|(name, meaning)| format!("{name}: {meaning}")).next();
    let broken = || {
        let line = lines.iter().rev().find(|line| line.event == "answer broke off")?;
        let reason = line.fields.get("reason")?.as_str()?;
        Some(format!("broken off: {reason}"))
    };
    known.or_else(broken).unwrap_or_else(|| {
        lines
            .last()
            .map_or_else(String::new, |line| format!("the last that is known: {}", line.event))
    })
}

#[cfg(test)]
mod tests;
