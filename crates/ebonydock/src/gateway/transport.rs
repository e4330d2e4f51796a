//! The border to the dialect that targets speak.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use http::{HeaderName, HeaderValue, StatusCode};
use ntex::util::Bytes;

use crate::gateway::connections::SendError;
use crate::gateway::request::ForwardedRequest;
use crate::gateway::slots::ServingTarget;
use crate::ids::WorkspaceId;

/// One attempt at one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAttempt<'a> {
    /// The request.
    pub request: &'a ForwardedRequest,
    /// The target.
    pub target: &'a ServingTarget,
    /// The workspace that the request runs for.
    pub workspace: Option<&'a WorkspaceId>,
    /// After this time the caller has left.
    pub time_left: Duration,
    /// The event after which the answer goes on.
    pub resume_after: Option<u64>,
}

/// What an answer says about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The target ran the request.
    Ran,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target answers at the address, or the target serves another version. Not run.
    Misdirected,
    /// The answer belongs to another request.
    Foreign,
}

/// Bytes of an answer as they arrive.
pub type TargetBodyStream = LocalBoxStream<'static, Result<Bytes, SendError>>;

/// The answer of a target.
pub struct TargetResponse {
    /// What it says about the attempt.
    pub meaning: ResponseMeaning,
    /// The status.
    pub status: StatusCode,
    /// Headers that go to the caller.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whether the body consists of events.
    pub has_events: bool,
    /// The body.
    pub body: TargetBodyStream,
}

/// Sends requests to targets.
pub trait TargetTransport {
    /// Makes one attempt. Dropping the future or the body cancels the work at the target.
    fn send<'a>(
        &'a self,
        attempt: TargetAttempt<'a>,
    ) -> LocalBoxFuture<'a, Result<TargetResponse, SendError>>;
}
