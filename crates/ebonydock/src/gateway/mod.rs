//! Forwards opaque requests to targets. Every VM does this in the same way.
//!
//! A request is routed by its host and path, admitted by its workspace's key and quota, placed on a
//! target by the VM's own view of the fleet, and forwarded unchanged. No VM waits for another one:
//! VMs report their use of targets and quotas to each other and decide independently.
//!
//! `placement`, [`QuotaLedger`], [`RouteCatalog`] and the job index make decisions without I/O;
//! [`Gateway`] runs them. The HTTP protocols are outside this crate: implementations of
//! [`TargetTransport`] speak to targets, and users of [`Gateway`] speak to callers.

mod catalog;
mod claim_planner;
pub(crate) mod connections;
mod events;
mod followers;
mod forward;
mod handle;
mod job_api;
mod job_cache;
mod job_leader;
mod job_leadership;
mod job_lease;
mod job_lease_rows;
mod job_records;
mod job_service;
mod leases;
mod load;
mod logs;
mod member_entry;
mod member_publication;
mod metrics;
mod peering;
mod prompt_failures;
mod prompt_guard;
mod quarantine;
mod quota;
mod report_exchange;
mod report_routes;
mod request;
mod response_body;
mod rollout_host;
mod runtime;
mod stream_forwarder;
#[cfg(test)]
mod tests;
mod traces;
mod transport;

pub use catalog::{
    BatchPolicy, CallerLimits, ForwardRoute, GatewayConfig, GatewayWorkspace, RouteBackend,
    RouteCatalog, RouteClass, RouteMiss, ServiceProfile,
};
pub use connections::{
    BodyBudget, BudgetShare, ConnectionPool, PooledBody, PooledResponse, SendError,
};
pub use events::{EventSplitter, OversizedEvent, StreamEvent};
pub use followers::{OperatorRecord, RolloutState, RolloutStatus, RowDecoder};
pub use forward::{ForwardResponse, GatewayRefusal, RefusalReason, ResponseBody};
pub use handle::{Gateway, GatewaySettings};
pub use job_api::{JobApiResult, JobItemBody, JobRefusal, JobResultPage};
pub use job_records::{JobItem, JobItemResult, JobSubmission};
pub use load::{
    AnswerCount, LoadReport, LoadUpdate, PartAnswer, PromptFailure, PromptReport, ReportFrame,
    ReportedQuarantine, SpentQuota,
};
pub use logs::open_decision_log;
pub use metrics::GatewayMetrics;
pub use prompt_failures::{CrashVerdict, FailureLedger};
pub use quarantine::{PartSet, QuarantineList};
pub use quota::{QuotaLedger, QuotaState};
pub use report_routes::ReportInterest;
pub use request::{ForwardedRequest, PromptPart, RequestId, TokenDemand};
pub use response_body::BodyReceiver;
pub use transport::{
    ResponseMeaning, TargetAttempt, TargetBodyStream, TargetResponse, TargetTransport,
};
