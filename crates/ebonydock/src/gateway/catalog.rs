//! Routes, services, workspaces and limits, as operators configure them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::KeyHash;
use crate::ids::{ServiceName, WorkspaceId};

/// What may be repeated on a route, and how its answers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// An answer in events; may run again only where it can be resumed.
    Stream {
        /// Whether another target may go on after an event.
        resumable: bool,
    },
    /// Batch jobs.
    Batch(BatchPolicy),
}

impl RouteClass {
    /// Whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        match self {
            Self::Idempotent | Self::Batch(_) => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether answers come in events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. } | Self::Batch(_))
    }
}

/// The terms of batch jobs on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchPolicy {
    /// All results are due this long after the job was first handed in.
    pub completion_target: Duration,
    /// After this time an item may be given up.
    pub max_queue_time: Duration,
    /// The tokens that one workspace may have waiting; `None` means no limit.
    pub max_waiting_tokens: Option<u64>,
}

/// A service that a route forwards to, with its part of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteBackend {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardRoute {
    /// The name.
    pub name: Arc<str>,
    /// The host of its requests.
    pub host: String,
    /// The prefix of its paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub class: RouteClass,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Answers that begin within this time are worth most.
    pub latency_objective: Duration,
    /// Requests with a lower rank go first.
    pub rank: u8,
    /// The services; at least one.
    pub backends: Vec<RouteBackend>,
    /// The most targets that one attempt may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub allows_anonymous: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// The name.
    pub name: ServiceName,
    /// Connections that one target takes from all VMs together.
    pub target_connections: u32,
    /// Requests a second that a target in cold start bears; 0 means no limit.
    pub cold_start_rate: f64,
    /// Whether its targets are model engines.
    pub is_engine: bool,
}

/// A workspace with its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayWorkspace {
    /// The name.
    pub name: WorkspaceId,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Takes precedence over the rank of a route.
    pub rank: Option<u8>,
    /// Requests a second over all VMs; 0 means no limit.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a body.
    pub body_bytes: usize,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<ForwardRoute>,
    /// The services.
    pub services: Vec<ServiceProfile>,
    /// The workspaces; `None` if requests carry no keys.
    pub workspaces: Option<Vec<GatewayWorkspace>>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Why a request has no place in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMiss {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
}

/// A route with the workspace that a request belongs to.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Arc<ForwardRoute>,
    /// The workspace, unless the route is open.
    pub workspace: Option<&'a GatewayWorkspace>,
}

impl RouteMatch<'_> {
    /// The rank of the request.
    pub fn rank(&self) -> u8 {
        self.workspace.and_then(|workspace| workspace.rank).unwrap_or(self.route.rank)
    }
}

/// A configuration with its indexes.
#[derive(Debug)]
pub struct RouteCatalog {
    version: u64,
    limits: CallerLimits,
    hosts: HashMap<String, HashMap<String, Arc<ForwardRoute>>>,
    services: HashMap<ServiceName, ServiceProfile>,
    workspaces: Option<Vec<GatewayWorkspace>>,
    keys: HashMap<KeyHash, usize>,
}

impl RouteCatalog {
    /// Indexes a configuration.
    pub fn open(config: GatewayConfig) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<ForwardRoute>>> = HashMap::new();
        for route in config.routes {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), Arc::new(route));
        }
        let listed = config.workspaces.iter().flatten().enumerate();
        let keys =
            listed.flat_map(|(index, entry)| entry.keys.iter().map(move |key| (*key, index)));
        Self {
            version: config.version,
            limits: config.limits,
            hosts,
            services: config.services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys: keys.collect(),
            workspaces: config.workspaces,
        }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceProfile> {
        self.services.get(name)
    }

    /// The names of all services.
    pub fn service_names(&self) -> HashSet<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// A workspace by its name.
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&GatewayWorkspace> {
        self.workspaces.as_ref()?.iter().find(|workspace| workspace.name == *name)
    }

    /// The route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        let path = path.split('?').next().unwrap_or(path);
        let mut prefix_ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        prefix_ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// A route by its name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<ForwardRoute>> {
        self.hosts.values().flat_map(HashMap::values).find(|route| &*route.name == name)
    }

    /// The workspace of a key.
    pub fn workspace_of(&self, key: Option<&KeyHash>) -> Option<&GatewayWorkspace> {
        let index = *self.keys.get(key?)?;
        self.workspaces.as_ref()?.get(index)
    }

    /// Whether requests carry keys, except on open routes.
    pub fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// The route and workspace of a request.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&KeyHash>,
    ) -> Result<RouteMatch<'_>, RouteMiss> {
        let route = self.route(host, path).ok_or(RouteMiss::NoRoute)?;
        let workspace = self.workspace_of(key);
        if workspace.is_none() && self.needs_keys() && !route.allows_anonymous {
            return Err(RouteMiss::BadKey);
        }
        Ok(RouteMatch { route, workspace })
    }

    /// The service that a request goes to, by `draw` in 0 to 1.
    pub fn pick_service(route: &ForwardRoute, sample: f64) -> Option<&ServiceName> {
        let total: f64 = route.backends.iter().map(|backend| f64::from(backend.weight)).sum();
        let mut remaining = sample * total;
        for backend in &route.backends {
            remaining -= f64::from(backend.weight);
            if remaining < 0.0 {
                return Some(&backend.service);
            }
        }
        route.backends.last().map(|backend| &backend.service)
    }
}
