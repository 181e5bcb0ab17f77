//! An incremental, bounded parser of server-sent events.
//!
//! Input arrives in parts of any size, so a line end, a field name or a character can be split at any byte. The parser
//! follows the HTML standard: lines end with CR, LF or CRLF, a leading byte order mark is skipped, and an event without
//! data is dropped.

use thiserror::Error;

/// The maximum size of an event; an engine's event holds one token, and the last one also usage figures.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A parsed event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SseEvent<'a> {
    /// The event type; empty if the stream names none.
    pub kind: &'a str,
    /// The data lines, joined by line feeds.
    pub data: &'a str,
}

/// Why a stream of events cannot be parsed any further.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SseError {
    /// An event is larger than 1 MiB.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// A line is not UTF-8.
    #[error("an event is not valid UTF-8")]
    NotUtf8,
}

/// The result of parsing a part of a stream.
type Result<T> = std::result::Result<T, SseError>;

/// The parser state between two parts of a stream.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    kind: String,
    data: String,
    has_data: bool,
    // Whether a line of an event that has not ended was parsed.
    has_line: bool,
    after_carriage_return: bool,
    passed_first_line: bool,
}

impl SseParser {
    /// Returns a parser at the start of a stream.
    pub fn new() -> SseParser {
        SseParser::default()
    }

    /// Parses a part of the stream and calls `on_event` for each event that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too large or not UTF-8; the stream must then be abandoned.
    pub fn push(&mut self, mut part: &[u8], mut on_event: impl FnMut(SseEvent<'_>)) -> Result<()> {
        while let Some(&first) = part.first() {
            if self.after_carriage_return && first == b'\n' {
                self.after_carriage_return = false;
                part = &part[1..];
                continue;
            }
            self.after_carriage_return = false;
            let Some(end) = part.iter().position(|&byte| matches!(byte, b'\n' | b'\r')) else {
                return self.buffer(part);
            };
            let (head, remaining) = part.split_at(end);
            self.after_carriage_return = remaining[0] == b'\r';
            part = &remaining[1..];
            if self.line.is_empty() {
                self.end_line(head, &mut on_event)?;
            } else {
                self.buffer(head)?;
                let line = std::mem::take(&mut self.line);
                let result = self.end_line(&line, &mut on_event);
                // Reuse the buffer, so that a stream split into small parts allocates only once.
                self.line = line;
                self.line.clear();
                result?;
            }
        }
        Ok(())
    }

    /// Returns whether the parser is between two events, where a stream may end.
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_line
    }

    fn buffer(&mut self, part: &[u8]) -> Result<()> {
        if self.line.len() + self.data.len() + part.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn end_line(&mut self, line: &[u8], on_event: &mut impl FnMut(SseEvent<'_>)) -> Result<()> {
        let mut line = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
        if !self.passed_first_line {
            self.passed_first_line = true;
            line = line.strip_prefix('\u{feff}').unwrap_or(line);
        }
        if line.is_empty() {
            self.has_line = false;
            if self.has_data {
                on_event(SseEvent { kind: &self.kind, data: &self.data });
            }
            self.kind.clear();
            self.data.clear();
            self.has_data = false;
            return Ok(());
        }
        self.has_line |= !line.starts_with(':');
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => self.add_data(value),
            "event" => {
                self.kind.clear();
                self.kind.push_str(value);
                Ok(())
            }
            // Comments, ids, retry times and unknown fields are not used.
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
