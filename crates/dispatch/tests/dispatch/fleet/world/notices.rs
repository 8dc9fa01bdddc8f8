//! Conditions that endpoints state in answers: leaving, and rest after a rejection.

use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Event;
use super::World;
use super::brittle::Brittle;

/// How long requests may still be sent to an endpoint after it stated that it leaves.
const LEAVING_GRACE: Span = Span::from_secs(2);

/// The time after a rejection from which the node has to respect the rest.
const REST_GRACE: Span = Span::from_millis(500);

/// The maximum number of requests from a node during one rest.
const MAX_DURING_REST: usize = 2;

/// How an endpoint rejects requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejecting {
    /// The rest for which it asks a rejected node.
    pub rest: Span,
    /// One in this many requests is rejected.
    pub one_of: u64,
}

/// A node, its incarnation, and an endpoint that it sends requests to.
type Pair = (u16, u32, id::Endpoint);

/// What endpoints state, and the requests that nodes sent afterwards.
#[derive(Debug, Default)]
pub struct Notices {
    /// The endpoints that state that they leave.
    pub leaving: Vec<id::Endpoint>,
    /// The endpoints that reject requests.
    pub rejecting: HashMap<id::Endpoint, Rejecting>,
    /// How often each node was started.
    incarnations: HashMap<u16, u32>,
    /// When a node first learnt that an endpoint leaves.
    learnt_at: HashMap<Pair, Time>,
    /// When a node was rejected, and the rest that the endpoint asked for.
    rejections: HashMap<Pair, Vec<(Time, Span)>>,
    /// When requests of a node reached an endpoint, and when they arrived at the node.
    sent: HashMap<Pair, Vec<(Time, Time)>>,
}

impl Notices {
    fn pair(&self, node: u16, endpoint: &id::Endpoint) -> Pair {
        let incarnation = self.incarnations.get(&node).copied().unwrap_or(0);
        (node, incarnation, endpoint.clone())
    }

    /// Records a start of a node, which knows none of the earlier statements.
    pub(super) fn start(&mut self, node: u16) {
        *self.incarnations.entry(node).or_default() += 1;
    }

    /// Whether an endpoint rejects a request.
    fn rejects(&self, endpoint: &id::Endpoint, drawn: u64) -> bool {
        let rejecting = self.rejecting.get(endpoint);
        rejecting.is_some_and(|one| hash::of(&drawn.to_le_bytes()).is_multiple_of(one.one_of))
    }

    /// Returns the number of requests sent although they arrived later than the grace time
    /// after the node learnt that the endpoint leaves.
    fn late(&self) -> usize {
        let late = self.sent.iter().map(|(pair, sent)| {
            let learnt = self.learnt_at.get(pair);
            let is_late =
                |arrived: &Time| learnt.is_some_and(|learnt| *arrived > *learnt + LEAVING_GRACE);
            sent.iter().filter(|(_, arrived)| is_late(arrived)).count()
        });
        late.sum()
    }

    /// Asserts that nodes learnt of a leaving endpoint and sent it no late request.
    pub fn assert_leaving_respected(&self) {
        assert!(
            !self.learnt_at.is_empty(),
            "no node learnt that the endpoint leaves"
        );
        assert_eq!(self.late(), 0);
    }

    /// Returns the most requests from one node to an endpoint during a rest.
    fn most_during_rest(&self) -> usize {
        let most = self.rejections.iter().filter_map(|(pair, rejections)| {
            let sent = self.sent.get(pair)?;
            let within = rejections.iter().map(|(at, rest)| {
                let rests = |when: &Time| *when > *at + REST_GRACE && *when < *at + *rest;
                sent.iter().filter(|(when, _)| rests(when)).count()
            });
            within.max()
        });
        most.max().unwrap_or(0)
    }

    /// Asserts that requests were rejected and that nodes respected the rest.
    pub fn assert_rest_respected(&self) {
        assert!(!self.rejections.is_empty(), "no request was rejected");
        let most = self.most_during_rest();
        assert!(most <= MAX_DURING_REST, "{most} in one rest");
    }
}

impl World {
    /// Returns what the head of an endpoint's answer to a node states.
    pub(super) fn read_notice(&mut self, node: u16, endpoint: &id::Endpoint) -> Notice {
        if self.previous_build.contains(&node) {
            return Notice::default();
        }
        let leaving = self.notices.leaving.contains(endpoint);
        if leaving {
            let pair = self.notices.pair(node, endpoint);
            self.notices.learnt_at.entry(pair).or_insert(self.now);
        }
        let limit = self.rate_limits.get(endpoint).copied();
        let tolerance = self.brittle.as_ref().map(Brittle::tolerance);
        Notice {
            rate_limit: limit.map_or(Field::Absent, Field::Given),
            tolerance: tolerance.map_or(Field::Absent, Field::Given),
            leaving,
            ..Notice::default()
        }
    }

    /// Delivers a request to an endpoint, which rejects or runs it.
    pub(super) fn deliver(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        if self.is_cut(node) {
            self.hang(node, id);
            return;
        }
        let outcome = &self.outcomes[&(node, id)];
        let (arrived, decided) = (outcome.arrived, outcome.decided);
        let pair = self.notices.pair(node, endpoint);
        let sent = self.notices.sent.entry(pair.clone()).or_default();
        sent.push((self.now, arrived));
        let drawn = hash::chain(id.0 + u64::from(decided), &node.to_le_bytes());
        if self.reject_for_want_of_room(node, id, endpoint) {
            return;
        }
        if !self.notices.rejects(endpoint, drawn) {
            self.start_run(node, id, endpoint);
            return;
        }
        let rest = self.notices.rejecting[endpoint].rest;
        let rejections = self.notices.rejections.entry(pair).or_default();
        rejections.push((self.now, rest));
        self.outcomes
            .get_mut(&(node, id))
            .expect("the request arrived")
            .decided += 1;
        let arrivals = self.arrivals.entry(endpoint.clone()).or_default();
        arrivals.push(self.now);
        let heard = self.now + self.shape.latency;
        self.schedule(heard, Event::Rejected(node, id, endpoint.clone()));
    }

    /// Reports to a node that its request was rejected.
    pub(super) fn handle_rejection(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        let reads = !self.previous_build.contains(&node);
        let rejecting = self.notices.rejecting.get(endpoint).filter(|_| reads);
        let rest = rejecting.map(|one| one.rest);
        let notice = Notice {
            rate_limit: Field::Unknown,
            tolerance: Field::Unknown,
            rest,
            ..self.read_notice(node, endpoint)
        };
        let Some(dispatcher) = self.nodes.get_mut(&node) else {
            return;
        };
        dispatcher.apply_notice(self.now, id, &notice);
        let next = dispatcher.end(self.now, id, End::Full);
        if next != Next::Again {
            let outcome = self
                .outcomes
                .get_mut(&(node, id))
                .expect("the request arrived");
            outcome.refused = true;
        }
        self.apply_decisions(node);
    }
}
