//! ebonydock: serving of online and batch inference on one fleet.
//!
//! The same program runs on every entry VM. Each module has one responsibility, with its own state,
//! messages and tests. Decisions are state machines without I/O that take the time as an argument. The
//! crate root lists the public API.

mod clock;
mod configuration;
mod entry;
mod gateway;
mod ids;
mod jobs;
mod limits;
mod membership;
mod memory;
mod metrics;
mod operators;
mod ownership;
mod peers;
mod placement;
mod platform;
mod result_pages;
mod rollouts;
mod routing;
mod scheduling;
mod service_calls;
mod settings;
mod targets;
mod vm;

pub use clock::{monotonic, unix_seconds};
pub use configuration::{
    AccessEntry, Change, ConfigDocument, KeyHash, RouteRule, ServiceCall, VersionedBatch,
    WorkspaceEntry,
};
pub use gateway::{
    AnswerCount, BatchPolicy, BodyBudget, BodyReceiver, BudgetShare, CallerLimits, ConnectionPool,
    CrashVerdict, EventSplitter, FailureLedger, ForwardResponse, ForwardRoute, ForwardedRequest,
    Gateway, GatewayConfig, GatewayMetrics, GatewayRefusal, GatewaySettings, GatewayWorkspace,
    JobApiResult, JobItem, JobItemBody, JobItemResult, JobRefusal, JobResultPage, JobSubmission,
    LoadReport, LoadUpdate, OperatorRecord, OversizedEvent, PartAnswer, PartSet, PooledBody,
    PooledResponse, PromptFailure, PromptPart, PromptReport, QuarantineList, QuotaLedger,
    QuotaState, RefusalReason, ReportFrame, ReportInterest, ReportedQuarantine, RequestId,
    ResponseBody, ResponseMeaning, RolloutState, RolloutStatus, RouteBackend, RouteCatalog,
    RouteClass, RouteMiss, RowDecoder, SendError, ServiceProfile, SpentQuota, StreamEvent,
    TargetAttempt, TargetBodyStream, TargetResponse, TargetTransport, TokenDemand,
    open_decision_log,
};
pub use ids::{
    AttemptId, ConfigVersion, DataCentreId, Epoch, JobId, LeaseId, ModelName, ObjectName, PlanName,
    RowKey, ServiceName, TargetId, VersionName, VmId, WorkspaceId,
};
pub use jobs::ChunkTracker;
pub use limits::{
    AcquireContext, BucketLedger, BucketOwner, BucketShare, SpendingAllowance, TokenLoan,
};
pub use membership::{HeartbeatTimeouts, MemberRecord, MembershipView};
pub use memory::{
    AdmittedConnection, ConnectionAdmission, ConnectionTable, HolderId, MemoryBudget, MemoryKind,
    MemoryLease, MemoryLedger, MemorySettings, MemoryShortage, Reclaimable, RequestBuffer,
    TransferId,
};
pub use operators::messages::{
    ConfigReply, DataCentreReport, EditBody, EditReply, KeyEntry, MemberReport, StatusReply,
};
pub use ownership::{owner_of, ranked};
pub use placement::{
    BatchPreemption, DecidedWaiter, IdleConnections, PlacementOutcome, ReportedLoad,
    ReportedOutlier, ReportedWait, RequestDispatcher, ServingTarget, SlotNeed, SlotOutcome,
    SlotRefusal, SlotWaiter, VmReport,
};
pub use platform::http::PlatformClient;
pub use platform::rows::{
    RowError, RowId, RowPage, RowResult, RowStore, RowTransaction, StoredRow,
};
pub use platform::{
    EngineCapability, FleetListing, FleetSource, ObjectStore, PlatformError, PlatformResult,
    RowCondition, RowWrite, TableRow, TableStore, TableTransaction, TargetEntry, TargetRole,
    VmEntry,
};
pub use result_pages::{HeldPage, PageLedger};
pub use rollouts::{
    AnswerSample, AnswerStage, AnswerTally, ClaimWait, CohortEvidence, CohortLoad, EvidencePart,
    EvidenceSummary, FleetEvidence, GroupTally, LEASE_RENEWAL_INTERVAL, OrderFault,
    RolloutAnnouncement, RolloutController, RolloutLeader, RolloutLoad, RolloutNews, RolloutOrder,
    RolloutPhase, RolloutReason, RolloutRecord, RolloutReport, RolloutSettings, RolloutStep,
    RolloutView, RouteShare, RouteTally, ShareTable, SlowLimits, TargetCohort, VersionCohorts,
    VersionEvidence, claim_delay, rank_canary_targets, route_hash,
};
pub use routing::{DataCentreLoad, RetryBudget, rank_data_centres};
pub use scheduling::{
    AffinityPolicy, CacheReport, Decision, FairQueue, PoolPolicy, PoolScheduler, PreemptionPolicy,
    PrefixIndex, QueuePlace, RequestClass, ReserveEstimator, TargetState, WaiterId, WarmupState,
    WorkspaceLoad,
};
pub use service_calls::{CallAction, CallRecord, CallState, next_action};
pub use settings::{
    Finding, JobSettings, ObjectReader, OnlineSettings, SettingsFindings, TlsFiles, VmSettings,
    read_document, read_pool,
};
pub use targets::http::{EngineCache, EngineEvent, TargetClient};
pub use targets::{
    EngineClient, EngineCommand, EngineStatus, GenerateRequest, ServiceClient, ServiceRequest,
    ServiceResponse, TargetError, TokenEvent, TokenEvents, TokenStream,
};
pub use vm::{VmAddresses, VmHandle};

/// Messages between VMs, for tools that measure them.
pub mod wire {
    pub use crate::configuration::messages::{ChangeBatch, ChangeQuery, ChangeReply};
    pub use crate::jobs::messages::{ChunkReport, ChunkRequest, JobSignal};
    pub use crate::limits::messages::{
        BucketHandover, BucketRecord, GrantId, GrantReply, GrantRequest,
    };
    pub use crate::membership::messages::{
        DataCentreDigest, Heartbeat, MemberPhase, PoolSummary, VmAddress,
    };
    pub use crate::peers::messages::{Envelope, PeerDatagram, PeerReply, PeerRequest};
    pub use crate::scheduling::messages::{
        AcquireRefusal, AcquireReply, AcquireRequest, HeldLease, HeldLeasesReply,
        HeldLeasesRequest, LeaseGrant, LeaseOutcome, ReleaseReport, RequestDemand, RevokeRequest,
        StartReport,
    };
}
