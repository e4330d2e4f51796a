//! Refusals of requests: a code, a message, and whether the request was definitely not run.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::jobs::SubmitError;
use crate::memory::MemoryShortage;
use crate::platform::PlatformError;
use crate::routing::InferenceError;
use crate::service_calls::CallError;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCode {
    /// The key is missing or unknown.
    InvalidKey,
    /// The key was withdrawn while the request ran.
    KeyWithdrawn,
    /// The workspace's plan does not cover the request.
    NotAllowed,
    /// The request is malformed.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The requested route or object does not exist.
    NotFound,
    /// The request conflicts with an existing object.
    Conflict,
    /// The workspace is over its rate.
    RateLimited,
    /// Every target is busy.
    Busy,
    /// No target can serve the request.
    NoTarget,
    /// The target rejected the request.
    Rejected,
    /// The targets that were tried have failed.
    TargetFailed,
    /// The request may or may not have been run.
    OutcomeUnknown,
    /// The platform does not respond.
    PlatformUnavailable,
    /// The VM has no configuration yet.
    NotReady,
    /// The VM has no memory for the body now.
    NoMemory,
    /// The body stopped arriving.
    BodyStalled,
}

impl RefusalCode {
    /// Returns the code as written to responses and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_key",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::NotAllowed => "not_allowed",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::RateLimited => "rate_limited",
            Self::Busy => "busy",
            Self::NoTarget => "no_target",
            Self::Rejected => "rejected",
            Self::TargetFailed => "target_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::NotReady => "not_ready",
            Self::NoMemory => "no_memory",
            Self::BodyStalled => "body_stalled",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::InvalidKey | Self::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::BadRequest | Self::Rejected => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Conflict => StatusCode::CONFLICT,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::TargetFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::Busy
            | Self::NoTarget
            | Self::PlatformUnavailable
            | Self::NotReady
            | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The refusal of a request.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// The reason for the refusal.
    pub(crate) code: RefusalCode,
    /// A message for the caller, as a human-readable sentence.
    pub(crate) message: String,
    /// Whether the request was definitely not run, so that a retry can't run it twice.
    pub(crate) not_run: bool,
    /// The delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalDetail<'a>,
}

#[derive(Serialize)]
struct RefusalDetail<'a> {
    code: &'static str,
    message: &'a str,
    not_run: bool,
}

impl Refusal {
    /// Returns a refusal of a request that was not run.
    pub(crate) fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: true, retry_after: None }
    }

    /// Marks the request as possibly run.
    pub(crate) fn maybe_run(mut self) -> Self {
        self.not_run = false;
        self
    }

    /// Sets the delay after which the caller may retry.
    pub(crate) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the refusal as JSON.
    pub(crate) fn json(&self) -> String {
        let detail = RefusalDetail {
            code: self.code.as_str(),
            message: &self.message,
            not_run: self.not_run,
        };
        serde_json::to_string(&RefusalBody { error: detail }).unwrap_or_default()
    }

    /// Returns the refusal as an HTTP response.
    pub(crate) fn response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.code.status());
        response.content_type("application/json");
        if let Some(delay) = self.retry_after {
            response.set_header("retry-after", delay.as_secs_f64().ceil().to_string());
        }
        response.body(self.json())
    }
}

impl From<MemoryShortage> for Refusal {
    fn from(_: MemoryShortage) -> Self {
        let refusal = Self::new(RefusalCode::NoMemory, "there is no memory for the body now");
        refusal.retry_after(Duration::from_secs(1))
    }
}

impl From<PlatformError> for Refusal {
    fn from(error: PlatformError) -> Self {
        let refusal = Self::new(RefusalCode::PlatformUnavailable, error.to_string());
        refusal.retry_after(Duration::from_secs(2))
    }
}

impl From<SubmitError> for Refusal {
    fn from(error: SubmitError) -> Self {
        let message = error.to_string();
        match error {
            SubmitError::Invalid(_) => Self::new(RefusalCode::BadRequest, message),
            SubmitError::Conflict => Self::new(RefusalCode::Conflict, message),
            SubmitError::Platform(error) => Self::from(error),
        }
    }
}

impl From<CallError> for Refusal {
    fn from(error: CallError) -> Self {
        let message = error.to_string();
        match error {
            CallError::NoTarget => Self::new(RefusalCode::NoTarget, message),
            CallError::NotSent => {
                Self::new(RefusalCode::TargetFailed, message).retry_after(Duration::from_secs(1))
            }
            CallError::Conflict => Self::new(RefusalCode::Conflict, message),
            CallError::OutcomeUnknown => {
                Self::new(RefusalCode::OutcomeUnknown, message).maybe_run()
            }
            CallError::Platform(error) => Self::from(error),
        }
    }
}

impl Refusal {
    /// Returns the refusal for a failed inference; `reached_target` says whether a target may have
    /// run it.
    pub(crate) fn from_inference_error(error: &InferenceError, reached_target: bool) -> Self {
        let code = match error {
            InferenceError::Busy => RefusalCode::Busy,
            InferenceError::NoTarget => RefusalCode::NoTarget,
            InferenceError::KeyWithdrawn => RefusalCode::KeyWithdrawn,
            InferenceError::Rejected(_) => RefusalCode::Rejected,
            InferenceError::Failed(..) => RefusalCode::TargetFailed,
        };
        let mut refusal = Self::new(code, error.to_string());
        refusal.not_run = !reached_target;
        if *error == InferenceError::Busy {
            refusal.retry_after = Some(Duration::from_secs(1));
        }
        refusal
    }
}
