//! HTTP client for the platform's services, with JSON bodies.

use std::time::Duration;

use form_urlencoded::Serializer;
use futures_util::future::LocalBoxFuture;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::Full;
use ntex::util::Bytes;

use crate::gateway::connections::resolve;
use crate::gateway::{BodyBudget, ConnectionPool};
use crate::ids::{ObjectName, RowKey};
use crate::platform::{
    FleetListing, FleetSource, ObjectStore, PlatformError, PlatformResult, TableRow, TableStore,
    TableTransaction,
};

/// Limit for the head of a response, including the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client for the platform's table, object store and list of VMs and targets.
pub struct PlatformClient {
    connections: ConnectionPool,
    /// Host and port.
    address: String,
}

impl PlatformClient {
    /// Opens a client for the services at `address` (`host:port`).
    pub fn open(address: &str) -> Self {
        Self { connections: ConnectionPool::default(), address: address.to_owned() }
    }

    async fn get(&self, path: &str) -> PlatformResult<Bytes> {
        self.call(Request::get(path), Bytes::new()).await
    }

    /// Sends a request and returns the body of its response.
    async fn call(&self, request: http::request::Builder, body: Bytes) -> PlatformResult<Bytes> {
        let body = Full::new(bytes::Bytes::from_owner(body));
        let request = request.header(HOST, &self.address).body(body);
        let request = request.map_err(|error| PlatformError::Refused(error.to_string()))?;
        let response = async {
            let address = resolve(&self.address).await.map_err(unavailable)?;
            let response = self.connections.send(address, request);
            let response = tokio::time::timeout(RESPONSE_TIMEOUT, response).await;
            let response = response.map_err(unavailable)?.map_err(unavailable)?;
            let status = response.head.status;
            let budget = BodyBudget::open(MAX_BODY_BYTES);
            let body = response.body.read_all(MAX_BODY_BYTES, &budget).await;
            check_status(status, body.map_err(unavailable)?)
        };
        tokio::time::timeout(CALL_TIMEOUT, response).await.map_err(unavailable)?
    }
}

fn unavailable(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn check_status(status: StatusCode, body: Bytes) -> PlatformResult<Bytes> {
    if status.is_success() {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    match status {
        StatusCode::CONFLICT => Err(PlatformError::Conflict(RowKey::from(text))),
        _ if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
            Err(PlatformError::Refused(text))
        }
        _ => Err(PlatformError::Unavailable(text)),
    }
}

fn path_with_query(path: &str, fields: &[(&str, &str)]) -> String {
    let query = Serializer::new(String::new()).extend_pairs(fields).finish();
    format!("{path}?{query}")
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &Bytes) -> PlatformResult<T> {
    serde_json::from_slice(body).map_err(unavailable)
}

impl TableStore for PlatformClient {
    fn read<'a>(&'a self, key: &'a RowKey) -> LocalBoxFuture<'a, PlatformResult<Option<TableRow>>> {
        Box::pin(async move {
            let path = path_with_query("/table/row", &[("key", key.as_str())]);
            parse_json(&self.get(&path).await?)
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, PlatformResult<Vec<TableRow>>> {
        Box::pin(async move {
            let limit = limit.to_string();
            let fields = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
            parse_json(&self.get(&path_with_query("/table/rows", &fields)).await?)
        })
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalBoxFuture<'a, PlatformResult<u64>> {
        Box::pin(async move {
            let body = serde_json::to_vec(transaction);
            let body = body.map_err(|error| PlatformError::Refused(error.to_string()))?;
            let request = Request::post("/table/transact").header(CONTENT_TYPE, "application/json");
            parse_json(&self.call(request, Bytes::from(body)).await?)
        })
    }
}

impl ObjectStore for PlatformClient {
    fn put<'a>(
        &'a self,
        name: &'a ObjectName,
        body: Bytes,
    ) -> LocalBoxFuture<'a, PlatformResult<()>> {
        Box::pin(async move {
            self.call(Request::put(format!("/objects/{name}")), body).await.map(|_| ())
        })
    }

    fn get<'a>(&'a self, name: &'a ObjectName) -> LocalBoxFuture<'a, PlatformResult<Bytes>> {
        Box::pin(async move { self.get(&format!("/objects/{name}")).await })
    }
}

impl FleetSource for PlatformClient {
    fn fetch(&self) -> LocalBoxFuture<'_, PlatformResult<FleetListing>> {
        Box::pin(async move { parse_json(&self.get("/fleet").await?) })
    }
}
