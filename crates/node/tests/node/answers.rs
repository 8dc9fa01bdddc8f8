//! Relaying an answer from an endpoint's socket to its caller. However the
//! connection behaves, a caller receives a prefix of its own answer and nothing of
//! another's, and the answer is reported as complete only if it is.

use std::sync::Arc;

use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use woadstage_core::node;
use woadstage_node::driver;
use woadstage_node::driver::Input;
use woadstage_node::driver::Reply;
use woadstage_node::driver::Work;
use woadstage_node::endpoints;
use woadstage_types::id;

/// One caller's request and the behaviour of its connection.
#[derive(Debug, Clone)]
struct Exchange {
    tokens: usize,
    /// The number of bytes of the response sent before the connection closes.
    cut: Option<usize>,
    /// The number of bytes per write.
    write_size: usize,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let cut = proptest::option::of(0usize..1_200);
    (0usize..20, cut, 1usize..300).prop_map(|(tokens, cut, write_size)| Exchange {
        tokens,
        cut,
        write_size,
    })
}

/// Returns the event stream for one caller, marked with `marker`.
fn stream(marker: &str, tokens: usize) -> String {
    let mut text = String::new();
    for index in 0..tokens {
        text.push_str(&format!(
            "data: {{\"choices\":[{{\"delta\":\"{marker}-{index}\"}}]}}\n\n"
        ));
    }
    text + "data: [DONE]\n\n"
}

/// Returns the HTTP response, with one event per chunk.
fn response(marker: &str, tokens: usize) -> Vec<u8> {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    for event in stream(marker, tokens).split_inclusive("\n\n") {
        bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Serves requests on one connection until a response is cut off.
async fn serve(mut socket: TcpStream, exchanges: Arc<Vec<Exchange>>) -> Option<()> {
    loop {
        let mut request = Vec::new();
        let index = loop {
            let mut part = [0; 1_024];
            let read = socket.read(&mut part).await.ok().filter(|read| *read > 0)?;
            request.extend_from_slice(&part[..read]);
            let text = String::from_utf8_lossy(&request);
            let Some((_, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            if let Some(index) = body
                .strip_prefix("caller ")
                .and_then(|rest| rest.strip_suffix('.'))
            {
                break index.parse::<usize>().ok()?;
            }
        };
        let Exchange {
            tokens,
            cut,
            write_size,
        } = exchanges[index].clone();
        let bytes = response(&format!("caller {index}"), tokens);
        let sent = cut.unwrap_or(bytes.len()).min(bytes.len());
        for part in bytes[..sent].chunks(write_size) {
            socket.write_all(part).await.ok()?;
            tokio::task::yield_now().await;
        }
        if sent < bytes.len() {
            return None;
        }
    }
}

/// The answer one caller received, whether it ended as complete, and whether the
/// core was told so.
pub struct Received {
    bytes: Vec<u8>,
    pub is_complete: bool,
    pub reported_complete: bool,
}

async fn call(client: endpoints::Client, address: Arc<str>, index: usize) -> Received {
    let work = Work {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: None,
        body: format!("caller {index}.").into(),
        is_model: true,
        is_stream: true,
    };
    call_with(client, address, index, work).await
}

/// Calls an endpoint of a model or a service that sends this answer and closes the connection.
pub async fn call_answered_with(answer: String, is_model: bool) -> Received {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    let work = Work {
        method: "POST".into(),
        path: "/x".into(),
        content_type: None,
        body: "body".into(),
        is_model,
        is_stream: is_model,
    };
    let received = call_with(endpoints::Client::new(), address.into(), 0, work).await;
    serving.await.expect("the endpoint ends");
    received
}

/// Runs one call, and collects what its caller gets and what the core is told.
pub async fn call_with(
    client: endpoints::Client,
    address: Arc<str>,
    index: usize,
    work: Work,
) -> Received {
    let (handle, mut inputs) = driver::channel();
    let (reply, mut replies) = mpsc::channel(driver::REPLY_WINDOW);
    let call = endpoints::Call {
        request: id::Request(index as u128),
        attempt: 1,
        address,
        priority: None,
        key: None,
        work: Arc::new(work),
        reply,
        started: Arc::default(),
        record: 0,
        handle,
    };
    let running = tokio::spawn(endpoints::run(client, call));
    let mut received = Received {
        bytes: Vec::new(),
        is_complete: false,
        reported_complete: false,
    };
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Data(part) => received.bytes.extend_from_slice(&part),
            Reply::End => received.is_complete = true,
            _ => {}
        }
    }
    let _ = running.await;
    while let Ok(input) = inputs.try_recv() {
        if let Input::Call {
            what: node::Call::Complete { .. },
            ..
        } = input
        {
            received.reported_complete = true;
        }
    }
    received
}

async fn run_exchanges(exchanges: Vec<Exchange>) -> std::io::Result<Vec<Received>> {
    let exchanges = Arc::new(exchanges);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address: Arc<str> = listener.local_addr()?.to_string().into();
    let served = exchanges.clone();
    let server = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve(socket, served.clone()));
        }
    });
    let client = endpoints::Client::new();
    let mut tasks = Vec::new();
    let mut found = Vec::new();
    for index in 0..exchanges.len() {
        tasks.push(tokio::spawn(call(client.clone(), address.clone(), index)));
        // Two run at once, so that connections are reused for other callers.
        if tasks.len() == 2 {
            for task in tasks.drain(..) {
                found.push(task.await?);
            }
        }
    }
    for task in tasks {
        found.push(task.await?);
    }
    server.abort();
    Ok(found)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..Default::default() })]

    #[test]
    fn a_caller_receives_its_own_answer_or_an_incomplete_prefix(
        exchanges in proptest::collection::vec(exchange(), 1..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let found = runtime.block_on(run_exchanges(exchanges.clone()))?;
        for (index, (received, exchange)) in found.iter().zip(&exchanges).enumerate() {
            let whole = stream(&format!("caller {index}"), exchange.tokens).into_bytes();
            prop_assert!(
                whole.starts_with(&received.bytes),
                "bytes that are not a prefix of the caller's answer"
            );
            prop_assert_eq!(received.is_complete, received.reported_complete);
            if received.is_complete {
                prop_assert_eq!(&received.bytes, &whole);
            }
            let sent = response(&format!("caller {index}"), exchange.tokens).len();
            if exchange.cut.is_some_and(|cut| cut < sent) {
                prop_assert!(!received.is_complete, "a cut answer was reported as complete");
            }
        }
    }
}
