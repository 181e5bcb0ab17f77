//! A TCP connection that ends when the other machine can no longer be reached, and not because the other process reads late.

use std::{
    cell::{Cell, RefCell},
    io::{ErrorKind, IoSlice, Result},
    net::Shutdown,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::spawn;
use godwitroad_base::{ClockSpan, ClockTime};
use nix::{
    getsockopt_impl, libc,
    sys::socket::{getsockopt, sockopt::GetStruct},
};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, sleep},
};

use super::queue_watch::{QueueState, QueueWatch};

/// The time for which written bytes may stay unacknowledged before the connection counts as dead.
///
/// Linux also applies it to keepalive probes, in place of their count: each time a probe is due, a connection with an
/// unanswered one is dead if nothing has arrived for this long. It is therefore longer than the time until the last probe
/// of [`KEEPALIVE_RETRIES`], and a sound target's machine may be unreachable for more than a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The idle time before the first keepalive probe, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 3;

/// The interval at which the send queue is looked at. It is shorter than any time limit by far.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The interval on a connection whose window was full before. It is shorter than the time until Linux probes the window.
const PROBED_LOOK_INTERVAL: Duration = Duration::from_millis(100);

// The socket option that returns the state of the send queue.
#[derive(Clone, Copy, Debug)]
struct TcpInfo;

getsockopt_impl!(
    TcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info,
    GetStruct<libc::tcp_info>
);

/// A TCP connection; its clones share it. Dropping the last one closes it.
#[derive(Clone, Debug)]
pub(crate) struct WatchedStream {
    connection: Rc<SharedConnection>,
}

#[derive(Debug)]
struct SharedConnection {
    stream: RefCell<TcpStream>,
    is_lost: Cell<bool>,
}

impl WatchedStream {
    /// Wraps a connection, which ends if its bytes, or the probes while it is idle, stay unacknowledged for
    /// [`UNACKNOWLEDGED_TIMEOUT`].
    pub(crate) fn new(stream: TcpStream) -> WatchedStream {
        // If the system rejects an option, a dead connection is only detected later.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let stream = RefCell::new(stream);
        let connection = Rc::new(SharedConnection { stream, is_lost: Cell::new(false) });
        spawn(watch(Rc::downgrade(&connection)));
        WatchedStream { connection }
    }
}

impl SharedConnection {
    // Calls `poll` with the stream unless the connection is lost.
    fn poll<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        if self.is_lost.get() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }

    // Ends the connection with an error, which an ordinary end mustn't be taken for.
    fn give_up(&self) {
        self.is_lost.set(true);
        // The shutdown only wakes the tasks that wait for the connection.
        let _ = SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Both);
    }
}

// Keeps the time limit of a connection as the state of its send queue requires, until the connection is closed.
async fn watch(connection: Weak<SharedConnection>) {
    let opened = Instant::now();
    let span = |duration: Duration| ClockSpan::from_ms(duration.as_millis() as u64);
    let mut timeout = span(UNACKNOWLEDGED_TIMEOUT);
    let mut watch = QueueWatch::new(timeout, ClockTime::ZERO);
    loop {
        sleep(if watch.was_probing() { PROBED_LOOK_INTERVAL } else { LOOK_INTERVAL }).await;
        let Some(connection) = connection.upgrade() else { return };
        // Where the system doesn't report the state, the time limit stays as it is.
        let Some(state) = queue_state(&connection.stream.borrow()) else { return };
        let Some(next) = watch.timeout(ClockTime::ZERO + span(opened.elapsed()), state) else {
            return connection.give_up();
        };
        if next != timeout {
            timeout = next;
            let timeout = Duration::from_millis(timeout.as_ms());
            let _ = SockRef::from(&*connection.stream.borrow()).set_tcp_user_timeout(Some(timeout));
        }
    }
}

/// Returns whether neither side has ended a connection. A connection whose state isn't reported counts as established.
pub(crate) fn is_established(stream: &TcpStream) -> bool {
    // The number of the state in Linux (`TCP_ESTABLISHED`).
    const ESTABLISHED: u8 = 1;
    getsockopt(stream, TcpInfo).map_or(true, |info| info.tcpi_state == ESTABLISHED)
}

/// Returns how many sent bytes the other side has acknowledged, as far as that is reported.
pub(crate) fn acknowledged_bytes(stream: &TcpStream) -> u64 {
    getsockopt(stream, TcpInfo).map_or(0, |info| info.tcpi_bytes_acked)
}

fn queue_state(stream: &TcpStream) -> Option<QueueState> {
    let info = getsockopt(stream, TcpInfo).ok()?;
    Some(QueueState {
        has_unacknowledged_bytes: info.tcpi_unacked > 0,
        has_unanswered_probe: info.tcpi_probes > 0,
        is_retrying: info.tcpi_backoff > 0,
        since_acknowledgment: ClockSpan::from_ms(info.tcpi_last_ack_recv.into()),
        since_sent: ClockSpan::from_ms(info.tcpi_last_data_sent.into()),
    })
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.connection.poll(|stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.connection.poll(|stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.connection.poll(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.connection.poll(|stream| stream.poll_shutdown(context))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.connection.poll(|stream| stream.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.stream.borrow().is_write_vectored()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/watched_stream.rs"]
mod tests;
