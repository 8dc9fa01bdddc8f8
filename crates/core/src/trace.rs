//! A bounded record of the decisions for recent requests, used by `explain`.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Time;

/// The maximum number of requests in a trace.
const MAX_REQUESTS: usize = 2_048;

/// The maximum number of steps recorded for one request.
const MAX_STEPS_PER_REQUEST: usize = 16;

/// A decision or an observation about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// The request arrived from a caller or another node.
    Arrived {
        /// The class of the request.
        class: id::Class,
        /// The configuration revision on arrival.
        revision: u64,
        /// The time left until the deadline, in microseconds.
        left_us: u64,
    },
    /// The request was forwarded to the node that its key names.
    Forwarded {
        /// The receiving node.
        to: id::Host,
    },
    /// The request waits for the answer of another with the same key.
    Waits,
    /// An endpoint was requested from a pool.
    Asked {
        /// The node that manages the pool.
        of: id::Host,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An endpoint was granted and called.
    Called {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The first token arrived.
    First,
    /// The call was stopped.
    Stopped {
        /// The reason.
        code: Code,
    },
    /// The request ended.
    Ended {
        /// The result.
        code: Code,
    },
}

/// The steps of the most recent requests, bounded in number.
#[derive(Debug, Default)]
pub struct Trace {
    steps: HashMap<id::Request, Vec<(Time, Step)>>,
    order: VecDeque<id::Request>,
}

impl Trace {
    /// Records a step of a request.
    pub fn add(&mut self, now: Time, request: id::Request, step: Step) {
        if !self.steps.contains_key(&request) {
            self.order.push_back(request);
        }
        let steps = self.steps.entry(request).or_default();
        if steps.len() < MAX_STEPS_PER_REQUEST {
            steps.push((now, step));
        }
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.steps.remove(&oldest);
        }
    }

    /// Returns the steps of a request, or `None` if it is no longer recorded.
    pub fn steps_opt(&self, request: id::Request) -> Option<&[(Time, Step)]> {
        self.steps.get(&request).map(Vec::as_slice)
    }
}
