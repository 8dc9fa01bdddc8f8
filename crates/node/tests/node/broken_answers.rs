//! Answers of endpoints whose head is broken.

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use woadstage_node::driver::Work;
use woadstage_node::endpoints;

use crate::answers::Received;
use crate::answers::call_with;

/// Calls a service that answers with these fields and this body, and closes the connection.
async fn received(status: &str, fields: &str, body: &str) -> Received {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}");
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    let work = Work {
        method: "POST".into(),
        path: "/x".into(),
        content_type: None,
        body: "body".into(),
        is_model: false,
        is_stream: false,
    };
    let received = call_with(endpoints::Client::new(), address.into(), 0, work).await;
    serving.await.expect("the endpoint ends");
    received
}

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
            let received = runtime.block_on(received(status, fields, body));
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
