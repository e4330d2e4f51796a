//! HTTP/1.1 connections to targets and to the platform, kept and bounded.
//!
//! A connection carries one request at a time and goes back to the pool only after a whole answer. A
//! request or answer that is dropped takes its connection with it, which cancels the work at the target.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ntex::util::Bytes;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Opening a connection within a data centre takes milliseconds; longer means that the target is away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Unacknowledged bytes mean that the path is cut; connections may go silent without a reset.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Probes of a connection on which an answer is awaited.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_COUNT: u32 = 2;
/// Idle connections are closed after this time unless the target says that it closes them sooner.
const IDLE_LIMIT: Duration = Duration::from_secs(12);
/// A connection is not used in the last part of the time for which the target keeps it open, because
/// its close may already be on the way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one address.
const IDLE_PER_ADDRESS: usize = 24;
const BUFFER_BYTES: usize = 64 * 1024;

type Sender = SendRequest<Full<bytes::Bytes>>;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It was written at least in part; it may have been handled.
    #[error("lost: {0}")]
    Lost(String),
}

/// The task that drives a connection; dropping it closes the connection.
struct DriverTask(tokio::task::JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct OpenConnection {
    sender: Sender,
    _driver: DriverTask,
}

struct IdleConnection {
    connection: OpenConnection,
    usable_until: Instant,
}

type IdleTable = RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>;

/// Connections by address. Clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<IdleTable>,
    opened: Rc<std::cell::Cell<u64>>,
}

/// An answer whose body is still to be read.
pub struct PooledResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: PooledBody,
}

/// The body of an answer. Dropping it before its end closes the connection.
pub struct PooledBody {
    incoming: Incoming,
    connection: Option<OpenConnection>,
    address: SocketAddr,
    keep_for: Duration,
    idle: Rc<IdleTable>,
}

impl ConnectionPool {
    /// The connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request over a kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// Whether the request may have reached the address.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: http::Request<Full<bytes::Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => request = unsent,
                Err((reason, None)) => return Err(SendError::Lost(reason)),
            }
        }
        let connection = self.open(address).await.map_err(SendError::NotSent)?;
        self.exchange(address, connection, request).await.map_err(|(reason, unsent)| {
            if unsent.is_some() { SendError::NotSent(reason) } else { SendError::Lost(reason) }
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(entry) = kept.pop() {
            if now < entry.usable_until && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
        }
        idle.remove(&address);
        None
    }

    async fn open(&self, address: SocketAddr) -> Result<OpenConnection, String> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| "connecting took too long".to_owned())?;
        let stream = stream.map_err(|error| error.to_string())?;
        self.opened.set(self.opened.get() + 1);
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBE_COUNT);
        // Without these options a cut path shows later, by the caller's own time limit.
        if let Err(error) = socket.set_tcp_keepalive(&probes) {
            log::debug!("connections: No keep-alive probes: {error}.");
        }
        if let Err(error) = socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT)) {
            log::debug!("connections: No time-out for unacknowledged bytes: {error}.");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let driver = tokio::task::spawn_local(async move {
            // Its error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(OpenConnection { sender, _driver: DriverTask(driver) })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: OpenConnection,
        request: http::Request<Full<bytes::Bytes>>,
    ) -> Result<PooledResponse, (String, Option<http::Request<Full<bytes::Bytes>>>)> {
        if let Err(error) = connection.sender.ready().await {
            return Err((error.to_string(), Some(request)));
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, incoming) = response.into_parts();
                let keep_for = keep_time(&head.headers);
                let idle = Rc::clone(&self.idle);
                let connection = Some(connection);
                let body = PooledBody { incoming, connection, address, keep_for, idle };
                Ok(PooledResponse { head, body })
            }
            Err(mut error) => {
                let unsent = error.take_message();
                Err((describe(&error.into_error()), unsent))
            }
        }
    }
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// How long the other side keeps the connection open when it is idle.
fn keep_time(headers: &http::HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    let stated = seconds.map_or(IDLE_LIMIT, Duration::from_secs).min(IDLE_LIMIT);
    stated.saturating_sub(IDLE_MARGIN)
}

impl PooledBody {
    /// The next bytes; `None` after a whole body.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(Bytes::copy_from_slice(&data)));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Some(Err(SendError::Lost(describe(&error))));
                }
                None => {
                    self.keep();
                    return None;
                }
            }
        }
    }

    /// Reads the whole body if it has at most `limit` bytes.
    pub async fn read_all(mut self, limit: usize) -> Result<Bytes, SendError> {
        let mut whole = ntex::util::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await {
            whole.extend_from_slice(&chunk?);
            if whole.len() > limit {
                return Err(SendError::Lost(format!("the answer is larger than {limit} bytes")));
            }
        }
        Ok(whole.freeze())
    }

    fn keep(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if connection.sender.is_closed() || self.keep_for.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(self.address).or_default();
        if kept.len() < IDLE_PER_ADDRESS {
            let usable_until = Instant::now() + self.keep_for;
            kept.push(IdleConnection { connection, usable_until });
        }
    }
}
