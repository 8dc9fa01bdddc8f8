//! The way of an answer from an endpoint's socket to its caller: whatever the
//! connection does, a caller gets a first part of its own answer and no other's,
//! and is told that it is whole only when it is.

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

/// One caller's request and what happens to its connection.
#[derive(Debug, Clone)]
struct Exchange {
    tokens: usize,
    /// Bytes of the response that are sent before the connection closes.
    cut: Option<usize>,
    /// Bytes written at once.
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

/// The event stream that one caller's words make.
fn stream(words: &str, tokens: usize) -> String {
    let mut text = String::new();
    for place in 0..tokens {
        text.push_str(&format!(
            "data: {{\"choices\":[{{\"delta\":\"{words}-{place}\"}}]}}\n\n"
        ));
    }
    text + "data: [DONE]\n\n"
}

/// The response on the wire, in chunks of one event each.
fn response(words: &str, tokens: usize) -> Vec<u8> {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    for event in stream(words, tokens).split_inclusive("\n\n") {
        bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Serves requests on one connection until one of them is cut.
async fn serve(mut socket: TcpStream, exchanges: Arc<Vec<Exchange>>) -> Option<()> {
    loop {
        let mut request = Vec::new();
        let place = loop {
            let mut part = [0; 1_024];
            let read = socket.read(&mut part).await.ok().filter(|read| *read > 0)?;
            request.extend_from_slice(&part[..read]);
            let text = String::from_utf8_lossy(&request);
            let Some((_, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            if let Some(place) = body
                .strip_prefix("caller ")
                .and_then(|rest| rest.strip_suffix('.'))
            {
                break place.parse::<usize>().ok()?;
            }
        };
        let Exchange {
            tokens,
            cut,
            write_size,
        } = exchanges[place].clone();
        let bytes = response(&format!("caller {place}"), tokens);
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

/// What one caller got: its bytes, and whether it was told that it is whole.
struct Received {
    bytes: Vec<u8>,
    is_whole: bool,
    reported_whole: bool,
}

async fn call(client: endpoints::Client, address: Arc<str>, place: usize) -> Received {
    let (handle, mut inputs) = driver::channel();
    let (reply, mut replies) = mpsc::channel(driver::REPLY_WINDOW);
    let work = Work {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: None,
        body: format!("caller {place}.").into(),
        is_model: true,
        is_stream: true,
    };
    let call = endpoints::Call {
        request: id::Request(place as u128),
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
    let mut got = Received {
        bytes: Vec::new(),
        is_whole: false,
        reported_whole: false,
    };
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Data(part) => got.bytes.extend_from_slice(&part),
            Reply::End => got.is_whole = true,
            _ => {}
        }
    }
    let _ = running.await;
    while let Ok(input) = inputs.try_recv() {
        if let Input::Call {
            what: node::Call::Whole { .. },
            ..
        } = input
        {
            got.reported_whole = true;
        }
    }
    got
}

async fn all(exchanges: Vec<Exchange>) -> std::io::Result<Vec<Received>> {
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
    for place in 0..exchanges.len() {
        tasks.push(tokio::spawn(call(client.clone(), address.clone(), place)));
        // Two at once, so that connections are used again by others.
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
    fn a_caller_gets_its_own_answer_whole_or_is_told(
        exchanges in proptest::collection::vec(exchange(), 1..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let found = runtime.block_on(all(exchanges.clone()))?;
        for (place, (got, exchange)) in found.iter().zip(&exchanges).enumerate() {
            let whole = stream(&format!("caller {place}"), exchange.tokens).into_bytes();
            prop_assert!(whole.starts_with(&got.bytes), "another's bytes or none of ours");
            prop_assert_eq!(got.is_whole, got.reported_whole);
            if got.is_whole {
                prop_assert_eq!(&got.bytes, &whole);
            }
            let sent = response(&format!("caller {place}"), exchange.tokens).len();
            if exchange.cut.is_some_and(|cut| cut < sent) {
                prop_assert!(!got.is_whole, "a cut answer looks whole");
            }
        }
    }
}
