//! Tests of route and key lookups.

use std::sync::Arc;
use std::time::Duration;

use yare::parameterized;

use crate::configuration::KeyHash;
use crate::gateway::catalog::{
    CallerLimits, ForwardRoute, GatewayConfig, GatewayWorkspace, RouteBackend, RouteCatalog,
    RouteClass, RouteMiss,
};
use crate::ids::{ServiceName, WorkspaceId};

pub(super) fn route(name: &str, path_prefix: &str, class: RouteClass) -> ForwardRoute {
    ForwardRoute {
        name: Arc::from(name),
        host: "shop.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        class,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(300),
        rank: 2,
        backends: vec![RouteBackend { service: ServiceName::from("llm"), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: false,
    }
}

pub(super) fn config(version: u64, routes: Vec<ForwardRoute>) -> GatewayConfig {
    GatewayConfig {
        version,
        routes,
        services: Vec::new(),
        workspaces: Some(vec![GatewayWorkspace {
            name: WorkspaceId::from("zlatnik"),
            keys: vec![KeyHash::of("secret")],
            rank: Some(1),
            rate: 0.0,
            burst: 0.0,
        }]),
        limits: CallerLimits { body_bytes: 1 << 20 },
    }
}

fn catalog() -> RouteCatalog {
    let mut open = route("open", "/open/", RouteClass::Idempotent);
    open.allows_anonymous = true;
    RouteCatalog::open(config(
        3,
        vec![
            route("root", "/", RouteClass::Idempotent),
            route("shop", "/shop/", RouteClass::Idempotent),
            route("deep", "/shop/rings/", RouteClass::AtMostOnce),
            open,
        ],
    ))
}

#[parameterized(
    longest = { "/shop/rings/7", "deep" },
    shorter = { "/shop/bands/7?x=/shop/rings/", "shop" },
    without_slash = { "/shop/rings", "shop" },
    root = { "/other", "root" },
    exact = { "/shop/", "shop" },
)]
fn longest_prefix_selects_route(path: &str, name: &str) {
    let catalog = catalog();
    assert_eq!(&*catalog.route("Shop.example:8080", path).unwrap().name, name);
}

#[test]
fn key_is_required_unless_anonymous() {
    let catalog = catalog();
    let key = KeyHash::of("secret");
    let other = KeyHash::of("other");
    let find = |path, key| catalog.find("shop.example", path, key);
    assert_eq!(find("/shop/1", None).unwrap_err(), RouteMiss::BadKey);
    assert_eq!(find("/shop/1", Some(&other)).unwrap_err(), RouteMiss::BadKey);
    assert_eq!(find("/shop/1", Some(&key)).unwrap().rank(), 1);
    assert_eq!(find("/open/1", None).unwrap().rank(), 2);
    let miss = catalog.find("elsewhere.example", "/shop/1", Some(&key));
    assert_eq!(miss.unwrap_err(), RouteMiss::NoRoute);
}

#[test]
fn traffic_split_follows_weights() {
    let mut split = route("split", "/", RouteClass::Idempotent);
    split.backends = vec![
        RouteBackend { service: ServiceName::from("old"), weight: 90 },
        RouteBackend { service: ServiceName::from("new"), weight: 10 },
    ];
    let picked: Vec<&str> = [0.0, 0.89, 0.91, 0.999]
        .map(|sample| RouteCatalog::pick_service(&split, sample).unwrap().as_str())
        .to_vec();
    assert_eq!(picked, ["old", "old", "new", "new"]);
}
