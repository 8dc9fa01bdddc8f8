//! The scheduling state of one node. Each command takes the current time; the resulting decisions
//! are collected with [`Dispatcher::take_decisions`].
//!
//! * `publish.rs`: applies configurations and endpoint lists from the platform.
//! * `reserve.rs`: charges requests to their customer's quota.
//! * `enter.rs`: admits or refuses new requests.
//! * `flow.rs`: counts recent arrivals and starts.
//! * [`forecast`]: predicts the wait of a request from those that precede it in the queue.
//! * `share_fairly.rs`: orders the requests of one rank by their customers' fair shares.
//! * `track_starts.rs`: tracks whether endpoints are still the starts that the platform lists.
//! * `track_versions.rs`: tracks the versions of the software that endpoints run.
//! * `await_start.rs`: take-ups that wait until doubts about the starts of endpoints are settled.
//! * `bind.rs`: binds streams to the version that began them, and keeps records of that.
//! * `take_up.rs`: finds out which version began a stream that a caller takes up.
//! * `confirm_version.rs`: confirms with the platform that one version serves alone.
//! * `book.rs`: books places for callers that are refused, and recognises them when they return.
//! * `redirect.rs`: redirects requests to owners at which they wait less.
//! * `report_queue.rs`: exchanges reports on waiting requests with those owners.
//! * `decline.rs`: declines new connections while this node is late with its own work.
//! * `hold.rs`: holds requests after a pause of this node.
//! * `retry.rs`: computes when refused callers should retry.
//! * `borrow.rs`: requests slots that other nodes own.
//! * `answer.rs`: handles their replies.
//! * `lend.rs`: grants slots that this node owns to other nodes.
//! * `spare.rs`: lends a cell's spare slots to other cells.
//! * `policy.rs`: limits and weights of the scheduling policy.
//! * `decision.rs`: decision types.
//! * `place.rs`: assigns waiting requests to endpoints.
//! * `rejection.rs`: ranks endpoints that may reject a request.
//! * `track_links.rs`: tracks which endpoints this node reaches.
//! * `probe_links.rs`: probes of endpoints that this node may not reach.
//! * `forward.rs`: forwards requests to nodes that reach endpoints which this node doesn't.
//! * `start.rs`: records the start of a request at its endpoint.
//! * `permit.rs`: decides which node may send to an endpoint with a fleet-wide limit.
//! * `start_cold.rs`: limits the rate of requests to cold endpoints.
//! * `keep_rate_limit.rs`: enforces the rate limits that endpoints state.
//! * `displace.rs`: queues requests in other data centres when they may not run in this one.
//! * `predict.rs`: forecasts engine performance.
//! * `present_speed.rs`: prefers endpoints that are not slow at present.
//! * `observe.rs`: records the progress and the end of attempts.
//! * `measure_load.rs`: records the load that endpoints state.
//! * `apply_notice.rs`: applies what endpoints state about themselves in answers.
//! * `supersede.rs`: further attempts for requests whose endpoints this node doesn't reach any more.
//! * `suspect.rs`: tracks requests suspected of crashing endpoints.
//! * `tick.rs`: periodic work.
//! * `share.rs`: exchanges status with other nodes.
//! * `query.rs`: read-only queries.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::binding;
use crate::booking;
use crate::booking::Calendar;
use crate::budget;
use crate::budget::Budget;
use crate::cold;
use crate::configuration::Priority;
use crate::configuration::Rank;
use crate::duration::Durations;
use crate::endpoint;
use crate::endpoint::List;
use crate::fair_share;
use crate::first_try;
use crate::job;
use crate::job::Job;
use crate::lateness;
use crate::lease::Lease;
use crate::lease::Origin;
use crate::leaving;
use crate::length::Lengths;
use crate::map::HashMap;
use crate::member;
use crate::member::Members;
use crate::message::Message;
use crate::notice;
use crate::parts;
use crate::pause;
use crate::prefix_cache;
use crate::prefix_cache::PrefixCache;
use crate::quarantine;
use crate::quarantine::Registry;
use crate::queue::Queue;
use crate::quota;
use crate::quota::Accounts;
use crate::rate_limit;
use crate::region;
use crate::restore::Corrections;
use crate::section;
use crate::stated_load;
use crate::table::Table;
use crate::turnaround::Turnaround;
use crate::worker;
use crate::worker::Worker;

mod answer;
mod apply_notice;
mod await_start;
mod bind;
mod book;
mod borrow;
mod confirm_version;
mod decision;
mod decline;
mod displace;
mod enter;
mod flow;
pub mod forecast;
mod forward;
mod hold;
mod keep_rate_limit;
mod keep_tolerance;
mod lend;
mod measure_load;
mod observe;
mod permit;
mod place;
mod policy;
mod predict;
mod present_speed;
mod probe_links;
mod publish;
mod query;
mod redirect;
mod rejection;
mod report_queue;
mod reserve;
mod retry;
mod share;
mod share_fairly;
mod spare;
mod start;
mod start_cold;
mod supersede;
mod suspect;
mod take_up;
mod tick;
mod track_links;
mod track_starts;
mod track_versions;

use borrow::OpenRequest;
pub use decision::Admission;
pub use decision::Cause;
pub use decision::Decision;
pub use decision::Next;
pub use decision::Reason;
pub use decline::Lateness;
pub use enter::Refusal;
use flow::Flow;
pub use flow::Rate;
use forward::Forward;
pub use forward::ForwardEnd;
use lend::RemoteRequest;
pub use policy::Policy;
pub use probe_links::ProbeTarget;
use probe_links::Refused;
pub use query::PassedOver;
pub use query::Summary;
pub use query::Unusable;
pub use reserve::Charge;
pub use supersede::Successor;
pub use suspect::Bar;
pub use suspect::Change;
pub use suspect::Evidence;
pub use take_up::Asked;
use take_up::Inquiry;
pub use take_up::Source;
pub use take_up::TakeUp;
pub use track_links::LinkUpdate;
pub use track_starts::StartUpdate;
use track_versions::Versions;

/// The settings of a dispatcher.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address at which other nodes reach this node.
    pub own: SocketAddrV4,
    /// The incarnation of this node; must be unique for each start.
    pub incarnation: u64,
    /// This node's data centre.
    pub data_centre: id::DataCentre,
    /// The addresses of some other nodes; may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// The scheduling policy.
    pub policy: Policy,
    /// Settings for tracking endpoint state.
    pub worker: worker::Options,
    /// Settings of the prefix cache.
    pub prefix_cache: prefix_cache::Options,
    /// Settings of cluster membership.
    pub member: member::Options,
    /// How far quotas may be exceeded.
    pub quota: quota::Options,
    /// The budget for sending requests again.
    pub budget: budget::Options,
    /// Settings of the quarantine for requests that crash endpoints.
    pub quarantine: quarantine::Options,
    /// The region of each data centre.
    pub regions: region::Map,
}

/// A request in progress at an endpoint.
#[derive(Debug)]
struct Run {
    job: Job,
    worker: usize,
    started: Time,
    uncached: u64,
    /// Prompt tokens of other requests that the endpoint had to read first.
    tokens_ahead: u64,
    /// Whether it was sent while all slots of the endpoint were in use.
    queued: bool,
    first: Option<Time>,
    /// When the sample of the time between events began, and the events received in it.
    sample_start: Time,
    sample_events: u32,
    /// Events received so far.
    event_count: u32,
    /// When the last event was received.
    last: Time,
    /// The shortest time between two events, in microseconds.
    step: Option<f64>,
    /// The lease, if another node granted the slot.
    lease: Option<Lease>,
    /// When the granting node was last sent a report of progress.
    reported: Time,
    /// The load that the endpoint stated in its answer and that was not reported to the granting
    /// node yet, and when this node read it.
    stated_load: Option<(Time, stated_load::Load)>,
    /// Whether it was recorded that the answer has gone on for long.
    is_recorded_gone_on: bool,
    /// Whether the answer ended with its connection, maybe since its endpoint did.
    is_end_in_doubt: bool,
    /// Whether its times show how fast its endpoint is, and not how late the node that measured them.
    is_timed: bool,
}

/// The state that this node keeps for one service.
#[derive(Debug)]
struct Pool {
    engine: bool,
    /// Whether the service has too few endpoints to give each cell its own.
    shared: bool,
    /// Whether the slots of its endpoints have owners, which grant them to other nodes.
    has_owners: bool,
    number: u32,
    least_protected: Priority,
    /// The request rate that its endpoints sustain while cold, if configured.
    cold: Option<cold::Bound>,
    workers: Vec<Worker>,
    index: HashMap<id::Endpoint, usize>,
    queue: Queue,
    prefix_cache: PrefixCache,
    /// The share of prompts that had been seen before in full.
    repeat_ratio: f64,
    /// When requests of each rank were recently started.
    starts: HashMap<Rank, VecDeque<Time>>,
    /// Recent arrivals and starts, for the forecast by position.
    flow: Flow,
    /// The typical time to the first event, in microseconds.
    first_event_us: f64,
    /// The length of the longest pauses between two events, as a multiple of the step.
    longest_pause: f64,
    /// The typical time between two events of a stream, in microseconds.
    step_us: f64,
    /// The lengths of streams relative to their callers' estimates.
    lengths: Lengths,
    /// The typical time to read one prompt token, in microseconds.
    prefill_us: f64,
    /// The typical duration of a call, in microseconds.
    call_us: f64,
    /// How long its slots stay idle between calls of other nodes.
    turnaround: Turnaround,
    /// When one of its endpoints was last open, if ever.
    open_at: Option<Time>,
    /// When another cell last granted a spare slot for it.
    spare_granted_at: Option<Time>,
    /// The path at which its endpoints answer health checks, if configured.
    health_path: Option<String>,
    /// Until when no further probe of a lost link starts.
    lost_probe_after: Time,
    /// Whether its endpoints state how long work takes there at present.
    has_variable_capacity: bool,
    /// The number of requests that were not sent to an endpoint because it is slow at present.
    avoided_slow: u64,
    /// The reports of the other owners of its slots.
    redirection: redirect::State,
    /// Places booked for callers that were refused.
    calendar: Calendar,
    /// The use of the service by the customers of each rank, where fair shares apply.
    shares: HashMap<Rank, fair_share::Ledger>,
    /// The number of requests that left the queue, or became late there, without a charge to their
    /// customer.
    share_refunds: u64,
    /// The number of requests that arrived when others of their customer already waited beyond its
    /// share.
    share_excesses: u64,
    /// The versions of its endpoints' software.
    versions: Versions,
    /// The longest timeout of the routes of resumable streams to it.
    stream_timeout: Span,
}

/// The scheduler of one node.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    table: Option<Arc<Table>>,
    /// Parts of a configuration that is not in force yet.
    received: parts::Received,
    list: Arc<List>,
    /// The sections of `list`.
    sections: section::Index,
    /// The list as published by the platform, if `list` contains corrections.
    uncorrected: Option<Arc<List>>,
    /// The endpoints of `list` that the platform's list lacks, since that may be incomplete.
    kept: Vec<id::Endpoint>,
    /// When `list` came into force.
    listed_at: Time,
    /// Facts from earlier lists that an older copy of the platform's data may lack.
    corrections: Corrections,
    pools: HashMap<id::Target, Pool>,
    targets: HashMap<job::Id, id::Target>,
    runs: HashMap<job::Id, Run>,
    /// Requests of this node's callers that other nodes run.
    forwards: HashMap<job::Id, Forward>,
    /// Changes of this node's links since they were last taken.
    link_updates: Vec<LinkUpdate>,
    /// Changes of what is known of endpoints' starts since they were last taken.
    start_updates: Vec<StartUpdate>,
    /// Endpoints that refused a connection after a call broke, until it shows whether this node's links
    /// are to blame.
    refused_endpoints: Vec<Refused>,
    members: Members,
    accounts: Accounts,
    budget: Budget,
    /// Features of requests suspected of crashing endpoints.
    quarantine: Registry,
    /// Changes to the quarantine since they were last taken.
    quarantine_changes: Vec<Change>,
    /// Endpoints that stated in an answer that they are leaving.
    leaving_endpoints: leaving::Registry,
    /// Changes in endpoint state that did not come from answers to this node.
    endpoint_updates: Vec<notice::Update>,
    durations: Durations,
    first_tries: first_try::Histogram,
    /// Requests of this node for which a slot of another node was requested.
    open_requests: HashMap<job::Id, OpenRequest>,
    /// Requests of other nodes that wait for or run in slots of this node.
    remote_requests: HashMap<Origin, RemoteRequest>,
    /// Rate limits that other nodes announced since the last tick.
    received_rate_limits: HashMap<u32, rate_limit::Report>,
    /// When endpoints stop resting for other nodes, as announced since the last tick.
    received_rests: HashMap<u32, Time>,
    /// When the owners in other cells last denied a spare slot.
    spare_denied_at: HashMap<SocketAddrV4, Time>,
    /// Which version began each stream, as far as this node keeps it.
    bindings: binding::Registry,
    /// Requests that take a stream up while others are asked which version began it.
    inquiries: HashMap<job::Id, Inquiry>,
    /// What came of finding that out, until the node that holds the request takes it.
    take_ups: HashMap<job::Id, TakeUp>,
    next_inquiry: u64,
    /// The call to the platform that inquiries wait for, if any do.
    confirming: Option<pause::Generation>,
    /// Messages to be sent.
    outbox: Vec<(SocketAddrV4, Message)>,
    /// The starts of requests with a booking since they were last taken.
    booking_starts: Vec<booking::Start>,
    next_job: u64,
    next_open_request: u64,
    next_reserve: u64,
    sequence: u64,
    leaving: bool,
    /// Closed after a pause until this node has confirmed what it knows.
    gate: pause::Gate,
    /// Requests to be submitted once the gate opens.
    held_jobs: Vec<(job::Id, Job)>,
    /// Changes of the gate since they were last taken.
    pause_changes: Vec<pause::Change>,
    platform_unreachable: bool,
    /// When this node or one that it hears was last unable to reach the platform.
    platform_lost_at: Time,
    urgent: bool,
    /// Whether documents came into force that were not announced to other nodes yet.
    has_news: bool,
    ticked_at: Time,
    arranged_at: Time,
    /// How late this node is with its own work.
    lateness: lateness::Meter,
    connection_limit: lateness::Limit,
    decisions: Vec<Decision>,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration or endpoints.
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
            quarantine_changes: Vec::new(),
            leaving_endpoints: leaving::Registry::default(),
            endpoint_updates: Vec::new(),
            durations: Durations::default(),
            first_tries: first_try::Histogram::default(),
            options,
            table: None,
            received: parts::Received::default(),
            list: Arc::default(),
            sections: section::Index::default(),
            uncorrected: None,
            kept: Vec::new(),
            listed_at: Time(0),
            corrections: Corrections::default(),
            pools: HashMap::default(),
            targets: HashMap::default(),
            runs: HashMap::default(),
            forwards: HashMap::default(),
            link_updates: Vec::new(),
            start_updates: Vec::new(),
            refused_endpoints: Vec::new(),
            open_requests: HashMap::default(),
            remote_requests: HashMap::default(),
            received_rate_limits: HashMap::default(),
            received_rests: HashMap::default(),
            spare_denied_at: HashMap::default(),
            bindings: binding::Registry::default(),
            inquiries: HashMap::default(),
            take_ups: HashMap::default(),
            next_inquiry: 0,
            confirming: None,
            outbox: Vec::new(),
            booking_starts: Vec::new(),
            next_job: 0,
            next_open_request: 0,
            next_reserve: 0,
            sequence: 0,
            leaving: false,
            gate: pause::Gate::default(),
            held_jobs: Vec::new(),
            pause_changes: Vec::new(),
            platform_unreachable: false,
            platform_lost_at: Time(0),
            urgent: false,
            has_news: false,
            ticked_at: Time(0),
            arranged_at: Time(0),
            lateness: lateness::Meter::default(),
            connection_limit: lateness::Limit::default(),
            decisions: Vec::new(),
        }
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the changes in endpoint state since the last call, except those that came from answers
    /// to this node's requests.
    pub fn take_updates(&mut self) -> Vec<notice::Update> {
        std::mem::take(&mut self.endpoint_updates)
    }

    /// Takes the messages queued since the last call.
    pub fn take_messages(&mut self) -> Vec<(SocketAddrV4, Message)> {
        std::mem::take(&mut self.outbox)
    }
}
