//! HTTP client for the platform's services, with JSON bodies.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::util::Bytes;

use crate::ids::{ObjectName, RowKey};
use crate::platform::{
    FleetListing, FleetSource, ObjectStore, PlatformError, PlatformResult, TableRow, TableStore,
    TableTransaction,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of open connections per client. The schedulers limit the requests that run on a target
/// to far fewer.
const MAX_CONNECTIONS: usize = 65_536;

/// HTTP client for the platform's table, object store and list of VMs and targets.
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// Opens a client for the services at `address` (`host:port`).
    pub async fn open(address: &str) -> Self {
        Self { client: http_client(CALL_TIMEOUT).await, base: format!("http://{address}") }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

/// Builds an HTTP client with `timeout` for the response headers and again for the response body.
pub(crate) async fn http_client(timeout: Duration) -> Client {
    // Don't set the connection limit to 0 (unlimited): in this library, requests with `force_close` then
    // wait forever.
    Client::builder()
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .response_timeout(ntex::time::Millis(timeout.as_millis() as u32))
        .disable_redirects()
        .no_default_headers()
        .response_payload_limit(MAX_BODY_BYTES)
        .response_payload_timeout(ntex::time::Millis(timeout.as_millis() as u32))
        .build(ntex::SharedCfg::default())
        .await
        .unwrap_or_else(|error| unreachable!("a plain connector always builds: {error}"))
}

fn unavailable(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

/// Awaits the response to a call. The timeout covers the whole call because the library has no timeout
/// for acquiring a connection.
async fn response_body<E: std::fmt::Display>(
    call: impl Future<Output = Result<ClientResponse, E>>,
) -> PlatformResult<Bytes> {
    let response = async { check_status(call.await.map_err(unavailable)?).await };
    tokio::time::timeout(2 * CALL_TIMEOUT, response).await.map_err(unavailable)?
}

async fn check_status(response: ClientResponse) -> PlatformResult<Bytes> {
    let status = response.status();
    let body = response.body().await.map_err(unavailable)?;
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

fn parse_json<T: serde::de::DeserializeOwned>(body: &Bytes) -> PlatformResult<T> {
    serde_json::from_slice(body).map_err(unavailable)
}

impl TableStore for PlatformClient {
    fn read<'a>(&'a self, key: &'a RowKey) -> LocalBoxFuture<'a, PlatformResult<Option<TableRow>>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/table/row")).query(&[("key", key.as_str())]);
            let request = request.map_err(unavailable)?;
            parse_json(&response_body(request.send()).await?)
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
            let query = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
            let request = self.client.get(self.url("/table/rows")).query(&query);
            let request = request.map_err(unavailable)?;
            parse_json(&response_body(request.send()).await?)
        })
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalBoxFuture<'a, PlatformResult<u64>> {
        Box::pin(async move {
            let request = self.client.post(self.url("/table/transact"));
            parse_json(&response_body(request.send_json(transaction)).await?)
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
            let request = self.client.put(self.url(&format!("/objects/{name}")));
            response_body(request.send_body(body)).await.map(|_| ())
        })
    }

    fn get<'a>(&'a self, name: &'a ObjectName) -> LocalBoxFuture<'a, PlatformResult<Bytes>> {
        Box::pin(async move {
            let request = self.client.get(self.url(&format!("/objects/{name}")));
            response_body(request.send()).await
        })
    }
}

impl FleetSource for PlatformClient {
    fn fetch(&self) -> LocalBoxFuture<'_, PlatformResult<FleetListing>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/fleet"));
            parse_json(&response_body(request.send()).await?)
        })
    }
}
