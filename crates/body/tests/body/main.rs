//! Bodies that come slowly, stop, break off or are too long.

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
    Piece(u64),
    Break(u64),
}

const LIMITS: Limits = Limits {
    max_bytes: 64,
    idle_timeout: Duration::from_millis(1_000),
};

async fn read(steps: Vec<Step>) -> anyhow::Result<usize> {
    let frames = stream::iter(steps).then(|step| async move {
        let (Step::Piece(pause) | Step::Break(pause)) = step;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        match step {
            Step::Piece(_) => Ok(Frame::data(Bytes::from_static(b"12345678"))),
            Step::Break(_) => Err(std::io::Error::other("broken")),
        }
    });
    let body = StreamBody::new(Box::pin(frames));
    Ok(collect(body, LIMITS).await?.len())
}

macro_rules! bodies {
    ($($name:ident: $steps:expr => $seen:expr;)*) => {
        #[rstest]
        $(#[case::$name($steps, $seen)])*
        fn a_body_is_read(#[case] steps: Vec<Step>, #[case] seen: Result<usize, &str>) {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .expect("a runtime");
            let read = runtime.block_on(read(steps));
            assert_eq!(read.map_err(|error| error.to_string()), seen.map_err(str::to_owned));
        }
    };
}

bodies! {
    empty: vec![] => Ok(0);
    slow_but_coming: vec![Step::Piece(900); 8] => Ok(64);
    stopped: vec![Step::Piece(10), Step::Piece(1_100)] => Err("the answer stopped after 8 bytes");
    broken: vec![Step::Piece(10), Step::Break(10)] => Err("broken");
    too_long: vec![Step::Piece(10); 9] => Err("an answer of over 64 bytes");
}
