//! A minimal JSON value with parser and writer.

use std::collections::BTreeMap;
use std::fmt::Write;

/// A JSON value; numbers are kept as `f64`, which is exact for the integers used here.
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
    /// Returns a field of a table; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns whether a table has a field.
    pub fn has(&self, name: &str) -> bool {
        matches!(self, Json::Table(fields) if fields.contains_key(name))
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }

    /// Parses a text; none if it is not valid JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(number) => write!(out, "{number}"),
            Json::Text(text) => write_text(out, text),
            Json::List(rows) => {
                out.write_char('[')?;
                for (number, row) in rows.iter().enumerate() {
                    if number > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{row}")?;
                }
                out.write_char(']')
            }
            Json::Table(fields) => {
                out.write_char('{')?;
                for (number, (name, value)) in fields.iter().enumerate() {
                    if number > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_char('"')?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => out.write_char(letter)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn next(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.next(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    if !self.next(b':') {
                        return None;
                    }
                    fields.insert(name, self.value()?);
                    if self.next(b'}') {
                        return Some(Json::Table(fields));
                    }
                    if !self.next(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.next(b']') {
                    return Some(Json::List(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.next(b']') {
                        return Some(Json::List(rows));
                    }
                    if !self.next(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(
                        self.bytes[self.at],
                        b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'
                    )
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend(letter.to_string().bytes());
                        }
                        byte => text.push(byte),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}

/// Builds a table from names and values.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Table(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Json::Text(text)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(rows: Vec<Json>) -> Self {
        Json::List(rows)
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for at in 0..3 {
            group = group << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let letter = LETTERS[(group >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes standard base64 with padding; none if it is not valid.
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut group = 0_u32;
    let mut bits = 0;
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = LETTERS.iter().position(|letter| *letter == byte)?;
        group = group << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    Some(bytes)
}
