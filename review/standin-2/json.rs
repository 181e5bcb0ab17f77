//! A small JSON reader, and base64 with padding.

use std::collections::BTreeMap;

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
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn rows(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(rows)) => rows,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut reader = Reader { bytes, at: 0 };
    reader.value()
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    table.insert(name, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(table))
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                while self.peek()? != b']' {
                    rows.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(rows))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            text.extend(letter.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= part.len() { digit } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut number = 0u32;
    let mut bits = 0;
    for letter in text.bytes().filter(|letter| *letter != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == letter)?;
        number = number << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    Some(bytes)
}
