//! Requests around the end of the driver loop.

use std::sync::Arc;

use quinn::Endpoint;
use rstest::rstest;
use woadstage_core::node::Arrival;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::node::Options;
use woadstage_core::pool::Peer;
use woadstage_node::callers;
use woadstage_node::clock::Clock;
use woadstage_node::driver;
use woadstage_node::driver::Driver;
use woadstage_node::driver::Handle;
use woadstage_node::driver::Input;
use woadstage_node::driver::Parts;
use woadstage_node::driver::Reply;
use woadstage_node::driver::Work;
use woadstage_node::metrics::Metrics;
use woadstage_node::peers::Peers;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::id;
use woadstage_types::unit::Tokens;

fn arrival(key: Option<&str>) -> Arrival {
    Arrival {
        request: id::Request(1),
        token: [0; 32],
        class: None,
        target: id::Target::new("roster"),
        is_service: true,
        key: key.map(str::to_string),
        timeout: None,
        prompt: Tokens(1),
        output_limit: None,
        prefix: Arc::from([]),
        fingerprint: 0,
        from: None,
    }
}

fn work() -> Work {
    Work {
        method: "POST".into(),
        path: "/check".into(),
        content_type: None,
        body: "body".into(),
        is_model: false,
        is_stream: false,
    }
}

/// Returns a driver without configuration and other nodes, which drains as soon as it is closed.
fn new_driver() -> (Handle, Driver) {
    let clock = Clock::start();
    let endpoint = Endpoint::client("127.0.0.1:0".parse().expect("an address"));
    let (handle, inputs) = driver::channel();
    let own = Peer {
        host: id::Host::new("host"),
        incarnation: id::Incarnation(1),
    };
    let parts = Parts {
        node: Node::new(clock.now(), Options::default()),
        clock,
        peers: Peers::new(endpoint.expect("a free port"), own, handle.clone()),
        metrics: Arc::new(Metrics::new().expect("valid names")),
        answer_limit: 4_096,
    };
    (handle.clone(), Driver::new(parts, handle, inputs))
}

/// The moment at which a request is submitted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Moment {
    /// Behind the input that drains the core.
    Queued,
    /// After the driver has ended.
    Late,
}

macro_rules! late_requests {
    ($($name:ident: $moment:ident, key $key:expr => $outcome:ident;)*) => {
        // Guards against a request that was never begun and is answered as broken off.
        #[rstest]
        $(#[case::$name(Moment::$moment, $key, Outcome::$outcome)])*
        fn a_request_that_a_stopped_driver_never_begins_is_refused(
            #[case] moment: Moment,
            #[case] key: Option<&str>,
            #[case] outcome: Outcome,
        ) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let reply = runtime.expect("the runtime starts").block_on(async {
                let (handle, driver) = new_driver();
                handle.send(Input::Event(Event::Close));
                match moment {
                    Moment::Queued => {
                        let mut answer = callers::submit(&handle, arrival(key), work()).await;
                        driver.run().await;
                        answer.next().await
                    }
                    Moment::Late => {
                        driver.run().await;
                        callers::submit(&handle, arrival(key), work()).await.next().await
                    }
                }
            });
            let Some(Reply::Refuse(refusal)) = reply else {
                panic!("not refused: {reply:?}");
            };
            assert_eq!((refusal.code, refusal.outcome), (Code::Stopping, outcome));
            assert!(refusal.retry_after.is_some());
        }
    };
}

late_requests! {
    queued: Queued, key None => NotRun;
    queued_with_a_key: Queued, key Some("key") => Unknown;
    late: Late, key None => NotRun;
    late_with_a_key: Late, key Some("key") => Unknown;
}
