//! Runs an HTTP server on its own thread.

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use ntex::web::{App, HttpServer, ServiceConfig};
use tokio::sync::oneshot;

/// A running HTTP server; it stops when dropped.
pub struct ServerThread {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a server. `background` runs concurrently on the server's main thread.
    pub fn spawn<S>(
        address: SocketAddr,
        state: S,
        configure: fn(&mut ServiceConfig),
        background: impl Future<Output = ()> + Send + 'static,
    ) -> std::io::Result<Self>
    where
        S: Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let run = move || {
            let system = ntex::rt::System::new("stand-in", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let server = HttpServer::new(async move || {
                    App::new().state(state.clone()).configure(configure)
                });
                let server = server.workers(1).disable_signals().listen(listener);
                let Ok(server) = server else { return };
                let server = server.run();
                ntex::rt::spawn(background);
                let _ = stopped.await;
                server.stop(false).await;
            });
        };
        let thread = std::thread::Builder::new().name("stand-in".to_owned()).spawn(run)?;
        Ok(Self { address, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
