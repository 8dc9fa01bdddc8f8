//! Tests that attempts at the same request share a fingerprint and different requests do
//! not.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;

/// Sends a request and returns the fingerprint logged when it was admitted.
async fn fingerprint(gateway: &Gateway, id: &str, path: &str, body: &str) -> String {
    let mut caller = Caller::connect(gateway).await;
    caller.request(id, path, body).await;
    caller.answer().await;
    let line = gateway.wait_for_line(&["\"accepted\"", id]).await;
    let line: serde_json::Value = serde_json::from_str(&line).expect("a line of the log");
    line["fingerprint"]
        .as_str()
        .expect("a fingerprint")
        .to_owned()
}

#[rstest]
#[case::same_request("/once/x", "a body", true)]
#[case::another_path("/once/y", "a body", false)]
#[case::another_query("/once/x?a=1", "a body", false)]
#[case::another_body("/once/x", "a longer body", false)]
#[case::no_body("/once/x", "", false)]
fn attempts_at_the_same_request_share_a_fingerprint(
    #[case] path: &'static str,
    #[case] body: &'static str,
    #[case] same: bool,
) {
    run(move || async move {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let one = fingerprint(&gateway, "first-id", "/once/x", "a body").await;
        let other = fingerprint(&gateway, "second-id", path, body).await;
        assert_eq!(one == other, same);
    });
}

/// Only the beginning of a body that is too long to be buffered goes into the fingerprint,
/// with the length.
#[test]
fn a_long_body_is_fingerprinted_by_its_beginning_and_length() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let long = "a".repeat(400 << 10);
        let longer = "a".repeat((400 << 10) + 1);
        let one = fingerprint(&gateway, "first-id", "/once/x", &long).await;
        let same = fingerprint(&gateway, "second-id", "/once/x", &long).await;
        let other = fingerprint(&gateway, "third-id", "/once/x", &longer).await;
        assert_eq!(one, same);
        assert_ne!(one, other);
    });
}
