//! A stand-in for a worker, run as a process of its own, which names each request that it runs in
//! a log.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;

/// The number of events in a stream.
pub const EVENTS: u32 = 40;

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// The number of parts of a plain answer, and the time between two of them.
const PARTS: u32 = 4;
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// How a worker is started: `worker ID VERSION ADDRESS LOG FRAMING`.
pub struct Worker {
    id: String,
    version: String,
    log: File,
    /// Whether answers state neither a length nor chunks.
    is_unframed: bool,
}

/// Serves requests until the process is killed.
pub fn run(arguments: &[String]) {
    let [id, version, address, log, framing] = arguments else {
        panic!("worker ID VERSION ADDRESS LOG FRAMING");
    };
    let log = File::options().create(true).append(true).open(log);
    let worker = Arc::new(Worker {
        id: id.clone(),
        version: version.clone(),
        log: log.expect("a log"),
        is_unframed: framing == "unframed",
    });
    let listener = TcpListener::bind(address).expect("a free port");
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(Connection::new(stream)));
    }
}

impl Worker {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            if let Some(id) = head.get("x-attempt-id") {
                self.record(&format!("receives {id}"));
            }
            let (body, is_whole) = connection.read_body(&head, |_| {});
            if !is_whole || !self.answer(&mut connection, &head, &body) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection may be used again.
    fn answer(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> bool {
        let id = head.get("x-attempt-id").unwrap_or_default();
        if head.path() == "/healthz" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.write(answer.as_bytes()).is_ok();
        }
        if head.get("x-expect-instance") != Some(self.id.as_str()) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.write(answer.as_bytes()).is_ok();
        }
        let last = head.get("last-event-id");
        let last: u32 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record(&format!(
            "runs {id} after event {last}, {} bytes",
            body.len()
        ));
        let is_stream = head.path().starts_with("/stream/");
        let content_type = match is_stream {
            true => "text/event-stream",
            false => "text/plain",
        };
        let framing = match self.is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {}.{}.{id}\r\nContent-Type: {content_type}\r\n{framing}\r\n\r\n",
            self.id, self.version
        );
        if connection.write(answer.as_bytes()).is_err() {
            return false;
        }
        let (first, end, interval) = match is_stream {
            true => (last + 1, EVENTS, EVENT_INTERVAL),
            false => (1, PARTS, PART_INTERVAL),
        };
        for number in first..=end {
            std::thread::sleep(interval);
            let text = match is_stream {
                true => event(number, &self.version),
                false => part(number),
            };
            let text = match self.is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if connection.write(text.as_bytes()).is_err() {
                self.record(&format!("stops {id} at {number}"));
                return false;
            }
        }
        self.record(&format!("ends {id}"));
        match self.is_unframed {
            true => false,
            false => connection.write(b"0\r\n\r\n").is_ok(),
        }
    }

    fn record(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis();
        let line = format!("{now} worker {} {} {text}\n", self.id, self.version);
        // A line that is lost only shortens the record.
        let _ = (&self.log).write_all(line.as_bytes());
    }
}

/// An event of a stream.
fn event(number: u32, version: &str) -> String {
    format!("id: {number}\ndata: {version} piece {number} of {EVENTS}\n\n")
}

/// A part of a plain answer, of 200 bytes.
pub fn part(number: u32) -> String {
    format!("part {number} of {PARTS} {:.<187}\n", "")
}

/// The whole body of a plain answer.
pub fn whole() -> String {
    (1..=PARTS).map(part).collect()
}
