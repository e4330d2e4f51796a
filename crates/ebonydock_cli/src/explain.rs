//! Builds the timeline of one request, item or job from the JSON logs of VMs, with the cause of its
//! outcome at the end.

use std::fmt::Write as _;
use std::path::Path;

use serde_json::{Map, Value};

/// Context events are shown from this many milliseconds before the first line of the request.
const CONTEXT_MS: u64 = 2000;
/// Events of a VM that may explain what happened to a request.
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
/// Log fields that hold the id of a request, an item or a job.
const ID_FIELDS: [&str; 3] = ["id", "item", "job"];
/// Explanation of each outcome of a request or item in the logs.
const CAUSES: [(&str, &str); 14] = [
    ("bad_key", "no workspace had the key in the configuration that was active"),
    ("broken_off", "the target broke off its response, and no other target could continue it"),
    ("busy", "all targets stayed at capacity for as long as the request could wait"),
    ("caller_left", "the caller disconnected"),
    ("completed", "it was completed"),
    ("failed", "targets failed it in all attempts that its route allows"),
    ("kept_too_long", "its job's retention time ended before it was completed"),
    ("no_route", "no route matched its host and path in the configuration that was active"),
    ("no_target", "its service had no usable target"),
    ("not_configured", "the VM had no configuration yet"),
    ("not_doable", "the target rejected it as impossible to process"),
    ("over_quota", "its workspace exceeded its rate limit"),
    ("stopping", "the VM was about to stop"),
    ("timed_out", "the timeout of the caller or of the route expired"),
];

struct LogLine {
    at_ms: u64,
    vm: String,
    event: String,
    fields: Map<String, Value>,
    has_id: bool,
}

impl LogLine {
    fn parse(vm: &str, line: &str, id: &str) -> Option<Self> {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(line) else { return None };
        let at_ms = fields.remove("ts_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        fields.remove("level");
        let has_id = ID_FIELDS.iter().filter_map(|name| fields.get(*name)?.as_str()).any(|value| {
            // Some events log a job as `workspace:job`.
            value == id || value.split_once(':').is_some_and(|(_, job)| job == id)
        });
        Some(Self { at_ms, vm: vm.to_owned(), event, fields, has_id })
    }
}

/// Returns the timeline of `id` from the logs in `files`, one file per VM. A file's name without its
/// extension is the VM's name.
pub(crate) fn explain(id: &str, files: &[&str]) -> Result<String, String> {
    let mut logs = Vec::new();
    for file in files {
        let text = std::fs::read(file).map_err(|error| format!("cannot read `{file}`: {error}"))?;
        let vm = Path::new(file).file_stem().map_or(*file, |stem| stem.to_str().unwrap_or(file));
        logs.push((vm.to_owned(), String::from_utf8_lossy(&text).into_owned()));
    }
    timeline(id, &logs).ok_or_else(|| format!("no log line has the id `{id}`"))
}

/// Returns the timeline of `id`, or `None` if no line has this id. `logs` are pairs of a VM and its
/// log text.
fn timeline(id: &str, logs: &[(String, String)]) -> Option<String> {
    let mut unparsed = 0;
    let mut lines = Vec::new();
    for (vm, text) in logs {
        for line in text.lines() {
            match LogLine::parse(vm, line, id) {
                Some(line) => lines.push(line),
                None => unparsed += 1,
            }
        }
    }
    let matching = lines.iter().filter(|line| line.has_id);
    let first_ms = matching.clone().map(|line| line.at_ms).min()?;
    let last_ms = matching.clone().map(|line| line.at_ms).max()?;
    let vms: Vec<String> = matching.map(|line| line.vm.clone()).collect();
    lines.retain(|line| {
        let in_window = (first_ms.saturating_sub(CONTEXT_MS)..=last_ms).contains(&line.at_ms);
        let is_context = CONTEXT_EVENTS.contains(&line.event.as_str()) && vms.contains(&line.vm);
        line.has_id || (in_window && is_context)
    });
    lines.sort_by_key(|line| line.at_ms);
    let mut text = format!("{id}, from {first_ms} (Unix milliseconds)\n");
    for line in &lines {
        // Writing to a `String` can't fail.
        let _ = writeln!(text, "{}", describe(line, first_ms));
    }
    let _ = writeln!(text, "cause: {}", cause(&lines));
    if unparsed > 0 {
        let _ = writeln!(text, "{unparsed} log lines could not be parsed");
    }
    Some(text)
}

fn describe(line: &LogLine, first_ms: u64) -> String {
    let offset_ms = line.at_ms as i64 - first_ms as i64;
    let mark = if line.has_id { ' ' } else { '·' };
    let fields = line.fields.iter().map(|(name, value)| match value {
        Value::String(value) => format!(" {name}={value}"),
        value => format!(" {name}={value}"),
    });
    format!("{offset_ms:>+7} ms {mark} {}: {}{}", line.vm, line.event, fields.collect::<String>())
}

fn cause(lines: &[LogLine]) -> String {
    let outcomes = lines.iter().rev().filter(|line| line.has_id).filter_map(|line| {
        let outcome = line.fields.get("outcome")?.as_str()?;
        CAUSES.iter().find(|(name, _)| *name == outcome)
    });
    let known = outcomes.map(|(name, meaning)| format!("{name}: {meaning}")).next();
    let broken_off = || {
        let line = lines.iter().rev().find(|line| line.event == "answer broke off")?;
        let reason = line.fields.get("reason")?.as_str()?;
        Some(format!("response broken off: {reason}"))
    };
    known.or_else(broken_off).unwrap_or_else(|| {
        lines
            .last()
            .map_or_else(String::new, |line| format!("unknown; the last event is: {}", line.event))
    })
}

#[cfg(test)]
mod tests;
