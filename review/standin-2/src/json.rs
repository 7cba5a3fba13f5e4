//! Minimal JSON values.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Str(text)) => text,
            _ => "",
        }
    }

    pub fn num(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Num(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn arr(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::Arr(items)) => items,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Num(number) => write!(out, "{number}"),
            Json::Str(text) => write_string(out, text),
            Json::Arr(items) => {
                write!(out, "[")?;
                for (place, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if place > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Obj(fields) => {
                write!(out, "{{")?;
                for (place, (key, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if place > 0 { "," } else { "" })?;
                    write_string(out, key)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_string(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            '\n' => write!(out, "\\n")?,
            letter if (letter as u32) < 32 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => write!(out, "{letter}")?,
        }
    }
    write!(out, "\"")
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_string(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_string(bytes, at).map(Json::Str),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && b"+-0123456789.eE".contains(&bytes[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn parse_string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let letter = char::from_u32(code).unwrap_or('?');
                        text.extend_from_slice(letter.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
}

#[macro_export]
macro_rules! obj {
    ($($key:expr => $value:expr),* $(,)?) => {
        $crate::json::Json::Obj(vec![$(($key.to_string(), $crate::json::Json::from($value))),*])
    };
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Str(text.to_owned())
    }
}
impl From<String> for Json {
    fn from(text: String) -> Self {
        Json::Str(text)
    }
}
impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Num(number as f64)
    }
}
impl From<f64> for Json {
    fn from(number: f64) -> Self {
        Json::Num(number)
    }
}
impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}
impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Self {
        Json::Arr(items)
    }
}
