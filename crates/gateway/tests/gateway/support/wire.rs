//! Reads and writes HTTP/1 heads, bodies and chunks as text.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Replaces `{id}` in a response by the id of the request with this head.
pub fn insert_request_id(text: &str, head: &str) -> String {
    text.replace("{id}", field(head, "woadstage-request").unwrap_or(""))
}

/// Returns the value of a header field.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head
        .split("\r\n")
        .skip(1)
        .take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(':'));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name))?;
    Some(found.1.trim())
}

/// Reads a head, or returns `None` if the stream ends before. Bytes after the head stay in `buffer`.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads the body that a head announces, or as much of it as arrives before the stream ends.
pub async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> String {
    let length: usize = field(head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let chunked = field(head, "transfer-encoding").is_some();
    let is_complete = |buffer: &[u8]| match chunked {
        true => buffer.ends_with(b"0\r\n\r\n"),
        false => buffer.len() >= length,
    };
    while !is_complete(buffer) {
        if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
            break;
        }
    }
    let end = if chunked {
        buffer.len()
    } else {
        length.min(buffer.len())
    };
    String::from_utf8_lossy(&buffer.drain(..end).collect::<Vec<u8>>()).into_owned()
}

/// Returns a response with a `content-length`.
pub fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nwoadstage-request: {{id}}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of a response with a chunked body.
pub fn chunked_head() -> String {
    "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n"
        .into()
}

/// Returns the head of a response whose body ends with the connection.
pub fn closing_head() -> String {
    "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-type: text/event-stream\r\n\
     connection: close\r\n\r\n"
        .into()
}

/// Encodes one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
