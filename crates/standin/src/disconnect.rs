//! Closes a connection without a response.
//!
//! To the caller, a crashed process or a lost answer is a connection that closes without an HTTP response. The web
//! framework always writes a response, so each connection stores a duplicate handle of its socket, with which a request
//! handler can shut the socket down.

use std::{
    any::Any,
    net::{Shutdown, TcpStream},
    os::fd::AsFd,
};

use actix_web::{HttpRequest, HttpResponse, dev::Extensions};

struct SocketHandle(TcpStream);

/// Stores a duplicate handle of a new connection's socket in the connection's data; a hook for `HttpServer::on_connect`.
pub(crate) fn attach_socket_handle(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else { return };
    // Each token is a small write. With Nagle's algorithm it would wait until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    if let Ok(descriptor) = stream.as_fd().try_clone_to_owned() {
        data.insert(SocketHandle(TcpStream::from(descriptor)));
    }
}

/// Closes the connection of `request` and returns a response, which the framework can no longer send.
pub(crate) fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(socket) = request.conn_data::<SocketHandle>() {
        // An error means that the peer has already closed the connection.
        let _ = socket.0.shutdown(Shutdown::Both);
    }
    HttpResponse::InternalServerError().finish()
}
