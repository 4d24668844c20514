//! What an upstream's answer says of when to come back, and of its leaving.

use comfreymast_platform::{Pause, ResponseHead};
use hyper::Response;

fn head(status: u16, name: &str, value: &str) -> ResponseHead {
    let response = Response::builder().status(status).header(name, value).body(());
    ResponseHead::decode(&response.expect("a response").into_parts().0, "id")
}

#[test]
fn a_pause_is_a_number_of_seconds_in_a_refusal() {
    let pause = |value| head(503, "retry-after", value).pause;
    assert_eq!(pause("5"), Pause::Ms(5_000));
    assert_eq!(pause(" 0.25 "), Pause::Ms(250));
    assert_eq!(pause("0"), Pause::Ms(0));
    assert_eq!(pause("1e12"), Pause::Ms(3_600_000));
    assert_eq!(pause("inf"), Pause::Ms(3_600_000));
    for invalid in ["-1", "nan", "soon", "", "Fri, 04 Dec 2026 12:00:00 GMT"] {
        assert_eq!(pause(invalid), Pause::Invalid, "{invalid}");
    }
    assert_eq!(head(200, "retry-after", "5").pause, Pause::Absent);
    assert_eq!(head(503, "x-other", "5").pause, Pause::Absent);
}

#[test]
fn any_answer_may_say_that_its_upstream_leaves() {
    for status in [200, 404, 500, 503] {
        assert!(head(status, "server-leaving", "1").is_leaving);
        assert!(!head(status, "x-other", "1").is_leaving);
    }
    assert!(!head(200, "server-leaving", "0").is_leaving);
}
