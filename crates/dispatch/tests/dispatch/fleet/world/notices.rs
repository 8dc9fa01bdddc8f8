//! What endpoints say of themselves in answers: that they leave, and that they want rest.

use std::collections::HashMap;

use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Event;
use super::World;

/// How long after an answer said so requests may still go to an endpoint that leaves.
const LEAVING_GRACE: Span = Span::from_secs(2);

/// How long after a refusal its rest binds, and the requests that may come in it.
const REST_GRACE: Span = Span::from_millis(500);
const MAX_DURING_REST: usize = 2;

/// How an endpoint turns requests away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejecting {
    /// For how long it wants nothing from a node that it turned away.
    pub rest: Span,
    /// One request of so many is turned away.
    pub one_of: u64,
}

/// One incarnation of a node, and an endpoint that it sends requests to.
type Pair = (u16, u32, id::Endpoint);

/// What endpoints say, and what nodes that were told then did.
#[derive(Debug, Default)]
pub struct Notices {
    /// Endpoints whose answers say that they leave.
    pub leaving: Vec<id::Endpoint>,
    /// Endpoints that turn requests away.
    pub rejecting: HashMap<id::Endpoint, Rejecting>,
    /// How often each node was started.
    incarnations: HashMap<u16, u32>,
    /// When a node first got an answer by which an endpoint leaves.
    told_at: HashMap<Pair, Time>,
    /// When a node was turned away, and for how long the endpoint wants nothing.
    refusals: HashMap<Pair, Vec<(Time, Span)>>,
    /// When requests of a node reached an endpoint, and when those had come.
    sent: HashMap<Pair, Vec<(Time, Time)>>,
}

impl Notices {
    fn pair(&self, node: u16, endpoint: &id::Endpoint) -> Pair {
        let incarnation = self.incarnations.get(&node).copied().unwrap_or(0);
        (node, incarnation, endpoint.clone())
    }

    /// A node starts and knows nothing of before.
    pub(super) fn start(&mut self, node: u16) {
        *self.incarnations.entry(node).or_default() += 1;
    }

    /// True where an endpoint turns a request away.
    fn refuses(&self, endpoint: &id::Endpoint, drawn: u64) -> bool {
        let refusing = self.rejecting.get(endpoint);
        refusing.is_some_and(|one| hash::of(&drawn.to_le_bytes()).is_multiple_of(one.one_of))
    }

    /// Requests that came later than allowed after their node was told that the endpoint
    /// leaves.
    fn late(&self) -> usize {
        let late = self.sent.iter().map(|(pair, sent)| {
            let told = self.told_at.get(pair);
            let is_late = |came: &Time| told.is_some_and(|told| *came > *told + LEAVING_GRACE);
            sent.iter().filter(|(_, came)| is_late(came)).count()
        });
        late.sum()
    }

    /// Fails where an endpoint that leaves got a request too late, or said so to nobody.
    pub fn assert_leaving_respected(&self) {
        assert!(!self.told_at.is_empty(), "nobody was told");
        assert_eq!(self.late(), 0);
    }

    /// The most requests that reached an endpoint from one node while it rested for it.
    fn most_during_rest(&self) -> usize {
        let most = self.refusals.iter().filter_map(|(pair, refusals)| {
            let sent = self.sent.get(pair)?;
            let within = refusals.iter().map(|(at, rest)| {
                let rests = |when: &Time| *when > *at + REST_GRACE && *when < *at + *rest;
                sent.iter().filter(|(when, _)| rests(when)).count()
            });
            within.max()
        });
        most.max().unwrap_or(0)
    }

    /// Fails where an endpoint that rests got more requests from a node than it may, or
    /// turned nobody away.
    pub fn assert_rest_respected(&self) {
        assert!(!self.refusals.is_empty(), "nobody was turned away");
        let most = self.most_during_rest();
        assert!(most <= MAX_DURING_REST, "{most} in one rest");
    }
}

impl World {
    /// What the head of an endpoint's answer to a node says.
    pub(super) fn read_notice(&mut self, node: u16, endpoint: &id::Endpoint) -> Notice {
        if self.previous_build.contains(&node) {
            return Notice::default();
        }
        let leaving = self.notices.leaving.contains(endpoint);
        if leaving {
            let pair = self.notices.pair(node, endpoint);
            self.notices.told_at.entry(pair).or_insert(self.now);
        }
        let limit = self.rate_limits.get(endpoint).copied();
        Notice {
            rate_limit: limit.map_or(Field::Absent, Field::Given),
            leaving,
            ..Notice::default()
        }
    }

    /// A request reaches an endpoint, which turns it away or runs it.
    pub(super) fn deliver(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        let outcome = &self.outcomes[&(node, id)];
        let (came, decided) = (outcome.arrived, outcome.decided);
        let pair = self.notices.pair(node, endpoint);
        let sent = self.notices.sent.entry(pair.clone()).or_default();
        sent.push((self.now, came));
        let drawn = hash::chain(id.0 + u64::from(decided), &node.to_le_bytes());
        if !self.notices.refuses(endpoint, drawn) {
            self.start_run(node, id, endpoint);
            return;
        }
        let rest = self.notices.rejecting[endpoint].rest;
        let refusals = self.notices.refusals.entry(pair).or_default();
        refusals.push((self.now, rest));
        self.outcomes
            .get_mut(&(node, id))
            .expect("the request arrived")
            .decided += 1;
        let arrivals = self.arrivals.entry(endpoint.clone()).or_default();
        arrivals.push(self.now);
        let heard = self.now + self.shape.latency;
        self.schedule(heard, Event::Rejected(node, id, endpoint.clone()));
    }

    /// A node learns that its request was turned away.
    pub(super) fn handle_rejection(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        let reads = !self.previous_build.contains(&node);
        let refusing = self.notices.rejecting.get(endpoint).filter(|_| reads);
        let rest = refusing.map(|one| one.rest);
        let notice = Notice {
            rate_limit: Field::Unknown,
            rest,
            ..self.read_notice(node, endpoint)
        };
        let Some(dispatcher) = self.nodes.get_mut(&node) else {
            return;
        };
        dispatcher.take_notice(self.now, id, &notice);
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
