//! Starting and stopping a stand-in on a loopback listener.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use actix_web::{
    App, HttpServer,
    dev::ServerHandle,
    web::{self, ServiceConfig},
};

use crate::hangup;

/// The largest request body that a stand-in reads: above the product's own limit, so that the product's limit is
/// the one that tests meet.
const BODY_LIMIT_BYTES: usize = 16 << 20;

/// A server that stops when it is dropped.
#[derive(Debug)]
pub(crate) struct LoopbackServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl LoopbackServer {
    /// Starts a server on `address`, which may have port zero for a free one.
    pub(crate) fn start<F>(address: SocketAddr, routes: F) -> io::Result<LoopbackServer>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let factory = move || {
            let limit = web::PayloadConfig::new(BODY_LIMIT_BYTES);
            App::new().app_data(limit).configure(routes.clone())
        };
        let server = HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .h1_allow_half_closed(false)
            .shutdown_timeout(0)
            .on_connect(hangup::keep_socket)
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

    /// Stops the server, cutting its connections, and returns when its listener is closed.
    pub(crate) async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

impl Drop for LoopbackServer {
    fn drop(&mut self) {
        // The command is sent by the call itself; the returned future only waits for it.
        drop(self.handle.stop(false));
    }
}

/// Returns the loopback address with a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
