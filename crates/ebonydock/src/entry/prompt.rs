//! The body of inference requests, and its conversion to a prompt.

use serde::{Deserialize, Serialize};

use crate::ids::ModelName;

/// A message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChatMessage {
    /// The role of the author, such as `user` or `assistant`.
    pub(crate) role: String,
    /// The text of the message.
    pub(crate) content: String,
}

/// The JSON body of an inference request. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct AnswerBody")]
pub(crate) struct InferenceBody {
    /// The name of the model.
    pub(crate) model: ModelName,
    /// Whether to stream the response.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    /// The prompt of a completion.
    #[serde(default)]
    pub(crate) prompt: Option<String>,
    /// The messages of a chat.
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
}

/// Returns the prompt of a completion or a chat.
///
/// # Errors
///
/// Returns a message for the caller unless exactly one of `prompt` and `messages` is given and not
/// empty.
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
