//! HTTP/1.1 for the stand-ins: calls that a server reads, and answers that a client reads.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    time::Duration,
};

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

// The numbers of Linux.
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// A request as a stand-in received it. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// Reads a request with its body.
pub fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let mut call = Call { method, target, ..Call::default() };
    call.headers = read_headers(reader)?;
    let length = call.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    call.body = vec![0; length];
    reader.read_exact(&mut call.body).ok()?;
    Some(call)
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// How an answer came to its client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its declared end.
    pub is_complete: bool,
    /// The declared length.
    pub length: Option<usize>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

/// A client's channel.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        Some(Client { reader: BufReader::with_capacity(2_048, stream) })
    }

    /// Sets the size of the channel's receive buffer in the kernel.
    pub fn set_receive_buffer(&self, bytes: i32) {
        let socket = self.reader.get_ref().as_raw_fd();
        // SAFETY: the socket is open, and the option's value is an `i32` that outlives the call.
        unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    }

    pub fn send(&mut self, text: &str) -> Option<()> {
        self.reader.get_mut().write_all(text.as_bytes()).ok()
    }

    /// Reads an answer. `pace` is called after each part of the body that was read, with its length.
    pub fn read(&mut self, mut pace: impl FnMut(usize)) -> Option<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = read_headers(&mut self.reader)?;
        let mut answer = Answer { status, headers, ..Answer::default() };
        if answer.header("transfer-encoding").is_some() {
            answer.is_complete = self.read_chunks(&mut answer.body, &mut pace).is_some();
            return Some(answer);
        }
        answer.length = answer.header("content-length").and_then(|length| length.parse().ok());
        let length = answer.length.unwrap_or(usize::MAX);
        let mut part = [0; 2_048];
        while answer.body.len() < length {
            let most = part.len().min(length - answer.body.len());
            match self.reader.read(&mut part[..most]) {
                Ok(0) | Err(_) => break,
                Ok(read) => {
                    answer.body.extend_from_slice(&part[..read]);
                    pace(read);
                }
            }
        }
        answer.is_complete = answer.body.len() == length;
        Some(answer)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>, pace: &mut impl FnMut(usize)) -> Option<()> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            self.reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(());
            }
            body.extend_from_slice(&chunk[..length]);
            pace(length);
        }
    }
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nAuthorization: Bearer key-one\r\n{extra}{length}\r\n{body}"
    )
}
