//! Stand-ins for the systems around ebonydock: the platform, model engines, plain services and a
//! network with injected faults. Used by tests, the demo and the experiments.

mod batches;
mod certificates;
mod engine;
mod platform;
mod proxy;
mod server;
mod service;
mod site;
mod streaming;

pub use batches::{check_results, job_items};
pub use certificates::{PeerCertificates, make_certificates};
pub use engine::{EngineCounters, EngineShape, EngineStandIn, expected_text};
pub use platform::{PlatformCounters, PlatformFault, PlatformStandIn};
pub use proxy::{FaultProxy, ProxyFault};
pub use server::ServerThread;
pub use service::{ServiceFault, ServiceStandIn};
pub use site::{
    DataCentrePlan, OPERATOR_KEY, SiteClient, SiteEngine, SitePlan, SiteVm, StandInSite, VmPlan,
    caller_key, chat_body, chat_prompt, engine_entry, notice_entry, settings_text,
};
pub use streaming::{StreamEnd, StreamedResponse};
