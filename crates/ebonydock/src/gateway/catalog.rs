//! Configuration of routes, services, workspaces and limits, indexed for lookups.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::KeyHash;
use crate::ids::{ServiceName, WorkspaceId};

/// Retry semantics and response form of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// Requests may run any number of times.
    Idempotent,
    /// A request runs at most once per attempt of the caller.
    AtMostOnce,
    /// The response is a stream of events; a request is retried only if the stream is resumable.
    Stream {
        /// Whether another target can continue the stream after an event.
        resumable: bool,
    },
    /// Batch jobs.
    Batch(BatchPolicy),
}

impl RouteClass {
    /// Returns whether a request may be retried after a target may have run it.
    pub fn may_retry(self) -> bool {
        match self {
            Self::Idempotent | Self::Batch(_) => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. } | Self::Batch(_))
    }
}

/// Policy for batch jobs on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchPolicy {
    /// Time from the first submission of a job until all its results are due.
    pub completion_target: Duration,
    /// Time from the submission after which an unfinished item may be dropped.
    pub max_queue_time: Duration,
    /// Maximum number of waiting tokens per workspace and route; `None` means no limit.
    pub max_waiting_tokens: Option<u64>,
}

/// Service that a route forwards to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteBackend {
    /// Service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardRoute {
    /// Name.
    pub name: Arc<str>,
    /// Host to match, without a port.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: String,
    /// Retry semantics and response form.
    pub class: RouteClass,
    /// Timeout of a request, as seen by the caller.
    pub timeout: Duration,
    /// Objective for the time until a response begins.
    pub latency_objective: Duration,
    /// Rank of the requests; lower goes first.
    pub rank: u8,
    /// Weighted services; at least one.
    pub backends: Vec<RouteBackend>,
    /// Maximum number of targets that one request of a caller is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub allows_anonymous: bool,
}

/// Properties of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name.
    pub name: ServiceName,
    /// Maximum number of connections to one target from all VMs together.
    pub target_connections: u32,
    /// Capacity of a target in cold start, in requests per second over all VMs; 0 means no limit.
    pub cold_start_rate: f64,
    /// Whether its targets are model engines.
    pub is_engine: bool,
}

/// Workspace with its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayWorkspace {
    /// Name.
    pub name: WorkspaceId,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Rank that overrides the rank of a route.
    pub rank: Option<u8>,
    /// Quota in requests per second over all VMs; 0 means no limit.
    pub rate: f64,
    /// Bucket size of the quota: requests that may exceed the rate at once.
    pub burst: f64,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

/// Complete configuration of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Version; increases with each change, not always by one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<ForwardRoute>,
    /// Services.
    pub services: Vec<ServiceProfile>,
    /// Workspaces; `None` if no request needs a key.
    pub workspaces: Option<Vec<GatewayWorkspace>>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
}

/// Failure to match a request to a route and workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMiss {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
}

/// Route and workspace of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Matched route.
    pub route: &'a Arc<ForwardRoute>,
    /// Workspace of the key; may be `None` only if no key is required.
    pub workspace: Option<&'a GatewayWorkspace>,
}

impl RouteMatch<'_> {
    /// Returns the rank of the request.
    pub fn rank(&self) -> u8 {
        self.workspace.and_then(|workspace| workspace.rank).unwrap_or(self.route.rank)
    }
}

/// Configuration indexed by host, path prefix, service and key.
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

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceProfile> {
        self.services.get(name)
    }

    /// Returns the longest time-out of the routes to a service.
    pub fn longest_timeout(&self, service: &ServiceName) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let routes =
            routes.filter(|route| route.backends.iter().any(|backend| backend.service == *service));
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> HashSet<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&GatewayWorkspace> {
        self.workspaces.as_ref()?.iter().find(|workspace| workspace.name == *name)
    }

    /// Returns the route of a host with the longest matching prefix of `path`. Ignores the port and query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        let path = path.split('?').next().unwrap_or(path);
        let mut prefix_ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        prefix_ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// Returns the route with this name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<ForwardRoute>> {
        self.hosts.values().flat_map(HashMap::values).find(|route| &*route.name == name)
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_of(&self, key: Option<&KeyHash>) -> Option<&GatewayWorkspace> {
        let index = *self.keys.get(key?)?;
        self.workspaces.as_ref()?.get(index)
    }

    /// Returns whether requests need a key, except on routes that allow anonymous ones.
    pub fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the route and workspace of a request.
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

    /// Returns the service that a request goes to, by weight. `sample` is a random number from 0 up to 1.
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
