//! What callers of a node see while it stops.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use woadstage_standin::cases;
use woadstage_standin::fleet::Fleet;
use woadstage_standin::fleet::Options;

use crate::support::program;
use crate::support::run;

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
}
