//! An incremental, bounded parser of server-sent events.
//!
//! Bytes come in parts of any size, so that a line end, a field name or a character can be cut anywhere. The parser
//! follows the HTML standard: lines end with CR, LF or CRLF, a leading byte order mark is skipped, and an event
//! without data is dropped.

use thiserror::Error;

/// The largest event in bytes; an engine's event holds one token, a final one also usage figures.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SseEvent<'a> {
    /// The type; empty for an ordinary message.
    pub kind: &'a str,
    /// The data, its lines joined by line feeds.
    pub data: &'a str,
}

/// The reason why a stream of events can't be read on.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SseError {
    /// An event is larger than the limit.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// A line isn't UTF-8.
    #[error("an event isn't UTF-8")]
    NotText,
}

/// The result of reading a part of a stream.
type Result<T> = std::result::Result<T, SseError>;

/// The state of a stream between two parts.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    kind: String,
    data: String,
    has_data: bool,
    after_return: bool,
    started: bool,
}

impl SseParser {
    /// Returns a parser at the start of a stream.
    pub fn new() -> SseParser {
        SseParser::default()
    }

    /// Reads a part of the stream and gives each event that it completes to `take`.
    ///
    /// # Errors
    ///
    /// Returns an error for an event that is too large or isn't text; the stream must then be given up.
    pub fn push(&mut self, mut part: &[u8], mut take: impl FnMut(SseEvent<'_>)) -> Result<()> {
        while let Some(&first) = part.first() {
            if self.after_return && first == b'\n' {
                self.after_return = false;
                part = &part[1..];
                continue;
            }
            self.after_return = false;
            let Some(end) = part.iter().position(|&byte| matches!(byte, b'\n' | b'\r')) else {
                return self.keep(part);
            };
            let (head, rest) = part.split_at(end);
            self.after_return = rest[0] == b'\r';
            part = &rest[1..];
            if self.line.is_empty() {
                self.end_line(head, &mut take)?;
            } else {
                self.keep(head)?;
                let line = std::mem::take(&mut self.line);
                let result = self.end_line(&line, &mut take);
                // The buffer goes back, so that a stream cut into small parts allocates only once.
                self.line = line;
                self.line.clear();
                result?;
            }
        }
        Ok(())
    }

    /// Returns whether the stream stands between two events, where it may end.
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_data
    }

    fn keep(&mut self, part: &[u8]) -> Result<()> {
        if self.line.len() + self.data.len() + part.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn end_line(&mut self, line: &[u8], take: &mut impl FnMut(SseEvent<'_>)) -> Result<()> {
        let mut line = std::str::from_utf8(line).map_err(|_| SseError::NotText)?;
        if !self.started {
            self.started = true;
            line = line.strip_prefix('\u{feff}').unwrap_or(line);
        }
        if line.is_empty() {
            if self.has_data {
                take(SseEvent { kind: &self.kind, data: &self.data });
            }
            self.kind.clear();
            self.data.clear();
            self.has_data = false;
            return Ok(());
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => self.add_data(value),
            "event" => {
                self.kind.clear();
                self.kind.push_str(value);
                Ok(())
            }
            // Comments, ids, retry times and unknown fields say nothing that the router uses.
            _ => Ok(()),
        }
    }

    fn add_data(&mut self, value: &str) -> Result<()> {
        if self.data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        if self.has_data {
            self.data.push('\n');
        }
        self.data.push_str(value);
        self.has_data = true;
        Ok(())
    }
}
