//! The interface to the protocol of targets.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use http::{HeaderName, HeaderValue, StatusCode};
use ntex::util::Bytes;

use crate::gateway::connections::SendError;
use crate::gateway::request::ForwardedRequest;
use crate::ids::WorkspaceId;
use crate::placement::slots::ServingTarget;

/// One attempt to run a request at one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAttempt<'a> {
    /// The request to send.
    pub request: &'a ForwardedRequest,
    /// The target to send it to.
    pub target: &'a ServingTarget,
    /// The workspace that the request runs for.
    pub workspace: Option<&'a WorkspaceId>,
    /// The time until the deadline of the request.
    pub time_left: Duration,
    /// The id of the event after which the response continues, if a stream is resumed.
    pub resume_after: Option<u64>,
    /// Whether the target refused the request before. A second copy of that refusal may arrive on the
    /// connection that brought it.
    pub needs_new_connection: bool,
}

/// What a response says about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The target ran the request.
    Ran,
    /// The target reports that it did not run the request.
    NotRun,
    /// Another target responds at the address. The request did not run.
    Misdirected,
    /// The target has other weights than this request requires. The request did not run; the target serves
    /// other requests.
    OtherVersion,
    /// The response belongs to another request.
    Foreign,
}

/// The bytes of a response body as they arrive.
pub type TargetBodyStream = LocalBoxStream<'static, Result<Bytes, SendError>>;

/// The response of a target.
pub struct TargetResponse {
    /// What the response says about the attempt.
    pub meaning: ResponseMeaning,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whether the body is a stream of events.
    pub has_events: bool,
    /// Whether the body has a length or chunks, so that its end shows that it is complete. Otherwise it ends
    /// with its connection.
    pub has_explicit_end: bool,
    /// Whether the target announces that it is about to stop.
    pub is_leaving: bool,
    /// The response body.
    pub body: TargetBodyStream,
}

/// Sends requests to targets.
pub trait TargetTransport {
    /// Sends a request to a target. Dropping the future or the body cancels the work at the target.
    fn send<'a>(
        &'a self,
        attempt: TargetAttempt<'a>,
    ) -> LocalBoxFuture<'a, Result<TargetResponse, SendError>>;
}
