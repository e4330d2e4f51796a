//! Tests of the interface for callers.

use yare::parameterized;

use crate::entry::prompt::InferenceBody;
use crate::entry::prompt::{ChatMessage, prompt_of};
use crate::entry::{Refusal, RefusalCode, parse_json};
use crate::routing::InferenceError;

fn message(content: &str) -> ChatMessage {
    ChatMessage { role: "user".to_owned(), content: content.to_owned() }
}

#[parameterized(
    neither = { None, vec![] },
    both = { Some("a"), vec![message("b")] },
    empty = { Some(""), vec![] },
)]
fn invalid_prompt_is_rejected(prompt: Option<&str>, messages: Vec<ChatMessage>) {
    assert!(prompt_of(prompt, &messages).is_err());
}

#[test]
fn chat_is_converted_to_prompt() {
    insta::assert_json_snapshot!(prompt_of(None, &[message("resize?")]).unwrap(), @r#""<|user|>\nresize?\n""#);
}

#[parameterized(
    busy = { InferenceError::Busy, false, true },
    rejected_by_a_target = { InferenceError::Rejected("no".into()), true, false },
    interrupted = { InferenceError::Failed(3, "cut".into()), true, false },
)]
fn not_run_is_false_once_a_target_is_reached(
    error: InferenceError,
    reached_target: bool,
    not_run: bool,
) {
    assert_eq!(Refusal::from_inference_error(&error, reached_target).not_run, not_run);
}

#[test]
fn refusal_is_encoded_as_json() {
    let refusal = Refusal::new(RefusalCode::Busy, "every target is busy");
    insta::assert_snapshot!(refusal.json(), @r#"{"error":{"code":"busy","message":"every target is busy","not_run":true}}"#);
}

#[test]
fn parse_error_names_the_field() {
    let refusal = parse_json::<InferenceBody>(br#"{"model":"m","max_tokens":"many"}"#).unwrap_err();
    insta::assert_snapshot!(refusal.message, @r#"the body is not valid: max_tokens: invalid type: string "many", expected u32 at line 1 column 32"#);
}
