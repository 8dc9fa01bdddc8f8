//! A gateway in this process, a stand-in of an endpoint that does as a script
//! says, and a caller that sees every byte.

use std::time::Duration;

use tokio::task::LocalSet;

mod caller;
mod gateway;
mod peer;
mod wire;
mod worker;

pub use caller::Caller;
pub use caller::Seen;
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
pub use wire::field;
pub use worker::Act;
pub use worker::Worker;

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

/// An endpoint that answers all requests well, a gateway that knows it, and a caller.
pub async fn serving() -> (Worker, Gateway, Caller) {
    let worker = Worker::start("e", vec![Act::Answer(answer("200 OK", "fine"))]).await;
    let gateway = Gateway::start(&[&worker]).await;
    let caller = Caller::connect(&gateway).await;
    (worker, gateway, caller)
}
