//! A stand-in for a client: PROTOCOL.md, "Requests" and "Answers".

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::http;

/// What a client saw of an answer.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// The status, or 0 if the connection ended before an answer.
    pub status: u16,
    /// The fields of the head.
    pub head: http::Head,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body was whole.
    pub is_whole: bool,
}

/// Sends one request on a new connection and reads its answer. Gives up when nothing comes for as
/// long as `patience`, or at `until`.
pub fn send(address: &str, request: &str, patience: Duration, until: Option<Instant>) -> Seen {
    let mut seen = Seen::default();
    // What came before an error stays in `seen`.
    let _ = try_send(address, request, patience, until, &mut seen);
    seen
}

fn try_send(
    address: &str,
    request: &str,
    patience: Duration,
    until: Option<Instant>,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(());
    };
    seen.status = head.status();
    seen.head = head.clone();
    if head.field("transfer-encoding").is_some() {
        while let Some(chunk) = http::read_chunk(&mut reader)? {
            seen.body.extend(chunk);
            if until.is_some_and(|until| Instant::now() >= until) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    } else {
        seen.body = http::read_body(&mut reader, &head)?;
    }
    seen.is_whole = true;
    Ok(())
}

/// Returns the status of a page.
pub fn get(address: &str, path: &str) -> io::Result<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let seen = send(address, &request, Duration::from_secs(1), None);
    Ok(seen.status)
}

/// Builds a streaming request for an engine. `taken_up` names the last event and the attempt that
/// brought the first one, if a stream is taken up.
pub fn stream_request(
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    taken_up: Option<(u32, &str)>,
) -> String {
    let (host, key) = (fleet::HOST, fleet::KEY);
    let taken_up =
        taken_up.map(|(last, first)| format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"));
    let taken_up = taken_up.unwrap_or_default();
    let body = format!("{{\"prompt\":\"{attempt}\"}}");
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Count: 300,80\r\nX-Prefix-Hash: {attempt}:300\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         {taken_up}Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the ids of the whole events in a body.
pub fn event_ids(body: &[u8]) -> Vec<u32> {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Builds a request of a plain service.
pub fn plain_request(path: &str, attempt: &str, deadline_ms: u64) -> String {
    let (host, key) = (fleet::HOST, fleet::KEY);
    let body = format!("{{\"order\":\"{attempt}\"}}");
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
