//! What callers of a node see while it stops.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use woadstage_standin::cases;
use woadstage_standin::fleet::Fleet;
use woadstage_standin::fleet::Options;
use woadstage_standin::http::service;

use crate::support::caller;
use crate::support::program;
use crate::support::run;
use crate::support::until;

async fn one_node() -> anyhow::Result<Fleet> {
    let options = Options {
        program: program(),
        nodes: 1,
        engines: 1,
        services: 1,
        logs: false,
    };
    Fleet::start(options).await
}

/// Waits until the node announces its planned stop.
async fn wait_until_stopping(fleet: &Fleet) {
    let uri = format!("http://{}/readyz", fleet.nodes[0].operators);
    until("the node stops", || async {
        let answer = caller().send("GET", &uri, &[], "").await;
        answer.is_ok_and(|answer| answer.status != 200)
    })
    .await;
}

/// Stops a node by two signals, the second of which aborts the requests in progress.
async fn abort(fleet: &Fleet) -> anyhow::Result<()> {
    fleet.terminate(0)?;
    wait_until_stopping(fleet).await;
    fleet.terminate(0)
}

/// Reads until the text arrives.
async fn read_until(stream: &mut TcpStream, text: &str) -> anyhow::Result<String> {
    let mut read = String::new();
    let mut part = [0; 4_096];
    while !read.contains(text) {
        let count = stream.read(&mut part).await?;
        anyhow::ensure!(count > 0, "ended before {text:?}: {read}");
        read.push_str(&String::from_utf8_lossy(&part[..count]));
    }
    Ok(read)
}

cases! {
    // Guards against a process that ends while its server still reads or answers.
    a_request_that_is_read_as_a_node_ends_is_answered => run(async {
        let mut fleet = one_node().await?;
        let mut stream = TcpStream::connect(&fleet.nodes[0].callers).await?;
        let head = "POST /services/roster/check HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\nexpect: 100-continue\r\ncontent-length: 50\r\n\r\n";
        stream.write_all(head.as_bytes()).await?;
        read_until(&mut stream, "100 Continue\r\n\r\n").await?;
        fleet.terminate(0)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("W1009"), "{answer}");
        assert_eq!(fleet.wait_exit(0).await?, Some(0));
        Ok(())
    });

    a_call_that_a_second_signal_aborts_is_answered_as_unknown => run(async {
        let mut fleet = one_node().await?;
        fleet.roster[0].set(service::Control { mute: true, ..Default::default() });
        let node = fleet.nodes[0].callers.clone();
        // A call without a key would be tried again.
        let key = caller().ticket(&node).await?;
        let call = tokio::spawn(async move {
            caller().confirm(&node, "shift-confirmation", &key, "call").await
        });
        until("the service runs it", || async { fleet.roster_runs("call") == 1 }).await;
        abort(&fleet).await?;
        let answer = call.await??;
        assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("W3005", "unknown"));
        assert_eq!(fleet.wait_exit(0).await?, Some(1));
        Ok(())
    });

    a_stream_that_a_second_signal_aborts_ends_with_an_error_event => run(async {
        let mut fleet = one_node().await?;
        let mut stream = TcpStream::connect(&fleet.nodes[0].callers).await?;
        let body = r#"{"model":"roster-model","messages":[],"max_tokens":100000,"stream":true}"#;
        let head = format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\nwoadstage-class: handover-summary\r\nwoadstage-timeout-ms: 600000\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(head.as_bytes()).await?;
        let begun = read_until(&mut stream, "data: ").await?;
        assert!(begun.starts_with("HTTP/1.1 200"), "{begun}");
        abort(&fleet).await?;
        let mut rest = String::new();
        stream.read_to_string(&mut rest).await?;
        assert!(rest.contains("event: error\ndata: ") && rest.ends_with("\r\n0\r\n\r\n"), "{rest}");
        assert_eq!(fleet.wait_exit(0).await?, Some(1));
        Ok(())
    });
}
