//! A stand-in for an endpoint that follows a script.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::wire::chunk;
use super::wire::chunked_head;
use super::wire::field;
use super::wire::insert_request_id;
use super::wire::read_body;
use super::wire::read_head;

/// What a stand-in does with a request.
#[derive(Clone)]
pub enum Action {
    /// Writes the text and keeps the connection open.
    Answer(String),
    /// Writes the text and closes the connection.
    AnswerAndClose(String),
    /// Writes the text and resets the connection.
    AnswerAndReset(String),
    /// Writes the text after this time, unless the gateway closes the connection before.
    AnswerAfter(Duration, String),
    /// Writes the texts one by one, waiting for a notification before each.
    AnswerStepwise(Vec<String>, Rc<Notify>),
    /// Like [`Action::AnswerStepwise`], and closes the connection afterwards.
    AnswerStepwiseAndClose(Vec<String>, Rc<Notify>),
    /// Writes the text once the head has arrived, and reads the body after a notification.
    AnswerEarly(String, Rc<Notify>),
    /// Writes the text, and then the same byte until the gateway closes the connection.
    Flood(String),
    /// Writes nothing until the gateway closes the connection.
    NoAnswer,
    /// Answers with a stream of four events, and closes the connection after the second unless the
    /// request takes a stream up.
    BreakStream,
    /// Stops the stand-in and all its connections if the body is the first text; otherwise
    /// writes the second and keeps the connection open.
    CrashOn(&'static str, String),
    /// Writes the second text and stops the stand-in and all its connections if a part of the
    /// prompt has the first as its id; otherwise writes the third and keeps the connection open.
    CrashOnPart(&'static str, String, String),
    /// Like [`Action::CrashOnPart`], but closes the connection some time before it stops.
    CloseAndCrashOnPart(&'static str, String, String),
}

/// How long after it closed a connection a stand-in stops.
const CRASH_DELAY: Duration = Duration::from_millis(120);

/// A stand-in for an endpoint.
#[derive(Clone)]
pub struct Worker {
    /// The name of the endpoint.
    pub name: &'static str,
    /// The version of its software.
    pub software: &'static str,
    /// The address it listens on.
    pub address: SocketAddrV4,
    /// The requests received, each with its head and body.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// The number of connections accepted.
    pub connections: Rc<Cell<usize>>,
    /// The bytes that [`Action::Flood`] has written.
    pub flooded: Rc<Cell<usize>>,
    /// Notified when a connection has ended.
    pub connection_closed: Rc<Notify>,
    script: Rc<RefCell<VecDeque<Action>>>,
    /// Whether the stand-in has crashed.
    crashed: Rc<watch::Sender<bool>>,
}

impl Worker {
    /// Starts a stand-in that takes one action of `script` for each request; the last is
    /// repeated.
    pub async fn start(name: &'static str, script: Vec<Action>) -> Worker {
        Worker::start_version(name, "1", script).await
    }

    /// Like [`Worker::start`], with another version of its software.
    pub async fn start_version(
        name: &'static str,
        software: &'static str,
        script: Vec<Action>,
    ) -> Worker {
        Worker::start_scripted(name, software, Rc::new(RefCell::new(script.into()))).await
    }

    /// Starts another stand-in that takes its actions from the same script.
    pub async fn start_beside(&self, name: &'static str) -> Worker {
        Worker::start_scripted(name, self.software, self.script.clone()).await
    }

    async fn start_scripted(
        name: &'static str,
        software: &'static str,
        script: Rc<RefCell<VecDeque<Action>>>,
    ) -> Worker {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        let worker = Worker {
            name,
            software,
            address,
            requests: Rc::default(),
            connections: Rc::default(),
            flooded: Rc::default(),
            connection_closed: Rc::default(),
            script,
            crashed: Rc::new(watch::Sender::new(false)),
        };
        let stub = worker.clone();
        spawn_local(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stub.wait_until_crashed() => return,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                stub.connections.set(stub.connections.get() + 1);
                let handler = stub.clone();
                spawn_local(async move {
                    tokio::select! {
                        () = handler.serve(stream) => {}
                        () = handler.wait_until_crashed() => {}
                    }
                    handler.connection_closed.notify_one();
                });
            }
        });
        worker
    }

    /// Replaces the actions that are still to be taken.
    pub fn set_script(&self, script: Vec<Action>) {
        *self.script.borrow_mut() = script.into();
    }

    /// Stops the stand-in and closes all its connections.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// Waits until the stand-in crashes.
    async fn wait_until_crashed(&self) {
        let mut crashed = self.crashed.subscribe();
        crashed
            .wait_for(|crashed| *crashed)
            .await
            .expect("the worker holds the sender");
    }

    fn next_action(&self) -> Action {
        let mut script = self.script.borrow_mut();
        match script.len() {
            1 => script[0].clone(),
            _ => script
                .pop_front()
                .expect("a script has at least one action"),
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let action = self.next_action();
            if let Action::AnswerEarly(text, proceed) = &action {
                let _ = stream
                    .write_all(insert_request_id(text, &head).as_bytes())
                    .await;
                proceed.notified().await;
            }
            let body = read_body(&mut stream, &mut buffer, &head).await;
            self.requests.borrow_mut().push(format!("{head}{body}"));
            if matches!(action, Action::CrashOn(text, _) if text == body) {
                self.crashed.send_replace(true);
                return;
            }
            if !self.perform(&mut stream, action, &head).await {
                return;
            }
        }
    }

    /// Takes one action. Returns whether the connection stays open.
    async fn perform(&self, stream: &mut TcpStream, action: Action, head: &str) -> bool {
        match action {
            Action::Answer(text) | Action::CrashOn(_, text) => stream
                .write_all(insert_request_id(&text, head).as_bytes())
                .await
                .is_ok(),
            Action::CrashOnPart(part, begun, _) if has_part(head, part) => {
                let _ = stream
                    .write_all(insert_request_id(&begun, head).as_bytes())
                    .await;
                self.crashed.send_replace(true);
                false
            }
            Action::CloseAndCrashOnPart(part, begun, _) if has_part(head, part) => {
                let _ = stream
                    .write_all(insert_request_id(&begun, head).as_bytes())
                    .await;
                let worker = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(CRASH_DELAY).await;
                    worker.crash();
                });
                false
            }
            Action::CrashOnPart(_, _, text) | Action::CloseAndCrashOnPart(_, _, text) => stream
                .write_all(insert_request_id(&text, head).as_bytes())
                .await
                .is_ok(),
            Action::BreakStream => {
                let last = field(head, "last-event-id").and_then(|id| id.parse().ok());
                let answer = stream_from(last.unwrap_or(0));
                let _ = stream
                    .write_all(insert_request_id(&answer, head).as_bytes())
                    .await;
                last.is_some()
            }
            Action::AnswerEarly(..) => true,
            Action::AnswerAndClose(text) => {
                let _ = stream
                    .write_all(insert_request_id(&text, head).as_bytes())
                    .await;
                false
            }
            Action::AnswerAndReset(text) => {
                let _ = stream
                    .write_all(insert_request_id(&text, head).as_bytes())
                    .await;
                // Lets the written data arrive before the reset.
                tokio::time::sleep(Duration::from_millis(30)).await;
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            Action::AnswerAfter(work, text) => {
                tokio::select! {
                    () = tokio::time::sleep(work) => {}
                    _ = stream.readable() => return false,
                }
                let text = insert_request_id(&text, head);
                stream.write_all(text.as_bytes()).await.is_ok()
            }
            Action::AnswerStepwise(texts, proceed) => {
                write_stepwise(stream, texts, &proceed, head).await
            }
            Action::AnswerStepwiseAndClose(texts, proceed) => {
                write_stepwise(stream, texts, &proceed, head).await;
                false
            }
            Action::Flood(text) => {
                let text = insert_request_id(&text, head);
                let mut written = stream.write_all(text.as_bytes()).await.map(|()| 0);
                while let Ok(bytes) = written {
                    self.flooded.set(self.flooded.get() + bytes);
                    written = stream.write(&[b'x'; 16 << 10]).await;
                }
                false
            }
            Action::NoAnswer => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                false
            }
        }
    }
}

/// Whether a part of a request's prompt has this id.
fn has_part(head: &str, part: &str) -> bool {
    let parts = field(head, "woadstage-prompt-parts").unwrap_or_default();
    let mut ids = parts.split(',').filter_map(|part| part.split_once(':'));
    ids.any(|(id, _)| id == part)
}

/// Returns what [`Action::BreakStream`] answers after an event; 0 for a new stream.
fn stream_from(last: u32) -> String {
    let event = |id: u32| chunk(&format!("id: {id}\ndata: piece {id}\n\n"));
    match last {
        0 => chunked_head() + &event(1) + &event(2),
        last => {
            let events: String = (last + 1..=4).map(event).collect();
            chunked_head() + &events + "0\r\n\r\n"
        }
    }
}

/// Writes texts one by one, each after a notification. Returns whether the connection stays open.
async fn write_stepwise(
    stream: &mut TcpStream,
    texts: Vec<String>,
    proceed: &Notify,
    head: &str,
) -> bool {
    for text in texts {
        tokio::select! {
            () = proceed.notified() => {}
            _ = stream.readable() => return false,
        }
        let text = insert_request_id(&text, head);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
    }
    true
}
