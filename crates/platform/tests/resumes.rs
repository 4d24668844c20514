//! Which attempt a caller's request takes up.

use comfreymast_platform::{RequestHead, Resumes};
use hyper::Request;

fn resumes(values: &[&[u8]]) -> Resumes {
    let mut request = Request::get("/x").header("host", "h").header("x-attempt-id", "a");
    for value in values {
        request = request.header("resumes", *value);
    }
    let request = request.body(()).expect("a request");
    RequestHead::decode(&request.into_parts().0).expect("a head").resumes
}

#[test]
fn one_named_attempt_is_taken_up_and_several_are_ambiguous() {
    assert_eq!(resumes(&[]), Resumes::Nothing);
    assert_eq!(resumes(&[b" 9c41 "]), Resumes::Attempt("9c41".into()));
    assert_eq!(resumes(&[b"9c41", b"9c41"]), Resumes::Ambiguous);
    assert_eq!(resumes(&[b"\xff\xfe"]), Resumes::Ambiguous);
}
