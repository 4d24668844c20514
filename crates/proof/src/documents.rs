use comfreymast_contract::KeyHash;

/// A contract of `organisation` for the holder of `key`. On model `m` it allows the kinds `report`,
/// which is repeatable, and `study`, which is not. On service `s` it allows `GET` under `/drawings`,
/// which is repeatable, and `POST` under `/saves`, which is not. Its limits are so high that no
/// test reaches them.
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
