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
    status_00: "00 None", "content-length: 4", "fine";
    status_0: "0 None", "content-length: 4", "fine";
    status_0000: "0000 None", "content-length: 4", "fine";
    status_099: "099 None", "content-length: 4", "fine";
    status_with_sign: "+200 OK", "content-length: 4", "fine";
    status_with_blank: "2 00 OK", "content-length: 4", "fine";
    status_999: "999 None", "content-length: 4", "fine";
}

/// Guards against answers with a part of a head that are relayed as successes.
#[rstest]
#[case::length("content-length: 4")]
#[case::length_of_none("content-length: 0")]
#[case::chunks("transfer-encoding: chunked")]
#[case::connection("connection: close")]
#[case::interim_answer_before("link: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4")]
fn an_answer_whose_head_is_cut_is_not_relayed(
    #[case] fields: &str,
    #[values(false, true)] is_model: bool,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let status = if fields.starts_with("link") {
        "103 Early Hints"
    } else {
        "200 OK"
    };
    let head = format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n");
    for length in 0..head.len() {
        let received = runtime.block_on(call_answered_with(head[..length].to_owned(), is_model));
        assert!(
            !received.is_complete && !received.reported_complete,
            "{length}: {head:?}"
        );
    }
}
