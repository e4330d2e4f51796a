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
mod metrics;
mod notices;
mod operators;
mod ownership;
mod peers;
mod platform;
mod routing;
mod scheduling;
mod settings;
mod targets;
mod vm;

pub use clock::{monotonic, unix_seconds};
pub use configuration::{
    AccessEntry, Change, ConfigDocument, KeyHash, RouteRule, ServiceCall, VersionedBatch,
    WorkspaceEntry,
};
pub use gateway::{
    AnswerBody, BatchExcess, BatchTerms, CallerLimits, ConnectionPool, EventSplitter,
    ForwardAnswer, ForwardRoute, ForwardedRequest, Gateway, GatewayConfig, GatewayMetrics,
    GatewayRefusal, GatewaySettings, GatewayWorkspace, JobAnswer, JobItem, JobRefusal,
    JobResultPage, JobSubmission, ListedResult, LoadNews, LoadReport, OperatorRecord,
    PlacementBoard, PlacementOutcome, PlatformDialect, PooledAnswer, PooledBody, PromptPart,
    QuotaLedger, RefusalReason, ReplyBody, ReplyMeaning, ReportInterest, ReportedLoad, RequestId,
    RouteBackend, RouteCatalog, RouteClass, RouteMiss, SendError, ServiceProfile, ServingTarget,
    SlotNeed, SlotRefusal, SlotUse, SlotWaiter, SpentQuota, StreamEvent, TargetAttempt,
    TargetReply, TargetTransport, TokenDemand, open_decision_log,
};
pub use ids::{
    AttemptId, ConfigVersion, DataCentreId, Epoch, JobId, LeaseId, ModelName, ObjectName, PlanName,
    RowKey, ServiceName, TargetId, VmId, WorkspaceId,
};
pub use jobs::ChunkLedger;
pub use limits::{
    BucketLedger, BucketOwner, BucketShare, DrawContext, SpendingAllowance, TokenLoan,
};
pub use membership::{ContactLimits, MemberRecord, MembershipView};
pub use notices::{NoticeRow, NoticeState, NoticeStep, next_step};
pub use operators::messages::{
    ConfigReply, DataCentreReport, EditBody, EditReply, KeyEntry, MemberReport, StatusReply,
};
pub use ownership::{owner_of, ranked};
pub use platform::http::PlatformClient;
pub use platform::rows::{
    RowError, RowId, RowPage, RowResult, RowStore, RowTransaction, StoredRow,
};
pub use platform::{
    EngineCapability, FleetListing, FleetSource, ObjectStore, PlatformError, PlatformResult,
    RowCondition, RowWrite, TableRow, TableStore, TableTransaction, TargetEntry, TargetRole,
    VmEntry,
};
pub use routing::{DataCentreLoad, RetryBudget, rank_data_centres};
pub use scheduling::{
    AffinityPolicy, CacheReport, Decision, FairQueue, PoolPolicy, PoolScheduler, PrefixIndex,
    QueuePlace, RequestClass, ReserveEstimator, TargetState, TargetWarmth, WaiterId, WorkspaceLoad,
    YieldPolicy,
};
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
    pub use crate::jobs::messages::{ChunkOrder, ChunkReport, JobSignal};
    pub use crate::limits::messages::{
        BucketHandover, BucketRecord, GrantId, GrantReply, GrantRequest,
    };
    pub use crate::membership::messages::{
        DataCentreDigest, Heartbeat, MemberPhase, PoolSummary, VmAddress,
    };
    pub use crate::peers::messages::{Envelope, PeerDatagram, PeerReply, PeerRequest};
    pub use crate::scheduling::messages::{
        AcquireRefusal, AcquireReply, AcquireRequest, HeldQuery, HeldRecord, HeldReply, LeaseGrant,
        LeaseOutcome, ReleaseReport, RequestDemand, RevokeOrder, StartReport,
    };
}
