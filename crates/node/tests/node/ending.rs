//! Answers of endpoints that end with their connection.

use rstest::rstest;

use crate::answers::Received;
use crate::answers::call_answered_with;

/// Calls an endpoint that sends this text after the head and closes the connection.
async fn received(content_type: &str, text: &str, is_model: bool) -> Received {
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\nconnection: close\r\n\r\n{text}"
    );
    call_answered_with(answer, is_model).await
}

macro_rules! closed {
    ($($name:ident: $kind:literal, $text:literal, model $is_model:literal => $is_complete:literal;)*) => {
        #[rstest]
        $(#[case::$name($kind, $text, $is_model, $is_complete)])*
        fn an_answer_that_ends_with_its_connection_is_complete_only_if_it_is_whole(
            #[case] kind: &str,
            #[case] text: &str,
            #[case] is_model: bool,
            #[case] is_complete: bool,
        ) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the runtime starts");
            let received = runtime.block_on(received(kind, text, is_model));
            assert_eq!(received.is_complete, is_complete);
            assert_eq!(received.reported_complete, is_complete);
        }
    };
}

closed! {
    service_stream: "text/event-stream", "data: a\n\n", model false => true;
    service_stream_inside_an_event: "text/event-stream", "data: a\n\ndata", model false => false;
    service_stream_without_an_event: "text/event-stream", "", model false => false;
    model_stream: "text/event-stream", "data: a\n\ndata: [DONE]\n\n", model true => true;
    model_stream_without_its_end: "text/event-stream", "data: a\n\n", model true => false;
    model_answer: "application/json", "{\"choices\": []}", model true => true;
    model_answer_in_part: "application/json", "{\"choices\": [", model true => false;
}
