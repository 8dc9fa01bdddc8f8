//! HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// The first line and the header fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub first: String,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path with its query, in the head of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status, in the head of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read of it and not used yet.
pub struct Connection {
    /// The connection.
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

impl Connection {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Connection {
        // A failure only adds latency.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffered: Vec::new(),
        }
    }

    /// Reads more. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let read = self.stream.read(&mut buffer)?;
        self.buffered.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the connection ends before it is complete.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let mut windows = self.buffered.windows(4);
            if let Some(end) = windows.position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
                self.buffered.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields =
                    fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    fields: fields.collect(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads exactly this many bytes; `None` if the connection ends before.
    fn read_exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffered.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffered.drain(..count).collect()))
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            let mut windows = self.buffered.windows(2);
            if let Some(end) = windows.position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
                self.buffered.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a body. Returns its bytes and whether it is complete, as its framing tells. `part` is
    /// called with each part as it arrives.
    pub fn read_body(&mut self, head: &Head, mut part: impl FnMut(&[u8])) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        let is_chunked = head.get("transfer-encoding").is_some();
        let length = head.get("content-length");
        let length: Option<usize> = length.and_then(|text| text.parse().ok());
        if is_chunked {
            loop {
                let Ok(Some(line)) = self.read_line() else {
                    return (body, false);
                };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                    return (body, false);
                };
                let Ok(Some(chunk)) = self.read_exactly(size + 2) else {
                    return (body, false);
                };
                if size == 0 {
                    return (body, true);
                }
                part(&chunk[..size]);
                body.extend_from_slice(&chunk[..size]);
            }
        }
        if let Some(length) = length {
            return match self.read_exactly(length) {
                Ok(Some(whole)) => {
                    part(&whole);
                    (whole, true)
                }
                _ => (std::mem::take(&mut self.buffered), false),
            };
        }
        let is_request = !head.first.starts_with("HTTP/");
        if is_request || matches!(head.status(), 204 | 304) {
            return (body, true);
        }
        loop {
            let read = std::mem::take(&mut self.buffered);
            part(&read);
            body.extend_from_slice(&read);
            match self.fill() {
                Ok(true) => {}
                Ok(false) => return (body, true),
                Err(_) => return (body, false),
            }
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
