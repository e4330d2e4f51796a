//! Reads streamed chat responses as a caller does.

use std::net::SocketAddr;

use futures_util::StreamExt;
use ntex::http::Method;
use serde_json::Value;

use crate::site::{SiteClient, chat_body};

/// How a streamed response ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// With the `[DONE]` event.
    Done,
    /// The request was refused: the status and the body of the refusal.
    Refused(u16, Value),
    /// With an error event, which holds the reason.
    Failed(Value),
    /// Without a `[DONE]` or error event; the text says what broke.
    Interrupted(String),
}

/// A streamed response.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamedResponse {
    /// Text of all content events that arrived.
    pub text: String,
    /// How the response ended.
    pub end: StreamEnd,
}

impl StreamedResponse {
    fn without_text(end: StreamEnd) -> Self {
        Self { text: String::new(), end }
    }
}

impl SiteClient {
    /// Sends a streaming chat request and reads the response; `on_chunk` is called for each chunk of
    /// the body.
    pub async fn stream_chat(
        &self,
        address: SocketAddr,
        key: &str,
        body: Vec<u8>,
        mut on_chunk: impl FnMut(),
    ) -> StreamedResponse {
        let url = format!("http://{address}/v1/chat/completions");
        let response = match self.send(Method::POST, url, Some(key), &[], body).await {
            Ok(response) => response,
            Err(error) => {
                return StreamedResponse::without_text(StreamEnd::Interrupted(error.to_string()));
            }
        };
        let status = response.status().as_u16();
        if status != 200 {
            let body = response.body().await.unwrap_or_default();
            let refusal = serde_json::from_slice(&body).unwrap_or_default();
            return StreamedResponse::without_text(StreamEnd::Refused(status, refusal));
        }
        let mut payload = response.take_payload();
        let mut raw = Vec::new();
        let interruption = loop {
            match payload.next().await {
                Some(Ok(chunk)) => raw.extend_from_slice(&chunk),
                Some(Err(error)) => break error.to_string(),
                None => break "the stream ended before its last event".to_owned(),
            }
            on_chunk();
        };
        parse_events(&String::from_utf8_lossy(&raw), interruption)
    }

    /// Sends a streaming chat request with one user message and reads the response.
    pub async fn stream_question(
        &self,
        address: SocketAddr,
        key: &str,
        model: &str,
        question: &str,
        max_tokens: u32,
    ) -> StreamedResponse {
        let body = chat_body(model, question, max_tokens, true);
        self.stream_chat(address, key, body, || {}).await
    }
}

/// Parses the events of a response. `interruption` says what broke if there is no last event.
fn parse_events(raw: &str, interruption: String) -> StreamedResponse {
    let mut text = String::new();
    let mut end = StreamEnd::Interrupted(interruption);
    for data in raw.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            end = StreamEnd::Done;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            end = StreamEnd::Failed(event);
        } else if let Some(content) = event["choices"][0]["delta"]["content"].as_str() {
            text.push_str(content);
        }
    }
    StreamedResponse { text, end }
}
