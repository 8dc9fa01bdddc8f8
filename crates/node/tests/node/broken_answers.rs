//! Answers of endpoints whose head is broken.

use rstest::rstest;

use crate::answers::call_answered_with;

macro_rules! broken {
    ($($name:ident: $status:literal, $fields:literal, $body:literal;)*) => {
        /// Guards against broken answers that are relayed as successes.
        #[rstest]
        $(#[case::$name($status, $fields, $body)])*
        fn a_broken_answer_is_not_relayed(
            #[case] status: &str,
            #[case] fields: &str,
            #[case] body: &str,
        ) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the runtime starts");
            let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}");
            let received = runtime.block_on(call_answered_with(answer, false));
            assert!(!received.is_complete && !received.reported_complete);
        }
    };
}

broken! {
    misspelt_coding: "200 OK", "transfer-encoding: chunke", "4\r\nfine\r\n0\r\n\r\n";
    other_coding: "200 OK", "transfer-encoding: gzip", "fine";
    coding_before_chunks: "200 OK", "transfer-encoding: gzip, chunked", "4\r\nfine\r\n0\r\n\r\n";
    length_beside_chunks: "200 OK", "content-length: 3\r\ntransfer-encoding: chunked", "4\r\nfine\r\n0\r\n\r\n";
    no_length: "200 OK", "content-length: x", "fine";
    no_field: "200 OK", "no field\r\ncontent-length: 4", "fine";
    blank_in_a_name: "200 OK", "na me: x\r\ncontent-length: 4", "fine";
    status_000: "000 None", "content-length: 4", "fine";
    status_999: "999 None", "content-length: 4", "fine";
}
