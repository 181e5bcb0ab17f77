//! Starts and stops the HTTP server of a stand-in on a loopback listener.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use actix_web::{
    App, HttpServer,
    dev::ServerHandle,
    web::{self, ServiceConfig},
};

use crate::disconnect;

/// The largest request body that a stand-in accepts. It is above the routers' own limit, so that tests exercise the
/// routers' limit.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A server that stops when it is dropped.
#[derive(Debug)]
pub(crate) struct LoopbackServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl LoopbackServer {
    /// Starts a server on `address`; port zero selects a free port.
    pub(crate) fn start<F>(address: SocketAddr, routes: F) -> io::Result<LoopbackServer>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let factory = move || {
            let limit = web::PayloadConfig::new(MAX_BODY_BYTES);
            App::new().app_data(limit).configure(routes.clone())
        };
        let server = HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .h1_allow_half_closed(false)
            .shutdown_timeout(0)
            .on_connect(disconnect::attach_socket_handle)
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(LoopbackServer { address, handle })
    }

    /// Returns the address on which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server, closes its connections and waits until its listener is closed.
    pub(crate) async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

impl Drop for LoopbackServer {
    fn drop(&mut self) {
        // The call itself sends the stop command; the returned future only waits for its completion.
        drop(self.handle.stop(false));
    }
}

/// Returns the loopback address with port zero, which selects a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
