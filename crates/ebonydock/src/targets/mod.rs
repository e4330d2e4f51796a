//! Talking to targets: model engines and plain services.
//!
//! The traits are the border; [`http`] is the only module that knows a wire format. Every error says
//! whether bytes may have reached the target, because that decides what may be sent again.

pub mod http;
#[cfg(test)]
mod tests;

use std::pin::Pin;

use futures_util::Stream;
use futures_util::future::LocalBoxFuture;
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::ModelName;
use crate::scheduling::CacheReport;

/// A request for an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Unique for each attempt; the engine repeats it in every event.
    pub request_id: String,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Text that was generated before a break; generation goes on behind it.
    pub generated: String,
    /// The number of tokens in `generated`.
    pub generated_tokens: u32,
}

/// What an engine generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenEvent {
    /// The next token.
    Token(String),
    /// The answer is complete; why it ended.
    Done(String),
}

/// The events of an answer, in order. Dropping the stream cancels the request at the engine.
pub type TokenEvents = Pin<Box<dyn Stream<Item = Result<TokenEvent, TargetError>>>>;

/// An answer that an engine began.
pub struct TokenStream {
    /// Differs after each start of the engine; 0 if unknown.
    pub start_id: u64,
    /// The events.
    pub events: TokenEvents,
}

/// Why a target did not answer as asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// No connection could be made: nothing was sent.
    #[error("the target could not be reached")]
    NotSent,
    /// The connection broke; the request may have been handled.
    #[error("the target broke the answer off: {0}")]
    Broken(String),
    /// The answer does not belong to the request.
    #[error("the target answered another request")]
    Mismatch,
    /// The target refused the request as overloaded: it was not handled.
    #[error("the target is overloaded")]
    Overloaded,
    /// The target refused the request for good.
    #[error("the target refused the request: {0}")]
    Rejected(String),
}

/// An engine's report of itself, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Differs after each start of the engine.
    pub start_id: u64,
    /// Whether the cold start is over.
    pub warm: bool,
    /// Sequences that run.
    pub running: u32,
    /// The models that are loaded.
    pub models: Vec<ModelName>,
}

/// An order to an engine, fenced by a number that grows with each issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// An engine that checks it refuses lower numbers than it has seen.
    pub fence: u64,
    /// The model to load.
    pub load_model: ModelName,
}

/// A model engine.
pub trait EngineClient {
    /// Starts a request.
    fn generate<'a>(
        &'a self,
        address: &'a str,
        request: &'a GenerateRequest,
    ) -> LocalBoxFuture<'a, Result<TokenStream, TargetError>>;
    /// Reads the engine's status.
    fn status<'a>(
        &'a self,
        address: &'a str,
    ) -> LocalBoxFuture<'a, Result<EngineStatus, TargetError>>;
    /// Reads cache events from a number on; `None` asks for a listing.
    fn cache<'a>(
        &'a self,
        address: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<CacheReport, TargetError>>;
    /// Gives an order.
    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a EngineOrder,
    ) -> LocalBoxFuture<'a, Result<(), TargetError>>;
}

/// A call of a plain service. Only what is listed here reaches the service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The type of the body, if there is one.
    pub content_type: Option<String>,
    /// Identifies the call to the service.
    pub request_id: String,
    /// The body.
    pub body: Bytes,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A plain service.
pub trait ServiceClient {
    /// Makes a call on a connection of its own, so that no kept connection can break under it.
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: &'a ServiceRequest,
    ) -> LocalBoxFuture<'a, Result<ServiceResponse, TargetError>>;
}
