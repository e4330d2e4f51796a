//! Builds items of batch jobs and checks their results.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::engine::expected_text;

/// Returns `count` items of a job as JSON lines. The `custom_id` of an item is its number, and its
/// prompt is `prompt` followed by the number.
pub fn job_items(model: &str, prompt: &str, count: usize, tokens: u32) -> String {
    let line = |number: usize| {
        let body = serde_json::json!({
            "model": model, "prompt": format!("{prompt} {number}"), "max_tokens": tokens,
        });
        format!("{}\n", serde_json::json!({ "custom_id": number.to_string(), "body": body }))
    };
    (0..count).map(line).collect()
}

/// Checks that the results hold each item of [`job_items`] exactly once, with the expected text.
pub fn check_results(results: &str, prompt: &str, count: usize, tokens: u32) -> Result<(), String> {
    let mut names = BTreeSet::new();
    for line in results.lines() {
        let result: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let name = result["custom_id"].as_str().unwrap_or_default().to_owned();
        if result["text"] != expected_text(&format!("{prompt} {name}"), tokens) {
            return Err(format!("item `{name}` has an unexpected text: {line}"));
        }
        if !names.insert(name) {
            return Err(format!("an item has two results: {line}"));
        }
    }
    if names.len() == count {
        Ok(())
    } else {
        Err(format!("{} of {count} items have results", names.len()))
    }
}
