//! What an upstream's answer says of its leaving.

use comfreymast_platform::ResponseHead;
use hyper::Response;

fn head(status: u16, name: &str, value: &str) -> ResponseHead {
    let response = Response::builder().status(status).header(name, value).body(());
    ResponseHead::decode(&response.expect("a response").into_parts().0, "id")
}

#[test]
fn any_answer_may_say_that_its_upstream_leaves() {
    for status in [200, 404, 500, 503] {
        assert!(head(status, "server-leaving", "1").is_leaving);
        assert!(!head(status, "x-other", "1").is_leaving);
    }
    assert!(!head(200, "server-leaving", "0").is_leaving);
}
