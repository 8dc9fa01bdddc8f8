//! Tests of what ends a body by its head.

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rstest::rstest;
use woadstage_body::framing::Error;
use woadstage_body::framing::Framing;

const LENGTH: HeaderName = header::CONTENT_LENGTH;
const CODING: HeaderName = header::TRANSFER_ENCODING;

fn answer(fields: &[(HeaderName, &'static str)]) -> Response<()> {
    let mut answer = Response::new(());
    for (name, value) in fields {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a field's value");
        answer.headers_mut().append(name, value);
    }
    answer
}

fn framing_of(fields: &[(HeaderName, &'static str)]) -> Result<Framing, Error> {
    Framing::try_of(&Method::POST, &answer(fields))
}

macro_rules! framings {
    ($($name:ident: $fields:expr => $framing:expr;)*) => {
        #[rstest]
        $(#[case::$name(&$fields, $framing)])*
        fn a_legal_head_tells_what_ends_the_body(
            #[case] fields: &[(HeaderName, &'static str)],
            #[case] expected: Framing,
        ) {
            assert_eq!(framing_of(fields), Ok(expected));
        }
    };
}

framings! {
    neither: [] => Framing::Connection;
    length: [(LENGTH, "42")] => Framing::Length(42);
    no_bytes: [(LENGTH, "0")] => Framing::Length(0);
    leading_zeros: [(LENGTH, "0042")] => Framing::Length(42);
    equal_lengths: [(LENGTH, "42"), (LENGTH, "42")] => Framing::Length(42);
    list_of_equal_lengths: [(LENGTH, "42, 42")] => Framing::Length(42);
    chunks: [(CODING, "chunked")] => Framing::Chunks;
    chunks_in_other_case: [(CODING, "Chunked")] => Framing::Chunks;
}

macro_rules! faults {
    ($($name:ident: $fields:expr;)*) => {
        #[rstest]
        $(#[case::$name(&$fields)])*
        fn a_head_that_leaves_the_end_of_the_body_open_is_rejected(
            #[case] fields: &[(HeaderName, &'static str)],
        ) {
            assert!(framing_of(fields).is_err());
        }
    };
}

faults! {
    no_number: [(LENGTH, "x")];
    empty_length: [(LENGTH, "")];
    sign: [(LENGTH, "+42")];
    blank_within: [(LENGTH, "4 2")];
    too_large: [(LENGTH, "18446744073709551616")];
    no_text: [(LENGTH, "\u{e9}")];
    other_lengths: [(LENGTH, "42"), (LENGTH, "3")];
    list_of_other_lengths: [(LENGTH, "42, 3")];
    list_with_an_empty_length: [(LENGTH, "42,")];
    misspelt_coding: [(CODING, "chunke")];
    empty_coding: [(CODING, "")];
    other_coding: [(CODING, "gzip")];
    coding_before_chunks: [(CODING, "gzip, chunked")];
    coding_after_chunks: [(CODING, "chunked, gzip")];
    chunks_twice: [(CODING, "chunked"), (CODING, "chunked")];
    other_coding_in_another_field: [(CODING, "identity"), (CODING, "chunked")];
    length_beside_chunks: [(LENGTH, "42"), (CODING, "chunked")];
    no_number_beside_chunks: [(LENGTH, "x"), (CODING, "chunked")];
}

#[test]
fn chunks_are_unknown_to_http_10() {
    let mut answer = answer(&[(CODING, "chunked")]);
    *answer.version_mut() = Version::HTTP_10;
    let framing = Framing::try_of(&Method::POST, &answer);
    assert_eq!(framing, Err(Error::Coding("chunked".to_owned())));
}

#[rstest]
#[case::to_head(Method::HEAD, 200)]
#[case::no_content(Method::POST, 204)]
#[case::not_modified(Method::GET, 304)]
fn an_answer_without_a_body_ends_with_its_head(#[case] method: Method, #[case] status: u16) {
    let mut answer = answer(&[(LENGTH, "42")]);
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status");
    assert_eq!(Framing::try_of(&method, &answer), Ok(Framing::Head));
}

#[rstest]
fn only_a_final_status_makes_an_answer(#[values(100, 101, 199, 600, 999)] status: u16) {
    let mut answer = answer(&[(LENGTH, "42")]);
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status");
    let framing = Framing::try_of(&Method::POST, &answer);
    assert_eq!(framing, Err(Error::Status(answer.status())));
}
