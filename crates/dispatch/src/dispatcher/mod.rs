//! One node's whole state. Commands take the time; what they decide is handed
//! over by [`Dispatcher::take_decisions`].
//!
//! * `publish.rs`: what the platform published comes into force.
//! * `reserve.rs`: requests are charged to their customer's quota.
//! * `enter.rs`: requests come.
//! * `retry.rs`: when callers that are refused come back.
//! * `borrow.rs`: slots that other nodes own are asked for.
//! * `answer.rs`: what becomes of their answers.
//! * `lend.rs`: slots that this node owns are given to others.
//! * `spare.rs`: slots that one cell has to spare for another.
//! * `policy.rs`: bounds and weights.
//! * `decision.rs`: what is decided.
//! * `place.rs`: which request goes to which endpoint now.
//! * `doubt.rs`: endpoints that may turn a request away.
//! * `begin.rs`: a request is counted in at its endpoint.
//! * `permit.rs`: who may send a request to an endpoint with a bound over all nodes.
//! * `start_cold.rs`: endpoints that are cold.
//! * `keep_rate_limit.rs`: endpoints that name how many requests a second they take.
//! * `displace.rs`: where requests go that may not run in this data centre.
//! * `predict.rs`: what is expected of an engine.
//! * `observe.rs`: calls make progress and end.
//! * `take_notice.rs`: what endpoints say of themselves in answers.
//! * `suspect.rs`: requests under which endpoints ended.
//! * `tick.rs`: what only the passing of time brings about.
//! * `share.rs`: what nodes tell each other.
//! * `query.rs`: queries.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Time;

use crate::budget;
use crate::budget::Budget;
use crate::cold;
use crate::configuration::Priority;
use crate::configuration::Rank;
use crate::duration::Durations;
use crate::endpoint;
use crate::endpoint::List;
use crate::first_try;
use crate::job;
use crate::job::Job;
use crate::lease::Lease;
use crate::lease::Origin;
use crate::leaving;
use crate::length::Lengths;
use crate::member;
use crate::member::Members;
use crate::message::Message;
use crate::notice;
use crate::parts;
use crate::quarantine;
use crate::quarantine::Registry;
use crate::queue::Queue;
use crate::quota;
use crate::quota::Accounts;
use crate::rate_limit;
use crate::region;
use crate::restore::Corrections;
use crate::section;
use crate::table::Table;
use crate::turnaround::Turnaround;
use crate::warm;
use crate::warm::Warm;
use crate::worker;
use crate::worker::Worker;

mod answer;
mod begin;
mod borrow;
mod decision;
mod displace;
mod doubt;
mod enter;
mod keep_rate_limit;
mod lend;
mod observe;
mod permit;
mod place;
mod policy;
mod predict;
mod publish;
mod query;
mod reserve;
mod retry;
mod share;
mod spare;
mod start_cold;
mod suspect;
mod take_notice;
mod tick;

use borrow::Question;
pub use decision::Cause;
pub use decision::Decision;
pub use decision::Next;
pub use decision::Reason;
pub use enter::Refusal;
use lend::Remote;
pub use policy::Policy;
pub use query::PassedOver;
pub use query::Summary;
pub use reserve::Charge;
pub use suspect::Change;
pub use suspect::Evidence;

/// What a dispatcher is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// This node's address among the nodes.
    pub own: SocketAddrV4,
    /// This life of the node; must never be used twice.
    pub incarnation: u64,
    /// This node's data centre.
    pub data_centre: id::DataCentre,
    /// Addresses of some other nodes, perhaps stale.
    pub seeds: Vec<SocketAddrV4>,
    /// Bounds of the policy.
    pub policy: Policy,
    /// Bounds of what is learnt of endpoints.
    pub worker: worker::Options,
    /// Bounds of prompt hints.
    pub warm: warm::Options,
    /// Bounds of membership.
    pub member: member::Options,
    /// How far quotas may be exceeded.
    pub quota: quota::Options,
    /// What may be sent again.
    pub budget: budget::Options,
    /// What is not run any more.
    pub quarantine: quarantine::Options,
    /// The region of each data centre.
    pub regions: region::Map,
}

/// A request that runs at an endpoint.
#[derive(Debug)]
struct Run {
    job: Job,
    worker: usize,
    started: Time,
    uncached: u64,
    ahead: u64,
    /// True where it was sent beyond the endpoint's slots.
    queued: bool,
    first: Option<Time>,
    marked: Time,
    events: u32,
    /// Events that it has shown.
    shown: u32,
    /// When it last showed an event.
    last: Time,
    /// The shortest time between two of its events, in microseconds.
    step: Option<f64>,
    /// The slot, where another node gave it.
    lease: Option<Lease>,
    /// When that node was last told of progress.
    reported: Time,
}

/// What one node knows of one service.
#[derive(Debug)]
struct Pool {
    engine: bool,
    /// True where it has too few endpoints for each cell to have its own.
    shared: bool,
    number: u32,
    least_protected: Priority,
    /// What its endpoints bear while they are cold; none where nothing says so.
    cold: Option<cold::Bound>,
    workers: Vec<Worker>,
    index: HashMap<id::Endpoint, usize>,
    queue: Queue,
    warm: Warm,
    /// The share of prompts that were seen before, whole.
    recurring: f64,
    /// When requests of each rank were lately sent.
    starts: HashMap<Rank, VecDeque<Time>>,
    /// Usual time to the first event, in microseconds.
    first: f64,
    /// The longest pauses between two events, as a multiple of the engine's
    /// step.
    longest_pause: f64,
    /// Usual time between two events of a stream, in microseconds.
    step: f64,
    /// How long streams are beside what their callers estimate.
    lengths: Lengths,
    /// Usual time for reading one prompt token, in microseconds.
    prefill: f64,
    /// Usual time of a whole call, in microseconds.
    call: f64,
    /// How long its slots stand idle between calls of other nodes.
    turnaround: Turnaround,
    /// When one of its endpoints was last open; none where none was yet.
    open_at: Option<Time>,
}

/// One node's decisions.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    table: Option<Arc<Table>>,
    /// Parts of a configuration that is not in force yet.
    received: parts::Received,
    list: Arc<List>,
    /// The sections of that list.
    sections: section::Index,
    /// That list as the platform has it, where more is known of what it says.
    uncorrected: Option<Arc<List>>,
    /// What earlier lists said that an older copy of the platform may not say.
    memory: Corrections,
    pools: HashMap<id::Target, Pool>,
    places: HashMap<job::Id, id::Target>,
    runs: HashMap<job::Id, Run>,
    members: Members,
    accounts: Accounts,
    budget: Budget,
    /// Requests under which endpoints ended.
    quarantine: Registry,
    /// What became known of them.
    changes: Vec<Change>,
    /// Endpoints that said in answers that they leave.
    leaving_endpoints: leaving::Registry,
    /// What is believed of endpoints otherwise than before, by no answer to this node.
    updates: Vec<notice::Update>,
    durations: Durations,
    first_tries: first_try::Histogram,
    /// Requests of this node for which others were asked for a slot.
    questions: HashMap<job::Id, Question>,
    /// Requests of other nodes that wait or run in slots of this node's.
    remote: HashMap<Origin, Remote>,
    /// What others told of endpoints' rate limits since the last tick.
    rate_limits_heard: HashMap<u32, rate_limit::Report>,
    /// Until when endpoints rest for other nodes, as heard since the last tick.
    rests_heard: HashMap<u32, Time>,
    /// When the owners of other cells last had no slot to spare.
    denied: HashMap<SocketAddrV4, Time>,
    /// Messages that are to be sent.
    outbox: Vec<(SocketAddrV4, Message)>,
    next_job: u64,
    next_question: u64,
    next_reserve: u64,
    sequence: u64,
    leaving: bool,
    cut_off: bool,
    urgent: bool,
    /// True while documents have come into force of which nobody was told.
    news: bool,
    ticked: Time,
    arranged: Time,
    decisions: Vec<Decision>,
}

impl Dispatcher {
    /// Nothing is known yet.
    pub fn new(options: Options) -> Dispatcher {
        Dispatcher {
            members: Members::new(
                options.own,
                endpoint::number_of(options.data_centre.as_str()),
                &options.seeds,
                options.member.clone(),
            ),
            accounts: Accounts::new(options.quota.clone()),
            budget: Budget::new(options.budget.clone()),
            quarantine: Registry::new(options.quarantine.clone()),
            changes: Vec::new(),
            leaving_endpoints: leaving::Registry::default(),
            updates: Vec::new(),
            durations: Durations::default(),
            first_tries: first_try::Histogram::default(),
            options,
            table: None,
            received: parts::Received::default(),
            list: Arc::default(),
            sections: section::Index::default(),
            uncorrected: None,
            memory: Corrections::default(),
            pools: HashMap::new(),
            places: HashMap::new(),
            runs: HashMap::new(),
            questions: HashMap::new(),
            remote: HashMap::new(),
            rate_limits_heard: HashMap::new(),
            rests_heard: HashMap::new(),
            denied: HashMap::new(),
            outbox: Vec::new(),
            next_job: 0,
            next_question: 0,
            next_reserve: 0,
            sequence: 0,
            leaving: false,
            cut_off: false,
            urgent: false,
            news: false,
            ticked: Time(0),
            arranged: Time(0),
            decisions: Vec::new(),
        }
    }

    /// Takes what was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes what is believed of endpoints otherwise than at the last call, but for what
    /// answers to this node's requests brought.
    pub fn take_updates(&mut self) -> Vec<notice::Update> {
        std::mem::take(&mut self.updates)
    }

    /// Takes the messages that are to be sent since the last call.
    pub fn take_messages(&mut self) -> Vec<(SocketAddrV4, Message)> {
        std::mem::take(&mut self.outbox)
    }
}
