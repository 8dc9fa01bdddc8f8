//! Endpoints that send bytes without end: what bounds what a node reads and keeps of them.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunked_head;
use crate::support::run;

/// What the buffers of the kernel take of a connection, and the node's on top: far less than an
/// endpoint writes in the time of a request if nothing bounds it.
const MAX_BYTES: usize = 32 << 20;

fn head(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nwoadstage-request: {{id}}\r\n{fields}")
}

fn chunked(rest: &str) -> String {
    head(&format!("transfer-encoding: chunked\r\n\r\n{rest}"))
}

/// Guards against an endpoint whose bytes without end take a node's memory or hold its caller.
#[rstest]
#[case::field_without_end("/once/x", head("x-filler: "), 502)]
#[case::no_answer("/once/x", "fizz".to_owned(), 502)]
#[case::after_the_answer("/once/x", answer("200 OK", "fine"), 200)]
#[case::chunk_extension_without_end("/once/x", chunked("4;"), 0)]
#[case::trailer_without_end("/once/x", chunked("0\r\nx-filler: "), 0)]
#[case::body_until_the_connection_ends("/once/x", head("\r\n"), 0)]
#[case::chunk_without_end("/once/x", chunked("ffffffffffff\r\n"), 0)]
#[case::event_without_end("/resumable/x", chunked_head() + "ffffffffffff\r\ndata: ", 0)]
fn bytes_without_end_are_bounded(
    #[case] path: &'static str,
    #[case] begun: String,
    #[case] status: u16,
) {
    run(move || async move {
        let worker = Worker::start("e", vec![Action::Flood(begun)]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(&format!(
                "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\nwoadstage-timeout-ms: 900\r\ncontent-length: 0\r\n\r\n"
            ))
            .await;
        // The caller reads nothing until the endpoint's connection has ended.
        worker.connection_closed.notified().await;
        assert!(
            worker.flooded.get() <= MAX_BYTES,
            "{}",
            worker.flooded.get()
        );
        match status {
            // The answer had begun: the caller must not take it for a whole one.
            0 => {
                let (text, _) = caller.read_to_end().await;
                assert!(!text.ends_with("0\r\n\r\n"));
            }
            status => assert_eq!(caller.answer().await.status, status),
        }
    });
}
