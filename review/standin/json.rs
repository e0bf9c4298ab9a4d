//! A small JSON reader: enough for the calls that gateways make to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }
}

pub fn parse(text: &[u8]) -> Json {
    Reader { text, at: 0 }.value()
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut fields = BTreeMap::new();
                self.at += 1;
                while !matches!(self.peek(), b'}' | 0) {
                    let name = self.string();
                    self.peek();
                    self.at += 1; // the colon
                    let value = self.value();
                    fields.insert(name, value);
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let from = self.at;
                while self.text.get(self.at).is_some_and(|b| !b",]} \n".contains(b)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.text[from..self.at]).unwrap_or("");
                match word {
                    "true" | "false" => Json::Bool,
                    _ => word.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    /// Reads a string. The calls of gateways hold no escapes but simple ones.
    fn string(&mut self) -> String {
        self.peek();
        self.at += 1;
        let mut out = Vec::new();
        while let Some(&byte) = self.text.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    out.push(self.text.get(self.at).copied().unwrap_or(0));
                    self.at += 1;
                }
                _ => out.push(byte),
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
