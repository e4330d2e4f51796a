//! Items of a batch job, and a check of its results.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::engine::expected_answer;

/// The items of a job: each is named by its number and asks `prompt` and that number.
pub fn job_items(model: &str, prompt: &str, count: usize, tokens: u32) -> String {
    let line = |number: usize| {
        let body = serde_json::json!({
            "model": model, "prompt": format!("{prompt} {number}"), "max_tokens": tokens,
        });
        format!("{}\n", serde_json::json!({ "custom_id": number.to_string(), "body": body }))
    };
    (0..count).map(line).collect()
}

/// Checks that each of the items of [`job_items`] is in the results exactly once, with its own answer.
pub fn check_results(results: &str, prompt: &str, count: usize, tokens: u32) -> Result<(), String> {
    let mut names = BTreeSet::new();
    for line in results.lines() {
        let result: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let name = result["custom_id"].as_str().unwrap_or_default().to_owned();
        if result["text"] != expected_answer(&format!("{prompt} {name}"), tokens) {
            return Err(format!("item `{name}` has another answer: {line}"));
        }
        if !names.insert(name) {
            return Err(format!("an item is there twice: {line}"));
        }
    }
    if names.len() == count { Ok(()) } else { Err(format!("{} items of {count}", names.len())) }
}
