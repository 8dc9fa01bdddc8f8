//! Decides from the head of a message what ends its body (RFC 9112, 6.3).
//!
//! Where an answer states a transfer coding that the HTTP library doesn't know, it reads on to the end of
//! the connection, and it prefers chunks to a length beside them. Bodies found so are not those that
//! were sent, so that such heads are rejected before a byte of the body is passed on.

use std::fmt;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderValue;

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The head: an answer with this status, or to this method, has no body.
    Head,
    /// Its length in bytes.
    Length(u64),
    /// A last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

/// Why an answer can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The status is none of a final answer (RFC 9110, 15).
    Status(StatusCode),
    /// The transfer coding is not `chunked` alone, or stated where it may not be.
    Coding(String),
    /// The length is no number, or several.
    Length(String),
    /// A length is stated beside a transfer coding.
    LengthBesideCoding,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Status(status) => write!(f, "invalid status {}", status.as_u16()),
            Error::Coding(coding) => write!(f, "invalid transfer coding {coding:?}"),
            Error::Length(length) => write!(f, "invalid content length {length:?}"),
            Error::LengthBesideCoding => f.write_str("content length beside a transfer coding"),
        }
    }
}

impl std::error::Error for Error {}

impl Framing {
    /// Returns the framing of the answer to a request with this method.
    ///
    /// # Errors
    /// If the head leaves open what ends the body, or its status is none of a final answer. What
    /// follows the head is then not known to be the body.
    pub fn try_of<B>(method: &Method, answer: &Response<B>) -> Result<Framing, Error> {
        let status = answer.status();
        let is_final = (200..600).contains(&status.as_u16());
        if !is_final {
            return Err(Error::Status(status));
        }
        let headers = answer.headers();
        let is_chunked = is_chunked(headers)?;
        let length = length_opt(headers)?;
        if is_chunked && answer.version() < Version::HTTP_11 {
            return Err(Error::Coding(join(headers, &header::TRANSFER_ENCODING)));
        }
        let is_without_body = *method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match length {
            Some(_) if is_chunked => Err(Error::LengthBesideCoding),
            _ if is_without_body => Ok(Framing::Head),
            Some(length) => Ok(Framing::Length(length)),
            None if is_chunked => Ok(Framing::Chunks),
            None => Ok(Framing::Connection),
        }
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Head => "head",
            Framing::Length(_) => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Whether a message has a body in chunks.
///
/// # Errors
/// If it states any transfer coding but `chunked`, or that more than once.
pub fn is_chunked(headers: &HeaderMap) -> Result<bool, Error> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::Coding(join(headers, &header::TRANSFER_ENCODING))),
    }
}

/// Returns the length that a message states, if it does. It may be stated several times.
///
/// # Errors
/// If it is no number of bytes, or lengths differ.
pub fn length_opt(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let error = || Error::Length(join(headers, &header::CONTENT_LENGTH));
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for length in value.as_bytes().split(|byte| *byte == b',') {
            let length = parse_length_opt(length).ok_or_else(error)?;
            if *stated.get_or_insert(length) != length {
                return Err(error());
            }
        }
    }
    Ok(stated)
}

fn parse_length_opt(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    // The number's own parser takes a sign.
    let is_number = digits.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(digits).ok().filter(|_| is_number)?;
    digits.parse().ok()
}

/// Returns the values of a field for a message to operators.
fn join(headers: &HeaderMap, name: &header::HeaderName) -> String {
    let values = headers.get_all(name).iter().map(HeaderValue::as_bytes);
    let values: Vec<_> = values.map(String::from_utf8_lossy).collect();
    values.join(", ")
}
