use std::fmt::Write;

/// URL query parameters. Formatting percent-encodes them, parsing decodes them.
///
/// ```
/// use comfreymast_net::Query;
/// let query = Query::default().with("author", "Søren & co").to_string();
/// assert_eq!(query, "author=S%C3%B8ren%20%26%20co");
/// assert_eq!(Query::parse(&query).get("author"), Some("Søren & co"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    pairs: Vec<(String, String)>,
}

impl Query {
    /// Parses `name=value` pairs joined by `&`. Skips pairs that do not decode.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let decoded = pairs.filter_map(|(name, value)| Some((decode(name)?, decode(value)?)));
        Self { pairs: decoded.collect() }
    }

    /// Adds a parameter.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.pairs.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The value of the first parameter with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl std::fmt::Display for Query {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let pairs: Vec<_> = self
            .pairs
            .iter()
            .map(|(name, value)| format!("{}={}", encode(name), encode(value)))
            .collect();
        f.write_str(&pairs.join("&"))
    }
}

fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a String cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(bytes).ok()
}
