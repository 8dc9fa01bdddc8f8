//! Tells a connection's registry that a request is in progress on it, from its head to the end of the
//! answer.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::clock::Clock;
use crate::clock::to_duration;
use crate::connections::State;
use crate::connections::Tracker;
use crate::upstream::Body;

/// A request in progress, until it is dropped.
pub struct Progress {
    clock: Clock,
    tracker: Tracker,
}

impl Progress {
    /// Begins a request. One that was sent ahead of the answer to the one before may have to wait.
    pub async fn begin(clock: Clock, tracker: Tracker) -> Progress {
        if let Some(wait) = tracker.begin_request(clock.now()) {
            tokio::time::sleep(to_duration(wait)).await;
        }
        Progress { clock, tracker }
    }

    /// Ends the request with the body of its answer.
    pub fn follow(self, response: Response<Body>) -> Response<Body> {
        response.map(|body| -> Body {
            Box::pin(Followed {
                body,
                _progress: self,
            })
        })
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.tracker.set_state(self.clock.now(), State::Idle);
    }
}

/// The body of an answer, with which its request ends.
struct Followed {
    body: Body,
    _progress: Progress,
}

impl hyper::body::Body for Followed {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<anyhow::Result<Frame<Bytes>>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
