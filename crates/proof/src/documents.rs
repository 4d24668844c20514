use comfreymast_contract::KeyHash;

/// A contract of `organisation` for the holder of `key`: kind `report` on model `m`, which may be
/// repeated; kind `study`, which may not; calls to service `s` under `/drawings`, and under
/// `/saves`, which may not be repeated. Its limits are wide, so that no proof meets them.
#[must_use]
pub fn contract(organisation: &str, key: &str) -> String {
    let hash = KeyHash::of(key);
    format!(
        r#"
organisation = "{organisation}"

[limits]
concurrent_requests = 1000
requests_per_s = 1000
tokens_per_s = 1000000

[[keys]]
name = "site"
sha256 = "{hash}"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000
repeatable = true

[[work]]
kind = "study"
model = "m"
priority = 7
max_output_tokens = 20000

[[routes]]
prefix = "/drawings"
service = "s"
methods = ["GET"]
repeatable = true

[[routes]]
prefix = "/saves"
service = "s"
methods = ["POST"]
"#
    )
}
