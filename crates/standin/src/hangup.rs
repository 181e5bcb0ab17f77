//! Closing a connection without a response.
//!
//! A crashed process or a lost answer shows up at the caller as a connection that ends without an HTTP response.
//! The web framework always writes one, so each connection keeps a second handle of its socket, through which a
//! handler can shut the socket down.

use std::{
    any::Any,
    net::{Shutdown, TcpStream},
    os::fd::AsFd,
};

use actix_web::{HttpRequest, HttpResponse, dev::Extensions};

struct SocketHandle(TcpStream);

/// Keeps a second handle of a new connection's socket; a hook for `HttpServer::on_connect`.
pub(crate) fn keep_socket(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else { return };
    // Tokens are small writes; without this each one waits for the acknowledgement of the last.
    let _ = stream.set_nodelay(true);
    if let Ok(descriptor) = stream.as_fd().try_clone_to_owned() {
        data.insert(SocketHandle(TcpStream::from(descriptor)));
    }
}

/// Closes the connection of `request` and returns a response that never reaches the caller.
pub(crate) fn hang_up(request: &HttpRequest) -> HttpResponse {
    if let Some(socket) = request.conn_data::<SocketHandle>() {
        // An error means that the peer has closed the connection already, which serves as well.
        let _ = socket.0.shutdown(Shutdown::Both);
    }
    HttpResponse::InternalServerError().finish()
}
