//! A stand-in for a worker of a plain service, with slots and a short queue. For some seconds it is
//! faulty as PROTOCOL.md, "Workers", tells: it spoils a few of its answers, and sends a few twice.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use crate::http;
use crate::time;
use crate::worker::Worker;

/// The requests that wait for a slot at most. More are rejected.
const QUEUE: u32 = 4;

/// The part of its answers that a faulty worker spoils or sends twice at most (`x` of `garble`).
const SPOILED: f64 = 0.03;

/// A rejection (`wire`: "a server sheds").
const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";

/// What a worker has in hand, and what it has answered while it was faulty.
#[derive(Debug, Default)]
struct State {
    running: u32,
    waiting: u32,
    answers: u32,
    spoiled: u32,
    /// Whether one of the answers in the making is to be spoiled.
    spoils_next: bool,
}

/// A worker of a plain service.
pub struct Service {
    worker: Worker,
    /// From when to when it is faulty, in Unix milliseconds.
    faulty: (u64, u64),
    state: Mutex<State>,
    freed: Condvar,
    spoiling: Condvar,
    log: File,
}

/// Serves requests as a worker that is faulty for some time, and keeps its entry in the store.
pub fn run(worker: Worker, faulty: (u64, u64)) -> io::Result<()> {
    let listener = TcpListener::bind(&worker.address)?;
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&worker.log)?;
    let own = worker.clone();
    thread::spawn(move || own.record(time::unix_ms()));
    let service = Arc::new(Service {
        worker,
        faulty,
        state: Mutex::default(),
        freed: Condvar::new(),
        spoiling: Condvar::new(),
        log,
    });
    for stream in listener.incoming() {
        let (stream, service) = (stream?, service.clone());
        thread::spawn(move || service.serve(stream));
    }
    Ok(())
}

impl Service {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The last answer on this connection, if it is to be sent once more.
        let mut again = None;
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            if head.word(1) == "/healthz" {
                again = self.check(&mut writer)?;
                continue;
            }
            self.answer(&head, &mut writer, again.take())?;
        }
        Ok(())
    }

    fn log(&self, text: &str) -> io::Result<()> {
        let (at, id) = (time::unix_ms(), &self.worker.id);
        (&self.log).write_all(format!("{at} {id} {text}\n").as_bytes())
    }

    /// Answers a health check, which waits for a slot or is rejected as a request is. Returns the
    /// answer if it is to come once more.
    fn check(&self, writer: &mut TcpStream) -> io::Result<Option<String>> {
        if !self.enter() {
            let answer = format!("{REJECTION}\r\n");
            writer.write_all(answer.as_bytes())?;
            let comes_again = self.may_spoil(&mut self.state.lock().expect("the state"));
            self.log(&format!(
                "rejects a health check, again later {comes_again}"
            ))?;
            return Ok(comes_again.then_some(answer));
        }
        self.leave();
        let id = &self.worker.id;
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
        writer.write_all(format!("{head}X-Instance-Id: {id}\r\n\r\n").as_bytes())?;
        Ok(None)
    }

    fn answer(
        &self,
        head: &http::Head,
        writer: &mut TcpStream,
        again: Option<String>,
    ) -> io::Result<()> {
        let id = &self.worker.id;
        let attempt = head.field("x-attempt-id").unwrap_or("");
        if head
            .field("x-expect-instance")
            .is_some_and(|named| named != id)
        {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
            let fields = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n\r\n");
            return writer.write_all((head.to_owned() + &fields).as_bytes());
        }
        if !self.enter() {
            self.log(&format!("rejects {attempt}"))?;
            let answer = format!("{REJECTION}X-Attempt-Id: {attempt}\r\n\r\n");
            return writer.write_all(answer.as_bytes());
        }
        self.log(&format!("runs {attempt}"))?;
        if let Some(answer) = again {
            self.log(&format!(
                "sends the rejection once more, before it answers {attempt}"
            ))?;
            // The work goes on, whether or not the other side still reads.
            let _ = writer.write_all(answer.as_bytes());
        }
        self.work(attempt, writer)?;
        self.leave();
        let body = format!("{id} {attempt}\n");
        let length = body.len();
        let fields = format!("X-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}.{attempt}\r\n");
        let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n");
        writer.write_all((head + &body).as_bytes())
    }

    /// Works on a request. Its answer is spoiled if the worker is faulty and full meanwhile; the
    /// work goes on.
    fn work(&self, attempt: &str, writer: &mut TcpStream) -> io::Result<()> {
        let until = Instant::now() + self.worker.work;
        let mut state = self.state.lock().expect("the state");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            state = self
                .spoiling
                .wait_timeout(state, left)
                .expect("the state")
                .0;
            if std::mem::take(&mut state.spoils_next) {
                drop(state);
                self.log(&format!("sends bytes that form no answer to {attempt}"))?;
                let _ = writer.write_all(b"HTTP/1.1 OK\r\n\r\n");
                state = self.state.lock().expect("the state");
            }
        }
    }

    /// Waits for a slot. Returns false if too many wait already.
    fn enter(&self) -> bool {
        let mut state = self.state.lock().expect("the state");
        state.answers += u32::from(self.is_faulty());
        if state.running >= self.worker.slots {
            if state.waiting >= QUEUE {
                return false;
            }
            state.waiting += 1;
            if state.waiting == QUEUE && self.may_spoil(&mut state) {
                state.spoils_next = true;
                self.spoiling.notify_one();
            }
            while state.running >= self.worker.slots {
                state = self.freed.wait(state).expect("the state");
            }
            state.waiting -= 1;
        }
        state.running += 1;
        true
    }

    fn leave(&self) {
        self.state.lock().expect("the state").running -= 1;
        self.freed.notify_one();
    }

    fn is_faulty(&self) -> bool {
        (self.faulty.0..self.faulty.1).contains(&time::unix_ms())
    }

    /// Whether one more answer may be spoiled or sent twice, which it then counts as.
    fn may_spoil(&self, state: &mut State) -> bool {
        let most = f64::from(state.answers) * SPOILED;
        let may = self.is_faulty() && f64::from(state.spoiled + 1) <= most;
        state.spoiled += u32::from(may);
        may
    }
}
