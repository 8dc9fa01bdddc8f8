//! Invalid and excessive input, and the result codes it gets.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use woadstage_standin::cases;
use woadstage_standin::client::Caller;

use crate::support::caller;
use crate::support::fleet;
use crate::support::run;
use crate::support::until;

/// Sends raw bytes, closes the sending half if `close` is set, and reads until the
/// node closes the connection.
async fn send_raw(node: &str, bytes: &str, close: bool) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(node).await?;
    stream.write_all(bytes.as_bytes()).await?;
    if close {
        stream.shutdown().await?;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).to_string())
}

/// Repeatedly sends incomplete request bodies that together exceed the limit of a
/// node for all bodies.
async fn flood(node: String) -> anyhow::Result<()> {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\ncontent-length: 1000000\r\n\r\n";
    loop {
        let mut streams = Vec::new();
        for _ in 0..17 {
            let mut stream = TcpStream::connect(&node).await?;
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; 990_000]).await?;
            streams.push(stream);
        }
        // Wait until the node gives up on the first connection.
        let _ = streams[0].read(&mut [0; 1]).await;
    }
}

/// An invalid request: caller, method, URI, headers and body, and the expected code
/// and outcome.
type InvalidRequest<'a> = (
    &'a Caller,
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    &'a str,
    &'a str,
    &'a str,
);

cases! {
    invalid_requests_get_their_codes => run(async {
        let fleet = fleet().await?;
        let node = &fleet.nodes[0].callers;
        let chat = format!("http://{node}/v1/chat/completions");
        let valid = r#"{"model": "roster-model", "messages": []}"#;
        let unknown_model = r#"{"model": "other", "messages": []}"#;
        let large = format!(r#"{{"model": "roster-model", "messages": ["{}"]}}"#, "x".repeat(1 << 20));
        let service = format!("http://{node}/services/roster/confirm");
        let confirm = [("woadstage-class", "shift-confirmation")];
        let with_key = [("woadstage-class", "shift-confirmation"), ("idempotency-key", "order-17")];
        let unknown_ticket = "wst1-0000000000000000000000000000000a-1";
        let with_ticket = [("woadstage-class", "shift-confirmation"), ("idempotency-key", unknown_ticket)];
        let unknown_caller = Caller::new("nobody");
        let valid_caller = caller();
        let cases: [InvalidRequest<'_>; 15] = [
            (&valid_caller, "POST", &chat, &[], "{", "W1002", "not-run"),
            (&valid_caller, "POST", &chat, &[], "[1]", "W1002", "not-run"),
            (&valid_caller, "POST", &chat, &[], r#"{"model": 7}"#, "W1002", "not-run"),
            (&valid_caller, "POST", &chat, &[], unknown_model, "W1005", "not-run"),
            (&valid_caller, "POST", &chat, &[], &large, "W1001", "not-run"),
            (&unknown_caller, "POST", &chat, &[], valid, "W1003", "not-run"),
            (&valid_caller, "POST", &chat, &[("woadstage-class", "x")], valid, "W1004", "not-run"),
            (&valid_caller, "POST", &chat, &[("woadstage-timeout-ms", "soon")], valid, "W1007", "not-run"),
            (&valid_caller, "POST", &chat, &[("woadstage-timeout-ms", "0")], valid, "W1007", "not-run"),
            (&valid_caller, "POST", &chat, &[("woadstage-class", "call-out-notice")], valid, "W1006", "not-run"),
            (&valid_caller, "POST", &service, &confirm, "x", "W1006", "not-run"),
            (&valid_caller, "POST", &service, &with_key, "x", "W1010", "not-run"),
            (&valid_caller, "POST", &service, &with_ticket, "x", "W3001", "unknown"),
            (&valid_caller, "GET", &format!("http://{node}/services/other/x"), &[], "", "W1008", "not-run"),
            (&valid_caller, "GET", &format!("http://{node}/elsewhere"), &[], "", "W1013", "not-run"),
        ];
        for (caller, method, uri, headers, body, code, outcome) in cases {
            let answer = caller.send(method, uri, headers, body).await?;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), (code, outcome), "{body:.60}");
            let error: serde_json::Value = serde_json::from_str(&answer.body)?;
            assert_eq!(error["error"]["code"], code);
        }
        Ok(())
    });

    ticket_from_a_refusal_is_accepted => run(async {
        let fleet = fleet().await?;
        let refused =
            caller().confirm(&fleet.nodes[0].callers, "shift-confirmation", "order-17", "y").await?;
        let key = refused.ticket.expect("the refusal should carry a ticket");
        let answer =
            caller().confirm(&fleet.nodes[1].callers, "shift-confirmation", &key, "y").await?;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(fleet.roster_runs("y"), 1);
        Ok(())
    });

    request_with_a_slow_body_is_refused => run(async {
        let fleet = fleet().await?;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\ncontent-length: 500\r\n\r\n{";
        let answer = send_raw(&fleet.nodes[0].callers, head, false).await?;
        assert!(answer.contains("W1009"), "{answer}");
        Ok(())
    });

    total_size_of_bodies_is_limited_and_recovers => run(async {
        let fleet = fleet().await?;
        let node = fleet.nodes[0].callers.clone();
        let uri = format!("http://{node}/services/roster/check");
        let words = "x".repeat(500_000);
        let check = || async { caller().send("POST", &uri, &[], &words).await };
        let flood = tokio::spawn(flood(node.clone()));
        let is_refused = || async {
            check().await.is_ok_and(|a| (a.code.as_str(), a.outcome.as_str()) == ("W2010", "not-run"))
        };
        until("a body beyond the limit for all bodies is refused", is_refused).await;
        flood.abort();
        until("bodies are accepted again", || async { check().await.is_ok_and(|a| a.status == 200) }).await;
        Ok(())
    });

    connection_with_an_incomplete_head_is_closed => run(async {
        let fleet = fleet().await?;
        let answer = send_raw(&fleet.nodes[0].callers, "POST /v1/chat", false).await?;
        assert!(!answer.contains("200 OK"), "{answer}");
        Ok(())
    });

    a_body_with_another_transfer_coding_is_not_run => run(async {
        let fleet = fleet().await?;
        for coding in ["gzip, chunked", "chunked, chunked"] {
            let request = format!("POST /services/roster/check HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\ntransfer-encoding: {coding}\r\nconnection: close\r\n\r\n5\r\ncoded\r\n0\r\n\r\n");
            let answer = send_raw(&fleet.nodes[0].callers, &request, false).await?;
            assert!(answer.contains("W1007"), "{coding}: {answer}");
        }
        assert_eq!(fleet.roster_runs("coded"), 0);
        Ok(())
    });

    half_closed_connection_runs_no_request => run(async {
        let fleet = fleet().await?;
        let head = "POST /services/roster/confirm HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-one\r\ncontent-length: 50\r\n\r\nhalf";
        let answer = send_raw(&fleet.nodes[0].callers, head, true).await?;
        assert!(!answer.contains("200 OK"), "{answer}");
        assert_eq!(fleet.roster_runs("half"), 0);
        Ok(())
    });
}
