//! Items of batch jobs: one JSON document a line.

use serde::{Deserialize, Serialize};

use crate::entry::prompt::ChatMessage;
use crate::ids::ModelName;

/// One line of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ItemLine {
    /// Names the item in the results; unique in its chunk of lines.
    pub(crate) custom_id: String,
    /// The request.
    pub(crate) body: ItemBody,
    /// The method, as OpenAI clients send it; not used.
    #[serde(default, skip_serializing)]
    #[allow(dead_code, reason = "accepted for the clients that send it")]
    method: Option<String>,
    /// The path, as OpenAI clients send it; not used.
    #[serde(default, skip_serializing)]
    #[allow(dead_code, reason = "accepted for the clients that send it")]
    url: Option<String>,
}

/// The request of an item.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ItemBody {
    /// The model.
    pub(crate) model: ModelName,
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

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ItemStatus {
    /// The answer is complete.
    Completed,
    /// The item can not be done.
    Failed,
}

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct ItemResult {
    /// Names the item.
    pub(crate) custom_id: String,
    /// How the item ended.
    pub(crate) status: ItemStatus,
    /// The answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<String>,
    /// Why the item failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
    /// Tokens generated.
    pub(crate) tokens: u32,
}
