//! Starts and stops a VM.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, mpsc as blocking};
use std::thread::JoinHandle;
use std::time::Duration;

use ntex::web::{App, HttpServer};
use tokio::sync::mpsc;

use crate::jobs::JobLeaders;
use crate::peers::{PeerEndpoint, TlsIdentity};
use crate::settings::VmSettings;
use crate::vm::handler::PeerHandler;
use crate::vm::tasks::{on_view_change, send_heartbeats, spawn_all};
use crate::vm::{VmContext, VmShared};
use crate::{entry, operators};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_HEADERS: usize = 64;
/// A stopping VM keeps serving for this long, so that the load balancer and the other VMs see it
/// leave.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(1500);

/// The addresses at which a running VM listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other VMs.
    pub peers: SocketAddr,
}

enum VmCommand {
    Drain,
    Halt,
}

/// A running VM, which has a thread of its own. Dropping the handle halts the VM.
pub struct VmHandle {
    addresses: VmAddresses,
    commands: mpsc::UnboundedSender<VmCommand>,
    thread: Option<JoinHandle<()>>,
}

impl VmHandle {
    /// Starts a VM and returns once it listens on all its addresses.
    ///
    /// # Errors
    ///
    /// Returns a message that says what could not be opened.
    pub fn spawn(settings: VmSettings) -> Result<Self, String> {
        let identity = TlsIdentity {
            authority: read_file(&settings.tls.authority)?,
            certificate: read_file(&settings.tls.certificate)?,
            private_key: read_file(&settings.tls.private_key)?,
        };
        let (commands, receiver) = mpsc::unbounded_channel();
        // Not a tokio channel: `spawn` may run within an async runtime, where a blocking receive
        // from one panics.
        let (startup, startup_result) = blocking::sync_channel(1);
        let name = settings.vm.to_string();
        let run = move || {
            let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
            system.block_on(run_vm(settings, identity, receiver, startup));
        };
        let thread = std::thread::Builder::new().name("vm".to_owned()).spawn(run);
        let thread = thread.map_err(|error| error.to_string())?;
        let addresses = startup_result.recv().map_err(|error| error.to_string())??;
        Ok(Self { addresses, commands, thread: Some(thread) })
    }

    /// Returns the addresses at which the VM listens.
    pub fn addresses(&self) -> VmAddresses {
        self.addresses
    }

    /// Stops the VM gracefully and returns once it has stopped.
    ///
    /// The VM reports that it is not ready, hands over what it owns and finishes the running
    /// requests.
    pub fn stop(mut self) {
        self.shut_down(VmCommand::Drain);
    }

    /// Stops the VM at once, without a handover, as if it were lost.
    pub fn halt(mut self) {
        self.shut_down(VmCommand::Halt);
    }

    fn shut_down(&mut self, command: VmCommand) {
        let _ = self.commands.send(command);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("vm: The VM thread panicked.");
        }
    }
}

impl Drop for VmHandle {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.shut_down(VmCommand::Halt);
        }
    }
}

fn read_file(path: &std::path::Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read `{}`: {error}", path.display()))
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind(address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    listener.map_err(|error| format!("cannot bind `{address}`: {error}"))
}

type StartupSender = blocking::SyncSender<Result<VmAddresses, String>>;

async fn run_vm(
    settings: VmSettings,
    identity: TlsIdentity,
    mut commands: mpsc::UnboundedReceiver<VmCommand>,
    startup: StartupSender,
) {
    let opened = open_vm(settings, &identity);
    let (shared, callers, operators, addresses) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            let _ = startup.send(Err(error));
            return;
        }
    };
    let servers = serve_callers(&shared, callers)
        .and_then(|callers| Ok((callers, serve_operators(&shared, operators)?)));
    let (caller_server, operator_server) = match servers {
        Ok(servers) => servers,
        Err(error) => {
            let _ = startup.send(Err(error.to_string()));
            return;
        }
    };
    let context = VmContext::open(Arc::clone(&shared));
    let leaders = Rc::new(JobLeaders::default());
    let handler = Rc::new(PeerHandler::open(&context));
    ntex::rt::spawn(shared.peers.clone().serve(handler));
    spawn_all(&context, &leaders);
    log::info!("vm: `{}` serves callers at {}.", shared.settings.vm, addresses.callers);
    let _ = startup.send(Ok(addresses));
    if let Some(VmCommand::Drain) = commands.recv().await {
        drain(&context, &mut commands).await;
    }
    shared.peers.close();
    caller_server.stop(false).await;
    operator_server.stop(false).await;
    log::info!("vm: `{}` has stopped.", shared.settings.vm);
}

type OpenedVm = (Arc<VmShared>, TcpListener, TcpListener, VmAddresses);

fn open_vm(settings: VmSettings, identity: &TlsIdentity) -> Result<OpenedVm, String> {
    let (callers, callers_address) = listen(settings.callers)?;
    let (operators, operators_address) = listen(settings.operators)?;
    let peers = PeerEndpoint::bind(&settings.vm, settings.peers, identity)?;
    let peers_address = peers.local_address()?;
    let advertised = settings.advertise.unwrap_or(peers_address);
    let shared = Arc::new(VmShared::open(settings, peers, advertised));
    let addresses = VmAddresses {
        callers: callers_address,
        operators: operators_address,
        peers: peers_address,
    };
    Ok((shared, callers, operators, addresses))
}

type RunningServer = ntex::server::Server;

fn service_config(name: &'static str) -> ntex::SharedCfg {
    let service = ntex::http::HttpServiceConfig::new().set_max_headers(MAX_HEADERS);
    ntex::SharedCfg::new(name).add(service).into()
}

fn serve_callers(shared: &Arc<VmShared>, listener: TcpListener) -> std::io::Result<RunningServer> {
    let shared = Arc::clone(shared);
    let server = HttpServer::new(async move || {
        let context = VmContext::open(Arc::clone(&shared));
        App::new()
            .state(context)
            .configure(entry::configure)
            .default_service(ntex::web::route().to(entry::unknown_route))
    });
    let server = server.workers(1).disable_signals().config(service_config("callers"));
    Ok(server.listen(listener)?.run())
}

fn serve_operators(
    shared: &Arc<VmShared>,
    listener: TcpListener,
) -> std::io::Result<RunningServer> {
    let shared = Arc::clone(shared);
    let server = HttpServer::new(async move || {
        let context = VmContext::open(Arc::clone(&shared));
        App::new()
            .state(context)
            .configure(operators::configure)
            .default_service(ntex::web::route().to(entry::unknown_route))
    });
    let server = server.workers(1).disable_signals().config(service_config("operators"));
    Ok(server.listen(listener)?.run())
}

/// Reports not ready, hands over what the VM owns, and waits until no request runs, the drain
/// timeout has passed or a further command arrives.
async fn drain(context: &Rc<VmContext>, commands: &mut mpsc::UnboundedReceiver<VmCommand>) {
    let shared = &context.shared;
    log::info!(
        "vm: `{}` is stopping; {} requests are still running.",
        shared.settings.vm,
        shared.running()
    );
    shared.set_stopping();
    send_heartbeats(context);
    on_view_change(context);
    let drained = async {
        tokio::time::sleep(DEREGISTRATION_DELAY).await;
        while shared.running() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = drained => {}
        () = tokio::time::sleep(shared.settings.online.drain) => {
            log::warn!("vm: Drain timeout expired; stopping with {} requests running.", shared.running());
        }
        _ = commands.recv() => {}
    }
}
