//! Tests of telling a body that ended from one that broke off.

use bytes::Bytes;
use http_body_util::Empty;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::body::Frame;
use hyper::header;
use hyper::header::HeaderValue;
use rstest::rstest;
use woadstage_body::ending::Cause;
use woadstage_body::ending::Ending;
use woadstage_body::ending::Framing;
use woadstage_body::ending::Reception;
use woadstage_body::ending::is_event_stream;

macro_rules! ends {
    ($($name:ident: $framing:ident, $is_stream:expr, $text:expr => $expected:expr;)*) => {
        #[rstest]
        $(#[case::$name(Framing::$framing, $is_stream, $text, $expected)])*
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
    plain_with_length: Length, false, "answer" => Ending::Stated;
    plain_in_chunks: Chunks, false, "answer" => Ending::Stated;
    plain_until_close: Connection, false, "answer" => Ending::Closed;
    empty_until_close: Connection, false, "" => Ending::Closed;
    stream_in_chunks: Chunks, true, "data: a\n\n" => Ending::Stated;
    stream_until_close: Connection, true, "data: a\n\n" => Ending::Closed;
    stream_closed_inside_event: Connection, true, "data: a\n\ndata" => Ending::BrokenOff(Cause::InsideEvent);
    stream_in_chunks_inside_event: Chunks, true, "data: a\n" => Ending::BrokenOff(Cause::InsideEvent);
    stream_closed_before_first_event: Connection, true, ": comment\n" => Ending::BrokenOff(Cause::NoEvent);
    empty_stream_in_chunks: Chunks, true, "" => Ending::Stated;
}

#[test]
fn only_a_stated_end_allows_another_message_on_the_connection() {
    let reuse = |framing| Reception::new(framing, false).end().may_reuse_connection();
    assert!(reuse(Framing::Length) && reuse(Framing::Chunks));
    assert!(!reuse(Framing::Connection));
}

fn with(name: header::HeaderName, value: &'static str) -> HeaderMap {
    HeaderMap::from_iter([(name, HeaderValue::from_static(value))])
}

#[test]
fn the_framing_follows_from_the_head() {
    let open = || StreamBody::new(futures_util::stream::pending::<Result<Frame<Bytes>, String>>());
    let chunked = with(header::TRANSFER_ENCODING, "chunked");
    assert_eq!(Framing::of(&chunked, &open()), Framing::Chunks);
    let length = with(header::CONTENT_LENGTH, "6");
    assert_eq!(Framing::of(&length, &open()), Framing::Length);
    assert_eq!(Framing::of(&HeaderMap::new(), &open()), Framing::Connection);
    assert_eq!(
        Framing::of(&HeaderMap::new(), &Empty::<Bytes>::new()),
        Framing::Length
    );
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
