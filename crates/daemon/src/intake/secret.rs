//! Removal of a caller's key from everything that is sent to a target.
//!
//! Values are compared after decoding, so an escaped spelling of the key is found too. A field whose value is the key
//! is removed. Where the key is only a part of a longer text, just that part is replaced, because dropping a complete
//! prompt would change the request more than the caller expects.

use std::fmt;

use actix_web::http::header::{CONTENT_TYPE, HeaderMap};
use bytes::Bytes;
use godwitroad_config::KeyHash;
use memchr::memmem::Finder;
use serde_json::Value;

use super::{Result, invalid};

/// Replaces a key inside a longer text.
const REPLACEMENT: &str = "[removed]";

/// A caller's key. It exists only while a request is parsed, and its text never appears in `Debug` output.
pub struct CallerKey {
    text: String,
    /// Built once, because a body can contain many texts that are searched.
    finder: Finder<'static>,
}

impl CallerKey {
    /// Returns the key with the text `secret`, or `None` if it is empty.
    pub fn new(secret: &str) -> Option<CallerKey> {
        let finder = || Finder::new(secret.as_bytes()).into_owned();
        (!secret.is_empty()).then(|| CallerKey { text: secret.to_string(), finder: finder() })
    }

    /// Returns the hash under which the key is stored in the configuration.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.text)
    }

    /// Returns whether `text` contains the key.
    pub fn occurs_in(&self, text: &str) -> bool {
        self.occurs_in_bytes(text.as_bytes())
    }

    /// Returns whether `bytes` contain the key.
    pub fn occurs_in_bytes(&self, bytes: &[u8]) -> bool {
        self.finder.find(bytes).is_some()
    }

    /// Refuses a path that contains the key, which cannot be removed without changing the meaning of the path.
    pub(super) fn reject_key_in_path(&self, path: &str) -> Result<()> {
        if self.occurs_in(path) || self.occurs_in_bytes(&percent_decoded(path)) {
            return Err(invalid("the path holds the caller's key"));
        }
        Ok(())
    }

    /// Returns the query without the fields that contain the key.
    pub fn remove_from_query(&self, query: &str) -> String {
        let contains_key = |part: &str| {
            self.occurs_in(part) || self.occurs_in_bytes(&percent_decoded(&part.replace('+', " ")))
        };
        let remaining: Vec<&str> = query.split('&').filter(|field| !contains_key(field)).collect();
        remaining.join("&")
    }

    /// Removes the key from a JSON value; returns `false` if the value itself is the key and must be dropped.
    pub fn remove_from_json(&self, value: &mut Value) -> bool {
        match value {
            Value::String(text) if *text == self.text => return false,
            Value::String(text) if self.occurs_in(text) => {
                *text = text.replace(&self.text, REPLACEMENT);
            }
            Value::Array(items) => items.retain_mut(|item| self.remove_from_json(item)),
            Value::Object(fields) => {
                fields.retain(|name, field| !self.occurs_in(name) && self.remove_from_json(field));
            }
            // A key that consists of digits could be written as a number.
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
pub(super) fn remove_key_from_body(
    key: Option<&CallerKey>,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Bytes> {
    let Some(key) = key else { return Ok(body) };
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("").to_ascii_lowercase();
    if content_type.contains("json") {
        return remove_key_from_json_body(key, body);
    }
    if content_type.starts_with("application/x-www-form-urlencoded") {
        let form = std::str::from_utf8(&body).map_err(|_| invalid("the form isn't text"))?;
        let cleaned = key.remove_from_query(form);
        return Ok(if cleaned.len() == form.len() { body } else { cleaned.into() });
    }
    // Removing bytes from an unknown format could change the meaning of the remaining ones.
    let may_be_escaped = memchr::memchr(b'%', &body).is_some();
    if key.occurs_in_bytes(&body)
        || (may_be_escaped && key.occurs_in_bytes(&percent_decoded_bytes(&body)))
    {
        return Err(invalid("the body holds the caller's key"));
    }
    Ok(body)
}

fn remove_key_from_json_body(key: &CallerKey, body: Bytes) -> Result<Bytes> {
    if body.is_empty() {
        return Ok(body);
    }
    let mut value: Value = serde_json::from_slice(&body)
        .map_err(|error| invalid(format!("the body isn't JSON: {error}")))?;
    let original = value.clone();
    if !key.remove_from_json(&mut value) {
        value = Value::Null;
    }
    // An unchanged body is forwarded byte for byte, because its sender may have signed it. The bytes are searched as
    // well, because a repeated field name hides its first value from the parsed form.
    if value == original && !key.occurs_in_bytes(&body) {
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
