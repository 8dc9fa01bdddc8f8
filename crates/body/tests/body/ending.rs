//! Tests of telling a body that ended from one that broke off.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderValue;
use rstest::rstest;
use woadstage_body::ending::Cause;
use woadstage_body::ending::Ending;
use woadstage_body::ending::Reception;
use woadstage_body::ending::is_event_stream;
use woadstage_body::framing::Framing;

macro_rules! ends {
    ($($name:ident: $framing:expr, $is_stream:expr, $text:expr => $expected:expr;)*) => {
        #[rstest]
        $(#[case::$name($framing, $is_stream, $text, $expected)])*
        fn ends_are_told_apart(
            #[case] framing: Framing,
            #[case] is_stream: bool,
            #[case] text: &str,
            #[case] expected: Ending,
        ) {
            let mut reception = Reception::new(framing, is_stream);
            for byte in text.as_bytes() {
                reception.push(&[*byte]);
            }
            assert_eq!(reception.end(), expected);
        }
    };
}

ends! {
    plain_with_length: Framing::Length(6), false, "answer" => Ending::Stated;
    plain_in_chunks: Framing::Chunks, false, "answer" => Ending::Stated;
    plain_until_close: Framing::Connection, false, "answer" => Ending::Closed;
    empty_until_close: Framing::Connection, false, "" => Ending::Closed;
    stream_in_chunks: Framing::Chunks, true, "data: a\n\n" => Ending::Stated;
    stream_until_close: Framing::Connection, true, "data: a\n\n" => Ending::Closed;
    stream_closed_inside_event: Framing::Connection, true, "data: a\n\ndata" => Ending::BrokenOff(Cause::InsideEvent);
    stream_in_chunks_inside_event: Framing::Chunks, true, "data: a\n" => Ending::BrokenOff(Cause::InsideEvent);
    stream_closed_before_first_event: Framing::Connection, true, ": comment\n" => Ending::BrokenOff(Cause::NoEvent);
    empty_stream_in_chunks: Framing::Chunks, true, "" => Ending::Stated;
}

#[test]
fn only_a_stated_end_allows_another_message_on_the_connection() {
    let reuse = |framing| Reception::new(framing, false).end().may_reuse_connection();
    assert!(reuse(Framing::Length(6)) && reuse(Framing::Chunks));
    assert!(!reuse(Framing::Connection));
}

fn with(name: header::HeaderName, value: &'static str) -> HeaderMap {
    HeaderMap::from_iter([(name, HeaderValue::from_static(value))])
}

#[test]
fn streams_of_events_are_recognised_by_their_content_type() {
    assert!(is_event_stream(&with(
        header::CONTENT_TYPE,
        "Text/Event-Stream; charset=utf-8"
    )));
    assert!(!is_event_stream(&with(
        header::CONTENT_TYPE,
        "application/json"
    )));
    assert!(!is_event_stream(&HeaderMap::new()));
}
