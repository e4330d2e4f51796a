//! A proxy for TCP or UDP that injects network faults: delay, loss, stalled connections and partitions.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, oneshot};

const TCP_BUFFER_BYTES: usize = 64 * 1024;
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Network fault that a proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ProxyFault {
    /// Forwards everything.
    #[default]
    None,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Drops this fraction of the datagrams, from 0 to 1; TCP is not affected.
    Loss(f64),
    /// Keeps connections open but forwards nothing.
    Stall,
    /// Closes connections, refuses new ones and drops datagrams.
    Partition,
    /// Forwards requests, but closes the connection instead of forwarding the response. TCP only.
    LoseResponses,
}

#[derive(Default)]
struct ProxyState {
    fault: Mutex<ProxyFault>,
    blocked: Mutex<HashSet<SocketAddr>>,
    changed: Notify,
}

impl ProxyState {
    fn fault(&self) -> ProxyFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until data may be forwarded; fails if the connection has to be closed instead.
    async fn pass(&self, is_response: bool) -> io::Result<()> {
        loop {
            let changed = self.changed.notified();
            match self.fault() {
                ProxyFault::None | ProxyFault::Loss(_) => return Ok(()),
                ProxyFault::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    return Ok(());
                }
                ProxyFault::Stall => changed.await,
                ProxyFault::LoseResponses if !is_response => return Ok(()),
                ProxyFault::Partition | ProxyFault::LoseResponses => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
    }

    fn is_blocked(&self, sender: &SocketAddr) -> bool {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner).contains(sender)
    }

    async fn partitioned(&self) {
        loop {
            let changed = self.changed.notified();
            if self.fault() == ProxyFault::Partition {
                return;
            }
            changed.await;
        }
    }
}

/// A running proxy; it stops when dropped.
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Forwards TCP connections to `target`.
    pub fn tcp(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Self::spawn(address, move |state| async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                forward_tcp(listener, target, state).await;
            }
        })
    }

    /// Forwards datagrams to `target`, from a separate port for each sender.
    pub fn udp(target: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        Self::spawn(address, move |state| async move {
            if let Ok(socket) = UdpSocket::from_std(socket) {
                forward_udp(Arc::new(socket), target, state).await;
            }
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that the proxy injects.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.state.changed.notify_waiters();
    }

    /// Sets the senders whose datagrams are dropped in both directions.
    pub fn set_blocked(&self, senders: impl IntoIterator<Item = SocketAddr>) {
        let mut blocked = self.state.blocked.lock().unwrap_or_else(PoisonError::into_inner);
        *blocked = senders.into_iter().collect();
    }

    fn spawn<F>(
        address: SocketAddr,
        forward: impl FnOnce(Arc<ProxyState>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()>,
    {
        let state = Arc::new(ProxyState::default());
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::clone(&state);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    () = forward(shared) => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("proxy".to_owned()).spawn(run)?;
        Ok(Self { address, state, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn forward_tcp(listener: TcpListener, target: SocketAddr, state: Arc<ProxyState>) {
    while let Ok((client, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::task::spawn_local(async move {
            if state.fault() == ProxyFault::Partition {
                return;
            }
            let Ok(server) = TcpStream::connect(target).await else { return };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                _ = copy(client_read, server_write, &state, false) => {}
                _ = copy(server_read, client_write, &state, true) => {}
                () = state.partitioned() => {}
            }
        });
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: &ProxyState,
    is_response: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; TCP_BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        state.pass(is_response).await?;
        to.write_all(&buffer[..length]).await?;
    }
}

async fn forward_udp(socket: Arc<UdpSocket>, target: SocketAddr, state: Arc<ProxyState>) {
    let mut ports: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
        if let std::collections::hash_map::Entry::Vacant(e) = ports.entry(sender) {
            let Ok(port) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            if port.connect(target).await.is_err() {
                continue;
            }
            let port = Arc::new(port);
            let back = (Arc::clone(&port), Arc::clone(&socket), Arc::clone(&state));
            tokio::task::spawn_local(return_datagrams(back.0, back.1, sender, back.2));
            e.insert(port);
        }
        let datagram = buffer[..length].to_vec();
        let port = Arc::clone(&ports[&sender]);
        let state = Arc::clone(&state);
        tokio::task::spawn_local(async move {
            if !state.is_blocked(&sender) && passes(&state).await {
                let _ = port.send(&datagram).await;
            }
        });
    }
}

async fn return_datagrams(
    port: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    state: Arc<ProxyState>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An earlier datagram that the target's host refused is reported as a receive error; later
        // datagrams may still be accepted.
        let Ok(length) = port.recv(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        if !state.is_blocked(&sender) && passes(&state).await {
            let _ = socket.send_to(&buffer[..length], sender).await;
        }
    }
}

/// Waits for the injected delay and returns whether a datagram is forwarded.
async fn passes(state: &ProxyState) -> bool {
    match state.fault() {
        ProxyFault::None | ProxyFault::LoseResponses => true,
        ProxyFault::Delay(delay) => {
            tokio::time::sleep(delay).await;
            true
        }
        ProxyFault::Loss(fraction) => rand::random::<f64>() >= fraction,
        ProxyFault::Stall | ProxyFault::Partition => false,
    }
}
