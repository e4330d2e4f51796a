//! A stand-in for plain services that counts deliveries by request body.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use crate::server::ServerThread;

/// Faults that the service injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFault {
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Whether the connection breaks after the delivery took effect.
    pub lose_responses: bool,
}

#[derive(Default)]
struct ServiceState {
    deliveries: HashMap<String, u64>,
    leaked_keys: u64,
    fault: ServiceFault,
}

type SharedService = Arc<Mutex<ServiceState>>;

/// A running service.
pub struct ServiceStandIn {
    state: SharedService,
    server: ServerThread,
}

fn lock(state: &SharedService) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServiceStandIn {
    /// Starts a service that listens on `address`.
    pub fn spawn(address: SocketAddr) -> std::io::Result<Self> {
        let state = SharedService::default();
        let server = ServerThread::spawn(address, state.clone(), configure, async {})?;
        Ok(Self { state, server })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that the service injects.
    pub fn set_fault(&self, fault: ServiceFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the number of deliveries by request body.
    pub fn deliveries(&self) -> HashMap<String, u64> {
        lock(&self.state).deliveries.clone()
    }

    /// Returns the number of calls with an `authorization` header, which leaks a caller's key.
    pub fn leaked_keys(&self) -> u64 {
        lock(&self.state).leaked_keys
    }
}

fn configure(config: &mut ServiceConfig) {
    config.route("/{rest}*", web::route().to(deliver));
}

async fn deliver(state: State<SharedService>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let fault = {
        let mut state = lock(&state);
        let key = String::from_utf8_lossy(&body).into_owned();
        *state.deliveries.entry(key).or_default() += 1;
        state.leaked_keys += u64::from(request.headers().get("authorization").is_some());
        state.fault
    };
    ntex::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    if fault.lose_responses {
        let broken = stream::iter([Err::<Bytes, _>(std::io::Error::other("broken off"))]);
        return HttpResponse::build(StatusCode::OK).streaming(Box::pin(broken));
    }
    let response = serde_json::json!({ "delivered": true, "path": request.path() });
    HttpResponse::build(StatusCode::OK).json(&response)
}
