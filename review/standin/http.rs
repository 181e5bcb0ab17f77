//! A small blocking HTTP/1.1 server and client.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a stand-in received it. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub from: Option<SocketAddr>,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves each connection on its own thread. The handler writes the answer and returns whether to keep the connection.
pub fn serve<F>(listener: TcpListener, handler: F) -> SocketAddr
where
    F: Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let address = listener.local_addr().expect("the listener is bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let from = stream.peer_addr().ok();
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(call) = read_call(&mut reader) {
                    if !handler(&Call { from, ..call }, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Call { method, path, headers, body, ..Call::default() })
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
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
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

// Returns the body, or `None` if it ends early.
fn read_body(
    reader: &mut impl BufRead,
    headers: &BTreeMap<String, String>,
) -> Option<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Writes an answer with a length, and returns whether that succeeded.
pub fn write(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let whole = [head.as_bytes(), body].concat();
    stream.write_all(&whole).is_ok()
}

/// An answer as a client received it. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body was received to its declared end, or to the end of a channel that wasn't reset if the body has
    /// neither a length nor chunks.
    pub complete: bool,
    /// Whether the body has neither a length nor chunks.
    pub unframed: bool,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Client::over(stream, patience)
    }

    pub fn over(stream: TcpStream, patience: Duration) -> Option<Client> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let writer = stream.try_clone().ok()?;
        Some(Client { reader: BufReader::new(stream), writer })
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.writer.write_all(text.as_bytes()).is_ok()
    }

    /// Returns the next answer; `None` if the connection ends or stays silent before the end of its head.
    pub fn read(&mut self) -> Option<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = read_headers(&mut self.reader)?;
        let is_framed = |name: &str| headers.contains_key(name);
        if !is_framed("transfer-encoding") && !is_framed("content-length") {
            let mut body = Vec::new();
            let complete = self.reader.read_to_end(&mut body).is_ok();
            return Some(Answer { status, headers, body, complete, unframed: true });
        }
        let body = read_body(&mut self.reader, &headers);
        let complete = body.is_some();
        Some(Answer { status, headers, body: body.unwrap_or_default(), complete, unframed: false })
    }
}
