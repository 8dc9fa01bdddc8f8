//! A stand-in of an endpoint that does as a script says.

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

use super::wire::echo;
use super::wire::read_body;
use super::wire::read_head;

/// What a stand-in does with one request.
#[derive(Clone)]
pub enum Action {
    /// Writes these bytes and keeps the connection.
    Answer(String),
    /// Writes these bytes and closes the connection.
    AnswerAndClose(String),
    /// Writes these bytes and resets the connection.
    AnswerAndReset(String),
    /// Writes bytes one after the other, waiting to be told before each.
    AnswerStepwise(Vec<String>, Rc<Notify>),
    /// Answers once the head is there, and reads the body only when told.
    AnswerEarly(String, Rc<Notify>),
    /// Says nothing until the other end closes.
    NoAnswer,
    /// Ends the stand-in with all its connections where the body is this text, or
    /// else writes these bytes and keeps the connection.
    CrashOn(&'static str, String),
}

/// A stand-in of an endpoint.
#[derive(Clone)]
pub struct Worker {
    /// Its name.
    pub name: &'static str,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Requests as they came, heads and bodies.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// Connections that were opened.
    pub connections: Rc<Cell<usize>>,
    /// Told when a connection has ended.
    pub connection_closed: Rc<Notify>,
    script: Rc<RefCell<VecDeque<Action>>>,
    /// True once it has crashed.
    crashed: Rc<watch::Sender<bool>>,
}

impl Worker {
    /// Starts a stand-in that acts as `script` says, request by request; the
    /// last act is repeated.
    pub async fn start(name: &'static str, script: Vec<Action>) -> Worker {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        let worker = Worker {
            name,
            address,
            requests: Rc::default(),
            connections: Rc::default(),
            connection_closed: Rc::default(),
            script: Rc::new(RefCell::new(script.into())),
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

    /// Waits until it has crashed.
    async fn wait_until_crashed(&self) {
        let mut crashed = self.crashed.subscribe();
        crashed
            .wait_for(|crashed| *crashed)
            .await
            .expect("it is held");
    }

    fn next_action(&self) -> Action {
        let mut script = self.script.borrow_mut();
        match script.len() {
            1 => script[0].clone(),
            _ => script.pop_front().expect("a script has an act"),
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let action = self.next_action();
            if let Action::AnswerEarly(text, go_on) = &action {
                let _ = stream.write_all(echo(text, &head).as_bytes()).await;
                go_on.notified().await;
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

    /// Does one act; true where the connection goes on.
    async fn perform(&self, stream: &mut TcpStream, action: Action, head: &str) -> bool {
        match action {
            Action::Answer(text) | Action::CrashOn(_, text) => {
                stream.write_all(echo(&text, head).as_bytes()).await.is_ok()
            }
            Action::AnswerEarly(..) => true,
            Action::AnswerAndClose(text) => {
                let _ = stream.write_all(echo(&text, head).as_bytes()).await;
                false
            }
            Action::AnswerAndReset(text) => {
                let _ = stream.write_all(echo(&text, head).as_bytes()).await;
                // What was written is on its way before the reset follows.
                tokio::time::sleep(Duration::from_millis(30)).await;
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            Action::AnswerStepwise(texts, go_on) => {
                for text in texts {
                    tokio::select! {
                        () = go_on.notified() => {}
                        _ = stream.readable() => return false,
                    }
                    if stream
                        .write_all(echo(&text, head).as_bytes())
                        .await
                        .is_err()
                    {
                        return false;
                    }
                }
                true
            }
            Action::NoAnswer => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                false
            }
        }
    }
}
