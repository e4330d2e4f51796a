//! QUIC endpoint of a VM: sends requests and datagrams to other VMs and serves theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use quinn::{Connection, Endpoint};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::clock::monotonic;
use crate::ids::VmId;
use crate::peers::drop_log::DropLog;
use crate::peers::messages::{Envelope, PeerDatagram, PeerReply, PeerRequest};
use crate::peers::tls::PEER_SERVER_NAME;
use crate::peers::{PeerError, TlsIdentity};

const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const CLOSE_CODE: quinn::VarInt = quinn::VarInt::from_u32(1);

/// Handles messages from other VMs.
pub(crate) trait PeerEvents {
    /// Handles a request. The future is dropped if the sender cancels the request.
    fn handle_request(
        self: Rc<Self>,
        from: VmId,
        request: PeerRequest,
    ) -> LocalBoxFuture<'static, PeerReply>;
    /// Handles a datagram.
    fn handle_datagram(&self, from: VmId, datagram: PeerDatagram<'_>);
}

#[derive(Debug, Default)]
struct TrafficCounters {
    messages: AtomicU64,
    payload_bytes: AtomicU64,
}

struct PeerConnection {
    address: SocketAddr,
    connection: Connection,
}

/// Running QUIC endpoint of a VM. Clones share the same endpoint.
#[derive(Clone)]
pub(crate) struct PeerEndpoint {
    vm: VmId,
    endpoint: Endpoint,
    connections: Arc<Mutex<HashMap<VmId, PeerConnection>>>,
    connecting: Arc<tokio::sync::Mutex<()>>,
    client: Arc<Mutex<Option<quinn::ClientConfig>>>,
    counters: Arc<TrafficCounters>,
    drop_log: Arc<Mutex<DropLog>>,
    unsent_log: Arc<Mutex<DropLog>>,
    /// Connections opened by this endpoint. They are served as well, since the peer also sends on them.
    outgoing: mpsc::UnboundedSender<Connection>,
    outgoing_receiver: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<Connection>>>,
}

impl PeerEndpoint {
    /// Binds the endpoint. Must be called inside the async runtime that drives it.
    pub(crate) fn bind(
        vm: &VmId,
        address: SocketAddr,
        identity: &TlsIdentity,
    ) -> Result<Self, String> {
        let endpoint = Endpoint::server(identity.server_config()?, address)
            .map_err(|error| format!("cannot bind `{address}`: {error}"))?;
        let client = Arc::new(Mutex::new(Some(identity.client_config()?)));
        let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
        Ok(Self {
            vm: vm.clone(),
            endpoint,
            connections: Arc::default(),
            connecting: Arc::default(),
            client,
            counters: Arc::default(),
            drop_log: Arc::default(),
            unsent_log: Arc::default(),
            outgoing,
            outgoing_receiver: Arc::new(tokio::sync::Mutex::new(outgoing_receiver)),
        })
    }

    /// Returns the numbers of messages and payload bytes sent since start.
    pub(crate) fn traffic(&self) -> (u64, u64) {
        let messages = self.counters.messages.load(Ordering::Relaxed);
        let bytes = self.counters.payload_bytes.load(Ordering::Relaxed);
        (messages, bytes)
    }

    /// Returns the UDP bytes sent and received on the connections that are open now.
    pub(crate) fn wire_bytes(&self) -> (u64, u64) {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.values().map(|peer| peer.connection.stats()).fold((0, 0), |total, stats| {
            (total.0 + stats.udp_tx.bytes, total.1 + stats.udp_rx.bytes)
        })
    }

    /// Returns the address that the endpoint is bound to.
    pub(crate) fn local_address(&self) -> Result<SocketAddr, String> {
        self.endpoint.local_addr().map_err(|error| error.to_string())
    }

    /// Serves incoming and outgoing connections until the endpoint is closed.
    pub(crate) async fn serve(self, events: Rc<dyn PeerEvents>) {
        let mut outgoing = self.outgoing_receiver.lock().await;
        loop {
            let endpoint = self.clone();
            let events = Rc::clone(&events);
            tokio::select! {
                incoming = self.endpoint.accept() => {
                    let Some(incoming) = incoming else { return };
                    ntex::rt::spawn(async move {
                        if let Ok(connection) = incoming.await {
                            endpoint.serve_connection(connection, events).await;
                        }
                    });
                }
                Some(connection) = outgoing.recv() => {
                    ntex::rt::spawn(endpoint.serve_connection(connection, events));
                }
            }
        }
    }

    /// Sends a request and waits for the reply.
    pub(crate) async fn request(
        &self,
        vm: &VmId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let connection = self.connection(vm, address).await?;
        let frame = self.encode(request);
        match tokio::time::timeout(timeout, send_request(&connection, &frame)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(reason)) => Err(PeerError::NoReply(reason)),
            Err(_) => Err(PeerError::NoReply(format!("timed out after {timeout:?}"))),
        }
    }

    /// Counts a message that was dropped because it could not be decoded, and logs it once in a while.
    pub(crate) fn record_dropped(&self, now: Duration, from: &str, reason: &str) {
        let mut drops = self.drop_log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = drops.record(now) {
            log::warn!(from = from, reason = reason, count = count; "messages of other VMs dropped");
        }
    }

    /// Returns the number of messages dropped since start.
    pub(crate) fn dropped_messages(&self) -> u64 {
        self.drop_log.lock().unwrap_or_else(PoisonError::into_inner).total()
    }

    /// Sends a datagram without waiting. Without an open connection, connects in the background first.
    pub(crate) fn send_datagram(
        &self,
        vm: &VmId,
        address: SocketAddr,
        datagram: &PeerDatagram<'_>,
    ) {
        self.send_frame(vm, address, self.encode(datagram).into());
    }

    /// Encodes a datagram once so that it can be sent to several VMs.
    pub(crate) fn encode_datagram(&self, datagram: &PeerDatagram<'_>) -> bytes::Bytes {
        self.encode(datagram).into()
    }

    /// Sends a datagram encoded by [`Self::encode_datagram`], in the manner of [`Self::send_datagram`].
    pub(crate) fn send_frame(&self, vm: &VmId, address: SocketAddr, frame: bytes::Bytes) {
        if let Some(connection) = self.open_connection(vm, address) {
            self.send_over(&connection, vm, frame);
            return;
        }
        let endpoint = self.clone();
        let vm = vm.clone();
        ntex::rt::spawn(async move {
            if let Ok(connection) = endpoint.connection(&vm, address).await {
                endpoint.send_over(&connection, &vm, frame);
            }
        });
    }

    fn send_over(&self, connection: &Connection, vm: &VmId, frame: bytes::Bytes) {
        let bytes = frame.len() as u64;
        let Err(error) = connection.send_datagram(frame) else { return };
        let mut unsent = self.unsent_log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = unsent.record(monotonic()) {
            log::warn!(
                vm = vm.as_str(), bytes = bytes, error = error.to_string(), count = count;
                "reports not sent; other VMs may take this one for lost"
            );
        }
    }

    /// Replaces the certificates used for new connections in both directions.
    pub(crate) fn set_identity(&self, identity: &TlsIdentity) -> Result<(), String> {
        self.endpoint.set_server_config(Some(identity.server_config()?));
        let client = identity.client_config()?;
        self.client.lock().unwrap_or_else(PoisonError::into_inner).replace(client);
        Ok(())
    }

    /// Returns whether a connection to a VM is open.
    pub(crate) fn is_connected(&self, vm: &VmId, address: SocketAddr) -> bool {
        self.open_connection(vm, address).is_some()
    }

    /// Closes the connection to a VM. Requests that wait for a reply on it fail.
    pub(crate) fn disconnect(&self, vm: &VmId) {
        let peer = self.connections.lock().unwrap_or_else(PoisonError::into_inner).remove(vm);
        if let Some(peer) = peer {
            peer.connection.close(CLOSE_CODE, b"peer lost");
        }
    }

    /// Closes all connections and stops accepting new ones.
    pub(crate) fn close(&self) {
        self.endpoint.close(CLOSE_CODE, b"stopped");
    }

    fn encode(&self, body: impl Serialize) -> Vec<u8> {
        let frame = postcard::to_stdvec(&Envelope { from: self.vm.clone(), body });
        let frame = frame.unwrap_or_else(|error| unreachable!("messages always encode: {error}"));
        self.counters.messages.fetch_add(1, Ordering::Relaxed);
        self.counters.payload_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        frame
    }

    fn open_connection(&self, vm: &VmId, address: SocketAddr) -> Option<Connection> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = connections.get(vm)?;
        let usable = peer.address == address && peer.connection.close_reason().is_none();
        usable.then(|| peer.connection.clone())
    }

    async fn connection(&self, vm: &VmId, address: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.open_connection(vm, address) {
            return Ok(connection);
        }
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let client = client.ok_or_else(|| {
            PeerError::NotConnected("the VM has no client certificate".to_owned())
        })?;
        let connecting = self
            .endpoint
            .connect_with(client, address, PEER_SERVER_NAME)
            .map_err(|error| PeerError::NotConnected(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| PeerError::NotConnected("connecting timed out".to_owned()))?
            .map_err(|error| PeerError::NotConnected(error.to_string()))?;
        // If two tasks connected at the same time, keep the first connection: requests may be using it.
        let _guard = self.connecting.lock().await;
        if let Some(earlier) = self.open_connection(vm, address) {
            connection.close(CLOSE_CODE, b"duplicate");
            return Ok(earlier);
        }
        let peer = PeerConnection { address, connection: connection.clone() };
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).insert(vm.clone(), peer);
        // The receiver is gone if the endpoint does not serve; it then accepts no messages from peers.
        let _ = self.outgoing.send(connection.clone());
        Ok(connection)
    }

    /// Reuses a connection opened by another VM for messages to that VM, if none is open yet.
    fn adopt_connection(&self, vm: &VmId, connection: &Connection) {
        let address = connection.remote_address();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = connections.get(vm).is_some_and(|peer| {
            peer.address == address && peer.connection.close_reason().is_none()
        });
        if !usable {
            connections
                .insert(vm.clone(), PeerConnection { address, connection: connection.clone() });
        }
    }

    async fn serve_connection(self, connection: Connection, events: Rc<dyn PeerEvents>) {
        loop {
            tokio::select! {
                stream = connection.accept_bi() => {
                    let Ok((send, receive)) = stream else { return };
                    ntex::rt::spawn(serve_request(send, receive, Rc::clone(&events)));
                }
                datagram = connection.read_datagram() => {
                    let Ok(datagram) = datagram else { return };
                    let reason = match decode::<Envelope<PeerDatagram<'_>>>(&datagram) {
                        Ok(Envelope { body: PeerDatagram::EarlierLoad, .. }) => {
                            "load report of an earlier format".to_owned()
                        }
                        Ok(envelope) => {
                            self.adopt_connection(&envelope.from, &connection);
                            events.handle_datagram(envelope.from, envelope.body);
                            continue;
                        }
                        Err(error) => error,
                    };
                    let from = connection.remote_address().to_string();
                    self.record_dropped(monotonic(), &from, &reason);
                }
            }
        }
    }
}

async fn send_request(connection: &Connection, frame: &[u8]) -> Result<PeerReply, String> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(|error| error.to_string())?;
    send.write_all(frame).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    let reply = receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| error.to_string())?;
    decode(&reply)
}

fn decode<'a, T: Deserialize<'a>>(frame: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(frame).map_err(|error| format!("cannot decode message: {error}"))
}

async fn serve_request(
    mut send: quinn::SendStream,
    mut receive: quinn::RecvStream,
    events: Rc<dyn PeerEvents>,
) {
    let Ok(frame) = receive.read_to_end(MAX_MESSAGE_BYTES).await else { return };
    let envelope = match decode::<Envelope<PeerRequest>>(&frame) {
        Ok(envelope) => envelope,
        Err(error) => {
            log::warn!("peers: Dropped a request from another VM: {error}.");
            return;
        }
    };
    let handler = events.handle_request(envelope.from, envelope.body);
    let reply = tokio::select! {
        reply = handler => reply,
        // The sender cancelled the request or is gone. Dropping the handler cancels the work.
        _ = send.stopped() => return,
    };
    if let Ok(frame) = postcard::to_stdvec(&reply)
        && send.write_all(&frame).await.is_ok()
    {
        let _ = send.finish();
    }
}
