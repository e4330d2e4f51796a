//! Items of batch jobs and their results, as JSON Lines.

use serde::{Deserialize, Serialize};

use crate::entry::prompt::ChatMessage;
use crate::ids::ModelName;

/// Line of a submitted job.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ItemLine {
    /// Id of the item in the results; unique in the job.
    pub(crate) custom_id: String,
    /// Request of the item.
    pub(crate) body: ItemBody,
    /// Method, as sent by OpenAI clients; ignored.
    #[serde(default, skip_serializing)]
    #[allow(dead_code, reason = "accepted for the clients that send it")]
    method: Option<String>,
    /// Path, as sent by OpenAI clients; ignored.
    #[serde(default, skip_serializing)]
    #[allow(dead_code, reason = "accepted for the clients that send it")]
    url: Option<String>,
}

/// Request of an item.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ItemBody {
    /// Model that runs the request.
    pub(crate) model: ModelName,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    /// Prompt of a completion.
    #[serde(default)]
    pub(crate) prompt: Option<String>,
    /// Messages of a chat.
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
}

/// Final status of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ItemStatus {
    /// The response is complete.
    Completed,
    /// The item failed permanently.
    Failed,
}

/// Line of the results.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct ItemResult {
    /// Id of the item.
    pub(crate) custom_id: String,
    /// Final status of the item.
    pub(crate) status: ItemStatus,
    /// Generated text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<String>,
    /// Reason of the failure.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
    /// Number of generated tokens.
    pub(crate) tokens: u32,
}
