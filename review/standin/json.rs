//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn set(&mut self, key: &str, value: Json) {
        if let Json::Table(fields) = self {
            fields.insert(key.to_string(), value);
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Builds a table from pairs.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Table(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

pub fn text(text: &str) -> Json {
    Json::Text(text.to_string())
}

pub fn number(number: u64) -> Json {
    Json::Number(number as f64)
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(out, "{}", *value as i64),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                write!(out, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Table(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    write!(out, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(items));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(fields));
                    }
                }
            }
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let digits = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                digits.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend(character.to_string().as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let part = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            if index <= group.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes standard base64 with padding.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = ALPHABET.iter().position(|known| *known == byte)? as u32;
        bits = bits << 6 | value;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(bytes)
}
