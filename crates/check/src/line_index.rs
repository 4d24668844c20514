use std::collections::HashMap;

/// The line of each value of a JSON document, by its path, such as `routes[3].host`.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    lines: HashMap<String, usize>,
}

/// An object or array that has been opened.
enum Level {
    /// The path of the object, and the key that was read last.
    Object { path: String, key: Option<String> },
    /// The path of the array, and the number of the next element.
    Array { path: String, next: usize },
}

impl Level {
    /// The path of the next value in it.
    fn value_path(&self) -> String {
        match self {
            Self::Object { path, key } => {
                let key = key.as_deref().unwrap_or_default();
                if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
            }
            Self::Array { path, next } => format!("{path}[{next}]"),
        }
    }
}

impl LineIndex {
    /// Indexes `bytes`, which are valid JSON.
    pub(crate) fn new(bytes: &[u8]) -> Self {
        let mut index = Self::default();
        let mut levels: Vec<Level> = Vec::new();
        let (mut at, mut line) = (0, 1);
        while let Some(byte) = bytes.get(at) {
            match byte {
                b'\n' => line += 1,
                b'{' | b'[' => {
                    let path = levels.last().map(Level::value_path).unwrap_or_default();
                    index.lines.insert(path.clone(), line);
                    levels.push(match byte {
                        b'{' => Level::Object { path, key: None },
                        _ => Level::Array { path, next: 0 },
                    });
                }
                b'}' | b']' => {
                    levels.pop();
                }
                b',' => match levels.last_mut() {
                    Some(Level::Object { key, .. }) => *key = None,
                    Some(Level::Array { next, .. }) => *next += 1,
                    None => {}
                },
                b'"' => {
                    let end = string_end(bytes, at);
                    if let Some(Level::Object { key: key @ None, .. }) = levels.last_mut() {
                        *key = serde_json::from_slice(&bytes[at..end]).ok();
                    }
                    index.note(&levels, line);
                    at = end;
                    continue;
                }
                byte if byte.is_ascii_whitespace() || *byte == b':' => {}
                _ => index.note(&levels, line),
            }
            at += 1;
        }
        index
    }

    /// The line of the value at `path`.
    pub(crate) fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            // A value that is missing is located where it is missing.
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    fn note(&mut self, levels: &[Level], line: usize) {
        if let Some(level) = levels.last() {
            self.lines.entry(level.value_path()).or_insert(line);
        }
    }
}

/// The position behind the string that begins at `at`.
fn string_end(bytes: &[u8], at: usize) -> usize {
    let mut end = at + 1;
    while let Some(byte) = bytes.get(end) {
        match byte {
            b'\\' => end += 2,
            b'"' => return end + 1,
            _ => end += 1,
        }
    }
    bytes.len()
}
