//! Test support: a gateway in the test process, a scripted endpoint, and a caller that exposes
//! every byte it receives.

use std::time::Duration;

use tokio::task::LocalSet;

mod caller;
pub mod fleet;
mod gateway;
mod peer;
mod wire;
mod worker;

pub use caller::Caller;
pub use caller::Response;
pub use gateway::Gateway;
pub use gateway::LogBuffer;
pub use gateway::RESERVED;
pub use gateway::configuration;
pub use gateway::dispatcher_options;
pub use gateway::to_endpoint;
pub use peer::Peer;
pub use wire::answer;
pub use wire::chunk;
pub use wire::chunked_head;
pub use wire::closing_head;
pub use wire::field;
pub use worker::Action;
pub use worker::Worker;

/// The service that all routes target.
pub const SERVICE: &str = "service";

/// The key of the only customer.
pub const KEY: &str = "a-secret-key";

/// Half of the maximum duration of a test. It only ends a test that hangs and checks no timing.
const HALF_TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test and the tasks it spawns on one thread.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let outcome = tokio::time::timeout(HALF_TEST_TIMEOUT * 2, test()).await;
        outcome.expect("the test ends before its timeout");
    });
}

/// Starts an endpoint that answers every request with 200, a gateway that uses it, and a caller.
pub async fn serving() -> (Worker, Gateway, Caller) {
    let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
    let gateway = Gateway::start(&[&worker]).await;
    let caller = Caller::connect(&gateway).await;
    (worker, gateway, caller)
}
