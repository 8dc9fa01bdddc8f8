//! A gateway in this process, a stand-in of an endpoint that does as a script
//! says, and a caller that sees every byte.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_gateway::headers::Headers;
use woadstage_gateway::log;
use woadstage_gateway::log::Log;
use woadstage_gateway::metrics::Metrics;
use woadstage_gateway::serve;
use woadstage_gateway::shell::Shell;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

/// The service that all routes lead to.
pub const SERVICE: &str = "service";

/// The key of the only customer.
pub const KEY: &str = "a-secret-key";

/// Longest that a test waits for what must come; never a measure.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test's tasks on one thread.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let ended = tokio::time::timeout(PATIENCE * 2, test()).await;
        ended.expect("the test ends");
    });
}

/// What a stand-in does with one request.
#[derive(Clone)]
pub enum Act {
    /// Writes these bytes and keeps the connection.
    Answer(String),
    /// Writes these bytes and closes the connection.
    AnswerAndClose(String),
    /// Writes these bytes and resets the connection.
    AnswerAndReset(String),
    /// Writes bytes one after the other, waiting to be told before each.
    Stepwise(Vec<String>, Rc<Notify>),
    /// Answers once the head is there, and reads the body only when told.
    AnswerEarly(String, Rc<Notify>),
    /// Says nothing until the other end closes.
    Silence,
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
    pub closed: Rc<Notify>,
    script: Rc<RefCell<VecDeque<Act>>>,
}

impl Worker {
    /// Starts a stand-in that acts as `script` says, request by request; the
    /// last act is repeated.
    pub async fn start(name: &'static str, script: Vec<Act>) -> Worker {
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
            closed: Rc::default(),
            script: Rc::new(RefCell::new(script.into())),
        };
        let serving = worker.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.connections.set(serving.connections.get() + 1);
                let one = serving.clone();
                spawn_local(async move {
                    one.serve(stream).await;
                    one.closed.notify_one();
                });
            }
        });
        worker
    }

    fn next(&self) -> Act {
        let mut script = self.script.borrow_mut();
        match script.len() {
            1 => script[0].clone(),
            _ => script.pop_front().expect("a script has an act"),
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let act = self.next();
            if let Act::AnswerEarly(text, go_on) = &act {
                let _ = stream.write_all(echo(text, &head).as_bytes()).await;
                go_on.notified().await;
            }
            let body = read_body(&mut stream, &mut buffer, &head).await;
            self.requests.borrow_mut().push(format!("{head}{body}"));
            if !self.act(&mut stream, act, &head).await {
                return;
            }
        }
    }

    /// Does one act; true where the connection goes on.
    async fn act(&self, stream: &mut TcpStream, act: Act, head: &str) -> bool {
        match act {
            Act::Answer(text) => stream.write_all(echo(&text, head).as_bytes()).await.is_ok(),
            Act::AnswerEarly(..) => true,
            Act::AnswerAndClose(text) => {
                let _ = stream.write_all(echo(&text, head).as_bytes()).await;
                false
            }
            Act::AnswerAndReset(text) => {
                let _ = stream.write_all(echo(&text, head).as_bytes()).await;
                // What was written is on its way before the reset follows.
                tokio::time::sleep(Duration::from_millis(30)).await;
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            Act::Stepwise(texts, go_on) => {
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
            Act::Silence => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                false
            }
        }
    }
}

/// Puts the request's id in place of `{id}`.
fn echo(text: &str, head: &str) -> String {
    text.replace("{id}", field(head, "woadstage-request").unwrap_or(""))
}

/// The value of a head's field.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head
        .split("\r\n")
        .skip(1)
        .take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(':'));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name))?;
    Some(found.1.trim())
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> String {
    let length: usize = field(head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let chunked = field(head, "transfer-encoding").is_some();
    let is_whole = |buffer: &[u8]| match chunked {
        true => buffer.ends_with(b"0\r\n\r\n"),
        false => buffer.len() >= length,
    };
    while !is_whole(buffer) {
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

/// An answer with a length.
pub fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nwoadstage-request: {{id}}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// The head of an answer in chunks.
pub fn chunked_head() -> String {
    "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n"
        .into()
}

/// One chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Log lines that can be looked at.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("no panic while locked")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// All that was logged so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("no panic while locked")).into_owned()
    }
}

/// A gateway in this process.
pub struct Gateway {
    /// Its parts.
    pub shell: Rc<Shell>,
    /// Where callers reach it.
    pub address: SocketAddrV4,
    /// What it logged.
    pub lines: Lines,
}

/// A route by its last word: `/once/`, `/repeatable/`, `/stream/` and so on.
pub fn routes() -> Vec<Route> {
    let route = |name: &str, kind, attempts| Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        targets: vec![(id::Target::new(SERVICE), 1)],
        kind,
        timeout: Span::from_secs(20),
        objective: Span::from_secs(20),
        patience: Span::from_secs(20),
        attempts,
        priority: 0,
        anonymous: false,
        resumable: false,
    };
    let resumable = Route {
        resumable: true,
        ..route("resumable", Kind::Stream, 2)
    };
    let open = Route {
        anonymous: true,
        ..route("open", Kind::Once, 1)
    };
    let short = Route {
        timeout: Span::from_millis(300),
        ..route("short", Kind::Once, 1)
    };
    vec![
        route("once", Kind::Once, 1),
        route("twice", Kind::Once, 2),
        route("repeatable", Kind::Repeatable, 2),
        route("stream", Kind::Stream, 1),
        resumable,
        open,
        short,
    ]
}

/// A configuration with one customer.
pub fn configuration(quota: Option<Quota>) -> Configuration {
    Configuration {
        version: 1,
        routes: routes(),
        services: vec![Service {
            name: id::Target::new(SERVICE),
            connections: 100,
            engine: false,
        }],
        customers: Some(vec![Customer {
            name: id::Customer::new("customer"),
            keys: vec![Key::of(KEY)],
            priority: None,
            quota,
        }]),
        ..Configuration::default()
    }
}

impl Gateway {
    /// Starts a gateway that knows these endpoints.
    pub async fn start(workers: &[&Worker]) -> Gateway {
        Gateway::with(workers, Some(configuration(None)), log::Options::default()).await
    }

    /// Starts a gateway with a configuration, or none.
    pub async fn with(
        workers: &[&Worker],
        configuration: Option<Configuration>,
        options: log::Options,
    ) -> Gateway {
        let lines = Lines::default();
        let log = Log::start(options, lines.clone()).expect("a log");
        let memory = Size::from_mib(64);
        let metrics = Metrics::new().expect("metrics");
        let shell = Shell::new(
            Dispatcher::new(options_of_one()),
            Headers::default(),
            memory,
            log,
            metrics,
        );
        let list = Arc::new(List {
            settled: true,
            revision: 1,
            endpoints: workers.iter().map(|worker| to_endpoint(worker)).collect(),
        });
        shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
        if let Some(configuration) = configuration {
            shell.command(|dispatcher, now| {
                dispatcher.set_configuration(now, Arc::new(configuration))
            });
        }
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        spawn_local(serve::accept(shell.clone(), listener));
        Gateway {
            shell,
            address,
            lines,
        }
    }

    /// Waits until a line was logged that holds all of these texts.
    pub async fn logged(&self, texts: &[&str]) -> String {
        loop {
            let all = self.lines.text();
            let line = all
                .lines()
                .find(|line| texts.iter().all(|text| line.contains(text)));
            if let Some(line) = line {
                return line.to_owned();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn options_of_one() -> Options {
    Options {
        own: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_600),
        incarnation: 1,
        data_centre: id::DataCentre::new("a"),
        seeds: Vec::new(),
        policy: Policy::default(),
        worker: Default::default(),
        warm: Default::default(),
        member: Default::default(),
        quota: Default::default(),
        budget: woadstage_dispatch::budget::Options {
            extra: 1_000.0,
            ..Default::default()
        },
    }
}

/// What the platform would say of a stand-in.
pub fn to_endpoint(worker: &Worker) -> Endpoint {
    Endpoint {
        name: id::Endpoint::new(worker.name),
        service: id::Target::new(SERVICE),
        address: worker.address,
        data_centre: id::DataCentre::new("a"),
        slots: 4,
        leaving: false,
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// An answer as a caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body, chunks put together.
    pub body: String,
    /// False where the connection ended first.
    pub whole: bool,
}

impl Caller {
    /// Connects to a gateway.
    pub async fn connect(gateway: &Gateway) -> Caller {
        let stream = TcpStream::connect(gateway.address)
            .await
            .expect("the gateway listens");
        Caller {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends bytes.
    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gateway reads");
    }

    /// Sends a request with a key and an id.
    pub async fn request(&mut self, id: &str, path: &str, body: &str) {
        let length = body.len();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: {id}\r\nwoadstage-timeout-ms: 20000\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
        .await;
    }

    /// Reads a head.
    pub async fn head(&mut self) -> Option<String> {
        read_head(&mut self.stream, &mut self.buffer).await
    }

    /// Reads until the bytes so far hold a text.
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

    /// Reads an answer.
    pub async fn answer(&mut self) -> Seen {
        let head = self.head().await.expect("an answer");
        let status = head[9..12].parse().expect("a status");
        let (body, whole) = match field(&head, "transfer-encoding") {
            Some(_) => self.chunks().await,
            None => {
                let length: usize = field(&head, "content-length")
                    .map_or(0, |text| text.parse().expect("a length"));
                let body = read_body(&mut self.stream, &mut self.buffer, &head).await;
                let whole = body.len() == length;
                (body, whole)
            }
        };
        Seen {
            status,
            head,
            body,
            whole,
        }
    }

    async fn chunks(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let Some(line) = self.line().await else {
                return (body, false);
            };
            let length = usize::from_str_radix(line.trim(), 16).expect("a chunk's length");
            let Some(data) = self.take(length + 2).await else {
                return (body, false);
            };
            if length == 0 {
                return (body, true);
            }
            body.push_str(&data[..length]);
        }
    }

    async fn line(&mut self) -> Option<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            if self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0 {
                return None;
            }
        };
        self.take(end + 2).await
    }

    async fn take(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0 {
                return None;
            }
        }
        Some(
            String::from_utf8_lossy(&self.buffer.drain(..length).collect::<Vec<u8>>()).into_owned(),
        )
    }

    /// True where the gateway has closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) == 0
    }
}
