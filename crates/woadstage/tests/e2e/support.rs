//! Shared helpers of the end-to-end tests.

use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;

use woadstage_standin::client::Caller;
use woadstage_standin::fleet::Fleet;
use woadstage_standin::fleet::Options;
use woadstage_standin::sample;

/// Returns the path of the binary under test.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_woadstage"))
}

/// Runs the body of a test to completion.
pub fn run(test: impl Future<Output = anyhow::Result<()>>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .expect("the runtime should start")
        .block_on(test)
        .expect("the steps of the test should succeed");
}

/// Starts a fleet of three nodes, two engines and two services.
pub async fn fleet() -> anyhow::Result<Fleet> {
    let options = Options {
        program: program(),
        nodes: 3,
        engines: 2,
        services: 2,
        logs: false,
    };
    Fleet::start(options).await
}

/// Returns a caller with the token of the first customer.
pub fn caller() -> Caller {
    Caller::new(sample::TOKENS[0])
}

/// Polls until the condition holds. The limit of at least 30 seconds is generous, so
/// that a slow machine does not fail the test.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    const MAX_POLLS: u32 = 1_500;
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for: {what}");
}
