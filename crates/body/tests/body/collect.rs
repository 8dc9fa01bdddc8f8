//! Tests of reading bodies that are slow, stall, break or are too long.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;
use woadstage_body::Limits;
use woadstage_body::collect;

/// What the body does after a pause in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    Data(u64),
    Break(u64),
}

const LIMITS: Limits = Limits {
    max_bytes: 64,
    idle_timeout: Duration::from_millis(1_000),
};

async fn read(steps: Vec<Step>) -> anyhow::Result<usize> {
    let frames = stream::iter(steps).then(|step| async move {
        let (Step::Data(pause) | Step::Break(pause)) = step;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        match step {
            Step::Data(_) => Ok(Frame::data(Bytes::from_static(b"12345678"))),
            Step::Break(_) => Err(std::io::Error::other("broken")),
        }
    });
    let body = StreamBody::new(Box::pin(frames));
    Ok(collect(body, LIMITS).await?.len())
}

macro_rules! bodies {
    ($($name:ident: $steps:expr => $expected:expr;)*) => {
        #[rstest]
        $(#[case::$name($steps, $expected)])*
        fn body_is_read_or_rejected(#[case] steps: Vec<Step>, #[case] expected: Result<usize, &str>) {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .expect("a runtime");
            let read = runtime.block_on(read(steps));
            assert_eq!(read.map_err(|error| error.to_string()), expected.map_err(str::to_owned));
        }
    };
}

bodies! {
    empty: vec![] => Ok(0);
    slow: vec![Step::Data(900); 8] => Ok(64);
    stalled: vec![Step::Data(10), Step::Data(1_100)] => Err("response body stalled after 8 bytes");
    broken: vec![Step::Data(10), Step::Break(10)] => Err("broken");
    too_long: vec![Step::Data(10); 9] => Err("response body exceeds 64 bytes");
}
