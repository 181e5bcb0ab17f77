//! Tests of how long a connection lasts whose other end reads late or can't be reached.

use std::{
    io::Read,
    net::{TcpListener, TcpStream as StdStream},
    thread,
    time::{Duration, Instant},
};

use socket2::{SockFilter, SockRef};
use tokio::{io::AsyncWriteExt, net::TcpStream};
use yare::parameterized;

use super::{UNACKNOWLEDGED_TIMEOUT, WatchedStream};

const BYTES: usize = 12_000_000;

/// By how much later than its time limit a connection may end.
const MARGIN: Duration = Duration::from_millis(1_500);

const SPURT_INTERVAL: Duration = Duration::from_millis(700);

// Reads so many bytes at intervals for a time, and returns the other end.
fn read_slowly(mut reader: &StdStream, spurt_bytes: usize, time: Duration) {
    let start = Instant::now();
    let mut buffer = vec![0; spurt_bytes];
    while start.elapsed() < time {
        thread::sleep(SPURT_INTERVAL);
        reader.read_exact(&mut buffer).expect("the connection lasts");
    }
}

fn drop_packets(reader: &StdStream) {
    let nothing = SockFilter::new(0x06, 0, 0, 0);
    SockRef::from(reader).attach_filter(&[nothing]).expect("the socket is open");
}

// Writes to a reader in another thread, and returns after how long writing failed, if it did.
fn write_to(reader: impl FnOnce(&StdStream) + Send + 'static) -> Option<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let reading = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        reader(&stream);
        stream
    });
    let failed = actix_rt::System::new().block_on(async {
        let stream = TcpStream::connect(address).await.expect("the listener accepts");
        let mut stream = WatchedStream::new(stream);
        let start = Instant::now();
        let written = stream.write_all(&vec![0; BYTES]).await;
        written.is_err().then(|| start.elapsed())
    });
    drop(reading.join().expect("no panic"));
    failed
}

#[parameterized(
    at_once = { 0, 0 },
    within_the_time_limit = { 2_500, 0 },
    late = { 9_500, 0 },
    in_spurts = { 9_500, 9_000 },
    in_large_spurts = { 9_500, 300_000 },
)]
fn a_connection_lasts_while_its_other_end_reads_late(ms: u64, spurt_bytes: usize) {
    let failed = write_to(move |mut stream| {
        read_slowly(stream, spurt_bytes, Duration::from_millis(ms));
        stream.read_exact(&mut vec![0; BYTES - 20 * spurt_bytes]).expect("the connection lasts");
    });
    assert_eq!(failed, None);
}

#[parameterized(
    at_once = { 0, 0 },
    at_a_full_window = { 1_000, 0 },
    at_a_window_that_was_full_for_long = { 9_500, 0 },
    after_spurts = { 5_500, 9_000 },
    after_large_spurts = { 5_500, 300_000 },
)]
fn a_connection_ends_after_its_other_end_is_lost(ms: u64, spurt_bytes: usize) {
    let lost_at = Duration::from_millis(ms);
    let failed = write_to(move |stream| {
        read_slowly(stream, spurt_bytes, lost_at);
        drop_packets(stream);
        thread::sleep(UNACKNOWLEDGED_TIMEOUT + MARGIN);
    });
    let failed = failed.expect("writing fails");
    assert!(failed < lost_at + UNACKNOWLEDGED_TIMEOUT + MARGIN, "after {failed:?}");
}
