//! A stand-in for a client.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Head;

/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// The head; `None` if there was no answer.
    pub head: Option<Head>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body is complete, as its framing tells.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the status, 0 without an answer.
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    /// Returns the signature of the worker.
    pub fn seal(&self) -> &str {
        let head = self.head.as_ref();
        head.and_then(|head| head.get("x-server-seal"))
            .unwrap_or("none")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request over a new connection and reads the answer.
pub fn send(node: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> Answer {
    exchange(node, method, path, id, deadline_ms, "").unwrap_or_default()
}

/// Takes up a stream after its last event.
pub fn take_up(
    node: SocketAddr,
    path: &str,
    id: &str,
    deadline_ms: u64,
    resumes: &str,
    last: u32,
) -> Answer {
    let fields = format!("Last-Event-Id: {last}\r\nResumes: {resumes}\r\n");
    exchange(node, "POST", path, id, deadline_ms, &fields).unwrap_or_default()
}

fn exchange(
    node: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    fields: &str,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
    let mut connection = Connection::new(stream);
    let body = format!("body of {id}");
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let body = if length.is_empty() { "" } else { &body };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{fields}{length}\r\n{body}"
    );
    connection.write(request.as_bytes())?;
    let head = connection.read_head()?;
    let Some(head) = head else {
        return Ok(Answer::default());
    };
    let (body, is_complete) = connection.read_body(&head, |_| {});
    Ok(Answer {
        head: Some(head),
        body,
        is_complete,
    })
}

/// Sends a request with a body of this length, and closes the connection after a time if no answer
/// came. Returns the answer, if it did.
pub fn send_and_leave(
    node: SocketAddr,
    path: &str,
    id: &str,
    length: usize,
    deadline_ms: u64,
    stay_ms: u64,
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    let stay = Some(Duration::from_millis(stay_ms));
    stream.set_read_timeout(stay).ok()?;
    stream.set_write_timeout(stay).ok()?;
    let mut connection = Connection::new(stream);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    connection.write(request.as_bytes()).ok()?;
    connection.write(&vec![b'x'; length]).ok()?;
    let head = connection.read_head().ok()??;
    let (body, is_complete) = connection.read_body(&head, |_| {});
    Some(Answer {
        head: Some(head),
        body,
        is_complete,
    })
}

/// Sends a request with a body of this length, in chunks or not, and reads the answer.
pub fn send_body(
    node: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    length: usize,
    is_chunked: bool,
) -> Answer {
    let sent = || -> io::Result<Answer> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(9)))?;
        let mut connection = Connection::new(stream);
        let framing = match is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {length}"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        let body = vec![b'x'; length];
        for chunk in body.chunks(16_384) {
            if is_chunked {
                connection.write(format!("{:x}\r\n", chunk.len()).as_bytes())?;
            }
            connection.write(chunk)?;
            if is_chunked {
                connection.write(b"\r\n")?;
            }
        }
        if is_chunked {
            connection.write(b"0\r\n\r\n")?;
        }
        let Some(head) = connection.read_head()? else {
            return Ok(Answer::default());
        };
        let (body, is_complete) = connection.read_body(&head, |_| {});
        Ok(Answer {
            head: Some(head),
            body,
            is_complete,
        })
    };
    sent().unwrap_or_default()
}
