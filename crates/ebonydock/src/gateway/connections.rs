//! A bounded pool of HTTP/1.1 connections to targets and to the platform.
//!
//! A connection carries one request at a time and returns to the pool only after a complete response.
//! Dropping a request or a response closes its connection, which cancels the work at the target.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ntex::util::Bytes;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::memory::MemorySettings;
use crate::placement::IdleConnections;

/// Opening a connection within a data centre takes milliseconds; a slower target is
/// unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes that stay unacknowledged for this long mean that the network path is broken. Connections may
/// stall without a reset.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of keep-alive probes, which detect a broken path while a response is awaited.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_RETRIES: u32 = 2;
/// Idle connections are closed after this time, or earlier if the target announces a shorter timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(12);
/// A connection is not used during this last part of the target's idle timeout, because the target may
/// already be closing it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Limit for idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 24;
/// Limit for the head of a response and for bytes that were received and not read yet.
const BUFFER_BYTES: usize = 64 * 1024;
/// Limit for bytes that are received without a response head or a part of a body: interim responses, the
/// framing of chunks, trailers. The library bounds what it stores of them, but not how long it reads.
const MAX_OVERHEAD_BYTES: usize = 4 * BUFFER_BYTES;

/// The library reads numbers from 100 to 999 as statuses. Interim ones do not reach its callers, except that for a
/// change of protocols, which the pool never asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

type Sender = SendRequest<Full<bytes::Bytes>>;

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// At least a part of the request was written, so it may have been handled.
    #[error("lost: {0}")]
    Lost(String),
}

/// Returns the first address of `HOST:PORT`.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if the host is not known.
pub(crate) async fn resolve(address: &str) -> Result<SocketAddr, SendError> {
    let unknown = |reason| SendError::NotSent(format!("`{address}`: {reason}"));
    let sockets = tokio::net::lookup_host(address).await;
    let mut sockets = sockets.map_err(|error| unknown(error.to_string()))?;
    sockets.next().ok_or_else(|| unknown("no address".to_owned()))
}

/// The task that drives a connection. Dropping it closes the connection.
struct DriverTask(tokio::task::JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct OpenConnection {
    sender: Sender,
    /// Whether it has carried a request before.
    is_reused: bool,
    overhead: OverheadCounter,
    _driver: DriverTask,
}

struct IdleConnection {
    connection: OpenConnection,
    usable_until: Instant,
}

type IdleTable = RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>;

/// Bytes received since the last response head or part of a body.
type OverheadCounter = Rc<Cell<usize>>;

/// A stream that fails once too many bytes brought neither a response head nor a part of a body.
struct GuardedStream {
    stream: TcpStream,
    overhead: OverheadCounter,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.overhead.get() > MAX_OVERHEAD_BYTES {
            let reason = format!("{MAX_OVERHEAD_BYTES} bytes without a response or its body");
            return Poll::Ready(Err(std::io::Error::other(reason)));
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.overhead.set(self.overhead.get() + buffer.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A pool of connections by address. Clones share the connections.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<IdleTable>,
    opened: Rc<Cell<u64>>,
    /// Limit for idle connections to all addresses.
    max_idle: usize,
    receive_buffer_bytes: Option<usize>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::open(&MemorySettings::default())
    }
}

/// Limit for the bodies that several calls read at the same time.
#[derive(Clone)]
pub struct BodyBudget {
    used: Rc<Cell<usize>>,
    /// In bytes, for all calls together.
    limit: usize,
}

impl BodyBudget {
    /// Opens a budget of `limit` bytes.
    pub fn open(limit: usize) -> Self {
        Self { used: Rc::default(), limit }
    }

    /// Opens the share of one body. Dropping it frees its bytes.
    pub fn share(&self) -> BudgetShare<'_> {
        BudgetShare { budget: self, bytes: 0 }
    }
}

/// The part of a budget that one body uses.
pub struct BudgetShare<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BudgetShare<'_> {
    /// Adds bytes and returns whether the budget suffices.
    #[must_use]
    pub fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let used = self.budget.used.get() + bytes;
        self.budget.used.set(used);
        used <= self.budget.limit
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

/// A response whose body is still to be read.
pub struct PooledResponse {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: PooledBody,
    /// Whether the connection has brought another response before, of which this may be a late copy.
    pub over_reused_connection: bool,
}

/// The body of a response. Dropping it before its end closes the connection.
pub struct PooledBody {
    incoming: Incoming,
    connection: Option<OpenConnection>,
    address: SocketAddr,
    idle_lifetime: Duration,
    max_idle: usize,
    idle: Rc<IdleTable>,
}

impl IdleConnections for ConnectionPool {
    fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let now = Instant::now();
        let is_usable = |entry: &IdleConnection| {
            now < entry.usable_until && !entry.connection.sender.is_closed()
        };
        idle.get(&address).is_some_and(|connections| connections.iter().any(is_usable))
    }
}

impl ConnectionPool {
    /// Opens an empty pool.
    pub fn open(settings: &MemorySettings) -> Self {
        Self {
            idle: Rc::default(),
            opened: Rc::default(),
            max_idle: settings.max_idle_connections,
            receive_buffer_bytes: settings.receive_buffer_bytes,
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request over an idle connection, or over a new one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the request certainly did not reach the address, otherwise
    /// [`SendError::Lost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: http::Request<Full<bytes::Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, request).await {
                Ok(response) => return Ok(response),
                Err((_, Some(unsent))) => request = unsent,
                Err((reason, None)) => return Err(SendError::Lost(reason)),
            }
        }
        self.send_over_new(address, request).await
    }

    /// Sends a request over a new connection.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_over_new(
        &self,
        address: SocketAddr,
        request: http::Request<Full<bytes::Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        let connection = self.connect(address).await.map_err(SendError::NotSent)?;
        self.exchange(address, connection, request).await.map_err(|(reason, unsent)| {
            if unsent.is_some() { SendError::NotSent(reason) } else { SendError::Lost(reason) }
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(entry) = idle_connections.pop() {
            if now < entry.usable_until && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
        }
        idle.remove(&address);
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, String> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let socket = socket.map_err(|error| error.to_string())?;
        // Set before connecting, because it limits the window that is announced then.
        if let Some(bytes) = self.receive_buffer_bytes
            && let Err(error) = socket.set_recv_buffer_size(bytes as u32)
        {
            log::debug!("connections: Size of the receive buffer could not be set: {error}.");
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        let stream = stream.map_err(|_| "connection attempt timed out".to_owned())?;
        let stream = stream.map_err(|error| error.to_string())?;
        self.opened.set(self.opened.get() + 1);
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new()
            .with_time(KEEP_ALIVE_INTERVAL)
            .with_interval(KEEP_ALIVE_INTERVAL)
            .with_retries(KEEP_ALIVE_RETRIES);
        // Without these options a broken path is only detected by the caller's own timeout.
        if let Err(error) = socket.set_tcp_keepalive(&probes) {
            log::debug!("connections: Keep-alive probes could not be enabled: {error}.");
        }
        if let Err(error) = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
            log::debug!("connections: Timeout for unacknowledged bytes could not be set: {error}.");
        }
        let overhead = OverheadCounter::default();
        let stream = GuardedStream { stream, overhead: Rc::clone(&overhead) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let driver = tokio::task::spawn_local(async move {
            // An error also reaches the task that waits for the response.
            let _ = connection.await;
        });
        Ok(OpenConnection { sender, is_reused: false, overhead, _driver: DriverTask(driver) })
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
            // Nothing that the connection brings can be trusted.
            Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
                let status = response.status().as_u16();
                Err((format!("status {status} is no status of a response"), None))
            }
            Ok(response) => {
                connection.overhead.set(0);
                let over_reused_connection = std::mem::replace(&mut connection.is_reused, true);
                let (head, incoming) = response.into_parts();
                let idle_lifetime = idle_lifetime(&head.headers);
                let idle = Rc::clone(&self.idle);
                let connection = Some(connection);
                let max_idle = self.max_idle;
                let body =
                    PooledBody { incoming, connection, address, idle_lifetime, max_idle, idle };
                Ok(PooledResponse { head, body, over_reused_connection })
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

/// Returns how long an idle connection may be reused, from the `keep-alive` header of a response.
fn idle_lifetime(headers: &http::HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    let timeout = seconds.map_or(MAX_IDLE_TIME, Duration::from_secs).min(MAX_IDLE_TIME);
    timeout.saturating_sub(IDLE_MARGIN)
}

impl PooledBody {
    /// Returns the next bytes, or `None` after the complete body.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        if let Some(connection) = &self.connection {
                            connection.overhead.set(0);
                        }
                        return Some(Ok(Bytes::copy_from_slice(&data)));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Some(Err(SendError::Lost(describe(&error))));
                }
                None => {
                    self.return_to_pool();
                    return None;
                }
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, is larger than `limit` bytes or exceeds what is left of the budget.
    pub async fn read_all(mut self, limit: usize, budget: &BodyBudget) -> Result<Bytes, SendError> {
        let mut share = budget.share();
        let mut chunks = Vec::new();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            let fits_budget = share.add(chunk.len());
            if share.bytes > limit {
                let reason = format!("the response body is larger than {limit} bytes");
                return Err(SendError::Lost(reason));
            }
            if !fits_budget {
                let reason = format!("the responses to all calls have over {} bytes", budget.limit);
                return Err(SendError::Lost(reason));
            }
            chunks.push(chunk);
        }
        Ok(Bytes::from(chunks.concat()))
    }

    fn return_to_pool(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if connection.sender.is_closed() || self.idle_lifetime.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let count = |idle: &HashMap<_, Vec<_>>| idle.values().map(Vec::len).sum::<usize>();
        if count(&idle) >= self.max_idle {
            let now = Instant::now();
            for connections in idle.values_mut() {
                connections.retain(|entry: &IdleConnection| now < entry.usable_until);
            }
            if count(&idle) >= self.max_idle {
                return;
            }
        }
        let idle_connections = idle.entry(self.address).or_default();
        if idle_connections.len() < MAX_IDLE_PER_ADDRESS {
            let usable_until = Instant::now() + self.idle_lifetime;
            idle_connections.push(IdleConnection { connection, usable_until });
        }
    }
}
