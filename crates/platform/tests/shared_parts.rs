//! Which parts of a prompt other requests may share.

use comfreymast_platform::RequestHead;
use hyper::Request;

fn shared_parts(prefix: &str) -> Vec<String> {
    let request = Request::get("/x")
        .header("host", "h")
        .header("x-attempt-id", "a")
        .header("x-prompt-prefix", prefix)
        .body(())
        .expect("a request");
    let head = RequestHead::decode(&request.into_parts().0).expect("a head");
    head.shared_parts.iter().map(ToString::to_string).collect()
}

#[test]
fn all_parts_but_the_last_are_shared_also_without_token_counts() {
    assert_eq!(shared_parts("5c1e07a2:800, 91BD3f06:410 ,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    assert_eq!(shared_parts("5c1e07a2:800"), Vec::<String>::new());
    assert_eq!(shared_parts(""), Vec::<String>::new());
}

#[test]
fn a_malformed_entry_does_not_change_which_part_is_the_last() {
    assert_eq!(shared_parts("aa:1,bb:many,cc"), ["aa", "bb"]);
    assert_eq!(shared_parts("aa:1,bb:2,"), ["aa", "bb"]);
    assert_eq!(shared_parts("aa:1,,bb:2"), ["aa"]);
    let long = "f".repeat(40);
    assert_eq!(shared_parts(&format!("{long}:1,bb:2")), [long]);
}

#[test]
fn one_part_has_one_spelling() {
    assert_eq!(shared_parts("00aB:1,ab:2,AB:3,x:4"), ["ab"]);
    assert_eq!(shared_parts("000:1,0:2,x:3"), ["0"]);
}

#[test]
fn the_number_of_parts_is_bounded() {
    let prefix: Vec<_> = (1..400).map(|id| format!("{id:x}:1")).collect();
    assert_eq!(shared_parts(&prefix.join(",")).len(), 128);
}
