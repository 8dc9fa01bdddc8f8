//! A stand-in for a worker: PROTOCOL.md, "Workers" and "Service discovery".

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::time;

/// The interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a worker is and how it answers.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: String,
    /// The service that it belongs to.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// Its slots.
    pub slots: u32,
    /// The address of the store.
    pub store: String,
    /// The file to which it writes what it runs.
    pub log: String,
    /// The events of a stream; 0 for plain answers.
    pub events: u32,
    /// The time before each event, or before a plain answer.
    pub work: Duration,
}

impl Worker {
    /// Returns the arguments with which a process is started as this worker.
    pub fn to_arguments(&self) -> Vec<String> {
        let words = [
            "worker",
            &self.id,
            &self.address,
            &self.service,
            &self.version,
            &self.slots.to_string(),
            &self.store,
            &self.log,
            &self.events.to_string(),
            &self.work.as_millis().to_string(),
        ];
        words.iter().map(|word| (*word).to_owned()).collect()
    }

    /// Reads the arguments of a process. Returns `None` if there are too few.
    pub fn from_arguments(words: &[String]) -> Option<Worker> {
        let text = |index: usize| words.get(index).cloned();
        Some(Worker {
            id: text(0)?,
            address: text(1)?,
            service: text(2)?,
            version: text(3)?,
            slots: text(4)?.parse().ok()?,
            store: text(5)?,
            log: text(6)?,
            events: text(7)?.parse().ok()?,
            work: Duration::from_millis(text(8)?.parse().ok()?),
        })
    }

    /// Serves requests, and keeps the worker's entry in the store.
    pub fn run(self) -> io::Result<()> {
        let listener = TcpListener::bind(&self.address)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let (worker, log) = (Arc::new(self), Arc::new(log));
        let (own, born) = (worker.clone(), time::unix_ms());
        thread::spawn(move || own.record(born));
        for stream in listener.incoming() {
            let (stream, worker, log) = (stream?, worker.clone(), log.clone());
            thread::spawn(move || worker.serve(stream, &log));
        }
        Ok(())
    }

    /// Writes the entry, again and again. A store that does not answer holds this up.
    pub fn record(&self, born: u64) {
        let Worker {
            service,
            address,
            version,
            slots,
            ..
        } = self;
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"caxias-hall\",\
             \"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"CallSeq\":0,\"born\":{born}}}"
        );
        loop {
            // The next beat makes up for one that failed.
            let _ = put(&self.store, &format!("servers/{}", self.id), &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream, log: &File) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let id = &self.id;
            if head.word(1) == "/healthz" {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
                writer.write_all(format!("{head}X-Instance-Id: {id}\r\n\r\n").as_bytes())?;
                continue;
            }
            if head
                .field("x-expect-instance")
                .is_some_and(|named| named != id)
            {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
                writer.write_all(format!("{head}X-Instance-Id: {id}\r\n\r\n").as_bytes())?;
                continue;
            }
            self.answer(&head, &body, &mut writer, log)?;
        }
        Ok(())
    }

    /// Runs a request. A stream goes on after the event that the request names.
    fn answer(
        &self,
        head: &http::Head,
        body: &[u8],
        writer: &mut TcpStream,
        mut log: &File,
    ) -> io::Result<()> {
        let Worker { id, version, .. } = self;
        let attempt = head.field("x-attempt-id").unwrap_or("");
        let last: Option<u32> = head
            .field("last-event-id")
            .and_then(|text| text.parse().ok());
        let from = last.map_or(0, |last| last + 1);
        let at = time::unix_ms();
        let (method, length, sum) = (head.word(0), body.len(), http::checksum(body));
        log.write_all(
            format!(
                "{at} {id} {version} runs {attempt} from {from}, {method} with {length} bytes, \
                 sum {sum:016x}\n"
            )
            .as_bytes(),
        )?;
        let seal =
            format!("X-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}.{version}.{attempt}\r\n");
        if self.events == 0 {
            thread::sleep(self.work);
            let body = format!("{id} {attempt}\n");
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\n{seal}Content-Length: {length}\r\n\r\n");
            return writer.write_all((head + &body).as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in from..self.events {
            thread::sleep(self.work);
            let event = format!("id: {number}\ndata: {version} {id}\n\n");
            let length = event.len();
            writer.write_all(format!("{length:x}\r\n{event}\r\n").as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Writes a value to the store.
pub fn put(store: &str, key: &str, value: &str) -> io::Result<()> {
    let stream = TcpStream::connect(store)?;
    let mut writer = stream.try_clone()?;
    let length = value.len();
    let head = format!("PUT /put?key={key} HTTP/1.1\r\nHost: {store}\r\n");
    let head = format!("{head}Content-Length: {length}\r\n\r\n");
    writer.write_all((head + value).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let answer = http::read_head(&mut reader)?.unwrap_or_default();
    http::read_body(&mut reader, &answer)?;
    match answer.status() {
        200 => Ok(()),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}
