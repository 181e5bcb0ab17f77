//! Removal of a caller's key from everything that a target could see.
//!
//! Values are compared after decoding, so that an escaped spelling of the key is found too. Where a value is the
//! key, the field goes; where the key is only a part of a longer text, that part is replaced, because dropping a
//! whole prompt would change the request more than the caller could expect.

use std::fmt;

use actix_web::http::header::{CONTENT_TYPE, HeaderMap};
use bytes::Bytes;
use godwitroad_config::KeyHash;
use memchr::memmem::Finder;
use serde_json::Value;

use super::{Result, invalid};

/// What stands in place of a key inside a longer text.
const REPLACEMENT: &str = "[removed]";

/// A caller's key, for as long as a request is read; its text never appears in output.
pub struct CallerKey {
    text: String,
    /// Built once, as a body can hold many texts in which the key is looked for.
    finder: Finder<'static>,
}

impl CallerKey {
    /// Returns the key holding `secret`, or `None` for an empty one.
    pub fn new(secret: &str) -> Option<CallerKey> {
        let finder = || Finder::new(secret.as_bytes()).into_owned();
        (!secret.is_empty()).then(|| CallerKey { text: secret.to_string(), finder: finder() })
    }

    /// Returns the hash of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.text)
    }

    /// Returns whether `text` holds the key.
    pub fn is_in(&self, text: &str) -> bool {
        self.is_in_bytes(text.as_bytes())
    }

    /// Returns whether `bytes` hold the key.
    pub fn is_in_bytes(&self, bytes: &[u8]) -> bool {
        self.finder.find(bytes).is_some()
    }

    /// Refuses a path with the key in it, which can't be removed without changing what the path means.
    pub(super) fn check_path(&self, path: &str) -> Result<()> {
        if self.is_in(path) || self.is_in_bytes(&percent_decoded(path)) {
            return Err(invalid("the path holds the caller's key"));
        }
        Ok(())
    }

    /// Returns the query without the fields that hold the key.
    pub fn clean_query(&self, query: &str) -> String {
        let holds = |part: &str| {
            self.is_in(part) || self.is_in_bytes(&percent_decoded(&part.replace('+', " ")))
        };
        let kept: Vec<&str> = query.split('&').filter(|field| !holds(field)).collect();
        kept.join("&")
    }

    /// Removes the key from a JSON value; returns `false` when the value itself is the key and must go.
    pub fn clean_json(&self, value: &mut Value) -> bool {
        match value {
            Value::String(text) if *text == self.text => return false,
            Value::String(text) if self.is_in(text) => {
                *text = text.replace(&self.text, REPLACEMENT);
            }
            Value::Array(items) => items.retain_mut(|item| self.clean_json(item)),
            Value::Object(fields) => {
                fields.retain(|name, field| !self.is_in(name) && self.clean_json(field));
            }
            // A key of digits could be written as a number.
            Value::Number(number) => return number.to_string() != self.text,
            Value::String(_) | Value::Bool(_) | Value::Null => {}
        }
        true
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

/// Returns the body of a request to a plain service without the key.
pub(super) fn clean_plain(
    key: Option<&CallerKey>,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Bytes> {
    let Some(key) = key else { return Ok(body) };
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("").to_ascii_lowercase();
    if content_type.contains("json") {
        return clean_json_body(key, body);
    }
    if content_type.starts_with("application/x-www-form-urlencoded") {
        let form = std::str::from_utf8(&body).map_err(|_| invalid("the form isn't text"))?;
        let cleaned = key.clean_query(form);
        return Ok(if cleaned.len() == form.len() { body } else { cleaned.into() });
    }
    // Cutting bytes out of a format that isn't known could change what the rest means.
    let is_escaped = memchr::memchr(b'%', &body).is_some();
    if key.is_in_bytes(&body) || (is_escaped && key.is_in_bytes(&percent_decoded_bytes(&body))) {
        return Err(invalid("the body holds the caller's key"));
    }
    Ok(body)
}

fn clean_json_body(key: &CallerKey, body: Bytes) -> Result<Bytes> {
    if body.is_empty() {
        return Ok(body);
    }
    let mut value: Value = serde_json::from_slice(&body)
        .map_err(|error| invalid(format!("the body isn't JSON: {error}")))?;
    let original = value.clone();
    if !key.clean_json(&mut value) {
        value = Value::Null;
    }
    // An untouched body goes on byte for byte, as its sender may have signed it. A repeated field name hides its
    // first value from the parsed form, so that the bytes are looked at as well.
    if value == original && !key.is_in_bytes(&body) {
        return Ok(body);
    }
    let bytes = serde_json::to_vec(&value).map_err(|_| invalid("the body can't be written"))?;
    Ok(bytes.into())
}

fn percent_decoded(text: &str) -> Vec<u8> {
    percent_decoded_bytes(text.as_bytes())
}

pub(super) fn percent_decoded_bytes(bytes: &[u8]) -> Vec<u8> {
    let digit = |index: usize| bytes.get(index).and_then(|&byte| char::from(byte).to_digit(16));
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(&byte) = bytes.get(index) {
        match (byte, digit(index + 1), digit(index + 2)) {
            (b'%', Some(high), Some(low)) => {
                // Two hexadecimal digits are below 256.
                decoded.push((high * 16 + low) as u8);
                index += 3;
            }
            _ => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    decoded
}
