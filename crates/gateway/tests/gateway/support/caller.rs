//! A caller that works on raw bytes.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::Gateway;
use super::KEY;
use super::wire::field;
use super::wire::read_body;
use super::wire::read_head;

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A response as the caller received it.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body, with chunks joined.
    pub body: String,
    /// Whether the body was complete before the connection ended.
    pub is_complete: bool,
}

impl Caller {
    /// Connects to a gateway.
    pub async fn connect(gateway: &Gateway) -> Caller {
        let stream = TcpStream::connect(gateway.address)
            .await
            .expect("the gateway accepts connections");
        Caller {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects to an address, if something listens there.
    pub async fn try_connect(address: SocketAddrV4) -> Option<Caller> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Caller {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends raw text.
    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gateway accepts data");
    }

    /// Sends raw text. Returns whether the gateway accepted all of it.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Sends a request with a valid key and an id.
    pub async fn request(&mut self, id: &str, path: &str, body: &str) {
        let length = body.len();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: 20000\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
        .await;
    }

    /// Like [`Caller::request`] without a body, with a timeout of the caller.
    pub async fn request_within(&mut self, id: &str, path: &str, timeout: Duration) {
        let timeout_ms = timeout.as_millis();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: {timeout_ms}\r\ncontent-length: 0\r\n\r\n"
        ))
        .await;
    }

    /// Sends a request of a stream, with a valid key, an id and the parts of its prompt.
    pub async fn prompt(&mut self, id: &str, path: &str, parts: &str) {
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: 20000\r\nwoadstage-tokens: 100,10\r\n\
             woadstage-prompt-parts: {parts}\r\ncontent-length: 0\r\n\r\n"
        ))
        .await;
    }

    /// Takes up the stream that another request began, after an event.
    pub async fn take_up(&mut self, id: &str, resumes: Option<&str>, last_event: &str) {
        let length = id.len();
        let resumes = resumes.map_or_else(String::new, |id| format!("woadstage-resumes: {id}\r\n"));
        self.send(&format!(
            "POST /resumable/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: 5000\r\n{resumes}\
             last-event-id: {last_event}\r\ncontent-length: {length}\r\n\r\n{id}"
        ))
        .await;
    }

    /// Sends a request of HTTP/1.0 with a valid key and an id.
    pub async fn request_over_http_10(&mut self, id: &str, path: &str) {
        self.send(&format!(
            "POST {path} HTTP/1.0\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: 20000\r\ncontent-length: 0\r\n\r\n"
        ))
        .await;
    }

    /// Reads until the connection ends. Returns what was read, and whether the end was orderly.
    pub async fn read_to_end(&mut self) -> (String, bool) {
        let end = loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) => break true,
                Ok(_) => {}
                Err(_) => break false,
            }
        };
        (String::from_utf8_lossy(&self.buffer).into_owned(), end)
    }

    /// Reads a head; none if the connection ends first.
    pub async fn head(&mut self) -> Option<String> {
        read_head(&mut self.stream, &mut self.buffer).await
    }

    /// Reads until the received text contains `text`, and returns and clears that text.
    pub async fn read_until(&mut self, text: &str) -> String {
        loop {
            let all = String::from_utf8_lossy(&self.buffer).into_owned();
            if all.contains(text) {
                self.buffer.clear();
                return all;
            }
            let read = self.stream.read_buf(&mut self.buffer).await.unwrap_or(0);
            assert!(read > 0, "the connection ended before {text:?}: {all:?}");
        }
    }

    /// Reads a response.
    pub async fn answer(&mut self) -> Response {
        let head = self.head().await.expect("an answer");
        let status = head[9..12].parse().expect("a status");
        let (body, is_complete) = match field(&head, "transfer-encoding") {
            Some(_) => self.read_chunked_body().await,
            None => {
                let length: usize = field(&head, "content-length")
                    .map_or(0, |text| text.parse().expect("a numeric length"));
                let body = read_body(&mut self.stream, &mut self.buffer, &head).await;
                let is_complete = body.len() == length;
                (body, is_complete)
            }
        };
        Response {
            status,
            head,
            body,
            is_complete,
        }
    }

    async fn read_chunked_body(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let Some(line) = self.read_line().await else {
                return (body, false);
            };
            let length = usize::from_str_radix(line.trim(), 16).expect("a chunk length");
            let Some(data) = self.read_exact(length + 2).await else {
                return (body, false);
            };
            if length == 0 {
                return (body, true);
            }
            body.push_str(&data[..length]);
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            if self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0 {
                return None;
            }
        };
        self.read_exact(end + 2).await
    }

    async fn read_exact(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0 {
                return None;
            }
        }
        Some(
            String::from_utf8_lossy(&self.buffer.drain(..length).collect::<Vec<u8>>()).into_owned(),
        )
    }

    /// Waits for more data. Returns true if the gateway has closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0
    }
}
