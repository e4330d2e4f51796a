//! Requests for answers and how they become prompts.

use serde::{Deserialize, Serialize};

use crate::ids::ModelName;

/// A message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChatMessage {
    /// Who speaks.
    pub(crate) role: String,
    /// What is said.
    pub(crate) content: String,
}

/// The body of a request for an answer. Fields that clients send besides are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct AnswerBody")]
pub(crate) struct InferenceBody {
    /// The model.
    pub(crate) model: ModelName,
    /// Whether to stream the answer.
    #[serde(default)]
    pub(crate) stream: bool,
    /// The most tokens to generate.
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    /// The prompt of a completion.
    #[serde(default)]
    pub(crate) prompt: Option<String>,
    /// The messages of a chat.
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
}

/// The prompt for a completion or a chat.
///
/// # Errors
///
/// A sentence that says what is missing.
pub(crate) fn prompt_of(prompt: Option<&str>, messages: &[ChatMessage]) -> Result<String, String> {
    match (prompt, messages) {
        (Some(prompt), []) if !prompt.is_empty() => Ok(prompt.to_owned()),
        (None, [_, ..]) => {
            let lines: Vec<String> =
                messages.iter().map(|m| format!("<|{}|>\n{}\n", m.role, m.content)).collect();
            Ok(lines.concat())
        }
        _ => Err("send either `prompt` or `messages`, not empty".to_owned()),
    }
}
