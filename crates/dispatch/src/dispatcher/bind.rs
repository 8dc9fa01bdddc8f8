//! Binds streams to the version of the software that began them, and finds out that version when a
//! caller takes a stream up.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Refusal;
use crate::binding::Answer;
use crate::binding::Binding;
use crate::binding::Keeper;
use crate::binding::Key;
use crate::binding::Question;
use crate::binding::Reply;
use crate::binding::Statement;
use crate::binding::Stream;
use crate::endpoint::List;
use crate::job;
use crate::job::Job;
use crate::message::Message;

/// The number of nodes that keep a record.
const KEEPERS: usize = 3;

/// The number of nodes that are asked for a record. Nodes that started since it was made take the
/// places of at most as many keepers.
const ASKED: usize = 2 * KEEPERS;

/// In a fleet of up to this many other nodes all are asked.
const MAX_ALL_ASKED: usize = 15;

/// How long the answers to a question are waited for before it is repeated: many round trips within
/// a region.
const ANSWER_TIMEOUT: Span = Span::from_millis(60);

/// How often a question is sent.
const MAX_ROUNDS: u32 = 2;

/// When a caller may retry after a node that was asked stayed silent.
const RETRY_AFTER_SILENCE: Span = Span::from_millis(200);

/// The maximum number of statements in a datagram.
const MAX_STATEMENTS: usize = 20;

/// A stream lasts no longer than this many times the timeout of its route, over all tries of its
/// caller.
const TIMEOUTS_PER_STREAM: u64 = 2;

/// How long a version is remembered after it was last listed, longer than any stream lasts.
const VERSION_MEMORY: Span = Span::from_secs(3_600);

/// The versions of the software of a service's endpoints, as far as this node saw them.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// When this node first had a list.
    known_since: Option<Time>,
    /// When each version was last listed.
    listed: HashMap<Option<id::Software>, Time>,
}

/// A request that takes a stream up while this node asks others which version began it.
#[derive(Debug)]
pub(super) struct Inquiry {
    job: Job,
    number: u64,
    key: Key,
    lifetime: Span,
    began: Time,
    sent: Time,
    rounds: u32,
    /// The nodes that have not answered.
    silent: Vec<SocketAddrV4>,
    /// The version that served alone, by the answer of a node without a record.
    sole: Option<(SocketAddrV4, id::Software)>,
}

/// How a node learnt which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// By its own record.
    Own,
    /// By another node's record.
    Node(SocketAddrV4),
    /// One version alone has served, as seen by this node.
    Sole,
    /// One version alone has served, as seen by another node.
    SoleAt(SocketAddrV4),
    /// Not at all: no node has a record.
    Nobody,
    /// Not at all: some nodes did not answer.
    Unanswered,
    /// Not at all: by a record, different versions were stated.
    Disputed,
}

impl Source {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Node(_) => "node",
            Source::Sole => "sole",
            Source::SoleAt(_) => "sole-at-node",
            Source::Nobody => "nobody",
            Source::Unanswered => "unanswered",
            Source::Disputed => "disputed",
        }
    }

    /// The node that was asked, if another one knew.
    pub fn node_opt(self) -> Option<SocketAddrV4> {
        match self {
            Source::Node(node) | Source::SoleAt(node) => Some(node),
            Source::Own | Source::Sole | Source::Nobody | Source::Unanswered | Source::Disputed => {
                None
            }
        }
    }
}

/// What came of finding out the version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// The version; `None` if it is not known.
    pub software: Option<id::Software>,
    /// How this node learnt it.
    pub source: Source,
    /// The age of the record, if there is one.
    pub age: Option<Span>,
    /// How long it took.
    pub took: Span,
}

impl Dispatcher {
    /// Binds a request to the version of the endpoint that runs it, since the node that forwarded
    /// it is told that version.
    pub fn bind_forwarded(&mut self, id: job::Id) {
        self.bind_to_running(id, None);
    }

    /// Records that the first event of a request's stream is passed on to its caller. From now on
    /// the stream is bound to the version of the endpoint that wrote it, or to `stated` if another
    /// node runs it.
    pub fn bind(&mut self, now: Time, id: job::Id, stated: Option<&id::Software>) {
        let Some(job) = self.bind_to_running(id, stated) else {
            return;
        };
        let (stream, target) = (job.stream, job.target.clone());
        let software = job.binding.software_opt().cloned();
        if let (Some(stream), Some(software)) = (stream, software) {
            self.record_stream(now, stream, &target, &software);
        }
    }

    /// Binds a request that runs here, or at another node that stated this version, unless it is
    /// bound. Returns the request.
    fn bind_to_running(&mut self, id: job::Id, stated: Option<&id::Software>) -> Option<&Job> {
        let (job, software) = if let Some(run) = self.runs.get_mut(&id) {
            let pool = self.pools.get(&run.job.target)?;
            let software = pool.workers[run.worker].endpoint.software.as_ref();
            (&mut run.job, software)
        } else {
            (&mut self.forwards.get_mut(&id)?.job, stated)
        };
        if job.stream.is_some() && !job.binding.is_bound() {
            job.binding = Binding::to(software);
        }
        Some(job)
    }

    fn record_stream(
        &mut self,
        now: Time,
        stream: Stream,
        target: &id::Target,
        software: &id::Software,
    ) {
        let Some(service) = self.pools.get(target).map(|pool| pool.number) else {
            return;
        };
        self.bindings.record_own(now, stream, service, software);
        self.state_bindings(now);
    }

    /// Submits a request, or first finds out which version began the stream that it takes up.
    pub(super) fn submit_bound(&mut self, now: Time, id: job::Id, mut job: Job) {
        let Binding::TakesUp(key) = job.binding else {
            self.submit(now, id, job);
            return;
        };
        let Some(pool) = self.pools.get(&job.target) else {
            self.submit(now, id, job);
            return;
        };
        let service = pool.number;
        let found = key.and_then(|key| self.bindings.find_opt(now, key));
        if let Some(found) = found {
            let software = found.software.filter(|_| found.service == service);
            let source = software.as_ref().map_or(Source::Disputed, |_| Source::Own);
            job.binding = Binding::to(software.as_ref());
            self.finish_take_up(now, id, job, source, Some(found.age), Span::ZERO);
            return;
        }
        let lifetime = self.lifetime(pool, job.deadline.since(now));
        if let Some(software) = self.sole_software_opt(now, pool, lifetime) {
            job.binding = Binding::Software(software);
            self.finish_take_up(now, id, job, Source::Sole, None, Span::ZERO);
            return;
        }
        // Without a key nodes can still tell that one version alone has served.
        let key = key.unwrap_or(Key(0));
        let asked = match self.members.live(now).count() <= MAX_ALL_ASKED {
            true => MAX_ALL_ASKED,
            false => ASKED,
        };
        let silent = self.members.keepers(now, key.0, asked);
        let silent: Vec<SocketAddrV4> = silent.into_iter().map(|keeper| keeper.node).collect();
        if silent.is_empty() {
            job.binding = Binding::Unknown;
            self.finish_take_up(now, id, job, Source::Nobody, None, Span::ZERO);
            return;
        }
        self.next_inquiry += 1;
        self.targets.insert(id, job.target.clone());
        let inquiry = Inquiry {
            job,
            number: self.next_inquiry,
            key,
            lifetime,
            began: now,
            sent: now,
            rounds: 0,
            silent,
            sole: None,
        };
        self.inquiries.insert(id, inquiry);
        self.ask(now, id);
    }

    fn ask(&mut self, now: Time, id: job::Id) {
        let Some(inquiry) = self.inquiries.get_mut(&id) else {
            return;
        };
        inquiry.sent = now;
        inquiry.rounds += 1;
        let pool = self.pools.get(&inquiry.job.target);
        let question = Question {
            number: inquiry.number,
            key: inquiry.key,
            service: pool.map_or(0, |pool| pool.number),
            lifetime: inquiry.lifetime,
        };
        for node in &inquiry.silent {
            self.outbox
                .push((*node, Message::BindingQuestion(question)));
        }
    }

    /// Submits a request whose binding is settled, or refuses it if nobody knows what began its
    /// stream.
    fn finish_take_up(
        &mut self,
        now: Time,
        id: job::Id,
        job: Job,
        source: Source,
        age: Option<Span>,
        took: Span,
    ) {
        let software = job.binding.software_opt().cloned();
        let take_up = TakeUp {
            software: software.clone(),
            source,
            age,
            took,
        };
        self.take_ups.insert(id, take_up);
        if software.is_some() {
            self.submit(now, id, job);
            return;
        }
        let refusal = Refusal {
            code: Code::StreamUnknown,
            retry_after: (source == Source::Unanswered).then_some(RETRY_AFTER_SILENCE),
            wait: None,
            owner: None,
        };
        self.refuse(now, id, &job, refusal);
    }

    /// Takes what came of finding out the version that began the stream which a request takes up.
    pub fn take_up_opt(&mut self, id: job::Id) -> Option<TakeUp> {
        self.take_ups.remove(&id)
    }

    /// Drops a request whose caller left while other nodes were asked about its stream.
    pub(super) fn abandon_inquiry(&mut self, id: job::Id) {
        self.inquiries.remove(&id);
        self.take_ups.remove(&id);
    }

    /// Handles another node's answer about a stream.
    pub fn receive_binding_reply(&mut self, now: Time, from: SocketAddrV4, reply: Reply) {
        let mut inquiries = self.inquiries.iter_mut();
        let found = inquiries.find(|(_, inquiry)| inquiry.number == reply.number);
        let Some((id, inquiry)) = found else {
            return;
        };
        let id = *id;
        inquiry.silent.retain(|node| *node != from);
        match reply.answer {
            Answer::Known { software, age } => {
                self.end_inquiry(now, id, Source::Node(from), Some(software), Some(age));
            }
            Answer::Sole(software) => {
                inquiry.sole.get_or_insert((from, software));
                self.end_answered_inquiry(now, id);
            }
            Answer::Unknown => self.end_answered_inquiry(now, id),
            Answer::Disputed => self.end_inquiry(now, id, Source::Disputed, None, None),
        }
    }

    /// Ends an inquiry once every node that was asked has answered. A record outweighs the word of a
    /// node that saw one version alone, so that all are waited for.
    fn end_answered_inquiry(&mut self, now: Time, id: job::Id) {
        let inquiry = self.inquiries.get(&id);
        if inquiry.is_some_and(|inquiry| inquiry.silent.is_empty()) {
            self.end_inquiry_without_record(now, id, Source::Nobody);
        }
    }

    fn end_inquiry_without_record(&mut self, now: Time, id: job::Id, otherwise: Source) {
        let sole = self.inquiries.get_mut(&id);
        let sole = sole.and_then(|inquiry| inquiry.sole.take());
        match sole {
            Some((node, software)) => {
                self.end_inquiry(now, id, Source::SoleAt(node), Some(software), None);
            }
            None => self.end_inquiry(now, id, otherwise, None, None),
        }
    }

    fn end_inquiry(
        &mut self,
        now: Time,
        id: job::Id,
        source: Source,
        software: Option<id::Software>,
        age: Option<Span>,
    ) {
        let Some(inquiry) = self.inquiries.remove(&id) else {
            return;
        };
        let mut job = inquiry.job;
        job.binding = Binding::to(software.as_ref());
        self.finish_take_up(now, id, job, source, age, now.since(inquiry.began));
    }

    /// Repeats unanswered questions, and gives up those that stay unanswered.
    pub(super) fn renew_inquiries(&mut self, now: Time) {
        let inquiries = self.inquiries.iter();
        let due = inquiries.filter(|(_, inquiry)| now.since(inquiry.sent) >= ANSWER_TIMEOUT);
        let due: Vec<(job::Id, u32)> = due.map(|(id, inquiry)| (*id, inquiry.rounds)).collect();
        for (id, rounds) in due {
            match rounds < MAX_ROUNDS {
                true => self.ask(now, id),
                false => self.end_inquiry_without_record(now, id, Source::Unanswered),
            }
        }
    }

    /// Answers a node that asks which version began a stream.
    pub fn answer_binding(&mut self, now: Time, from: SocketAddrV4, question: Question) {
        let mut pools = self.pools.values();
        let pool = pools.find(|pool| pool.number == question.service);
        let found = self.bindings.find_opt(now, question.key);
        let answer = match found {
            Some(found) => match found.software.filter(|_| found.service == question.service) {
                Some(software) => Answer::Known {
                    software,
                    age: found.age,
                },
                None => Answer::Disputed,
            },
            None => pool
                .and_then(|pool| self.sole_software_opt(now, pool, question.lifetime))
                .map_or(Answer::Unknown, Answer::Sole),
        };
        let reply = Reply {
            number: question.number,
            answer,
        };
        self.outbox.push((from, Message::BindingReply(reply)));
    }

    /// Keeps what another node states of its streams, and confirms it.
    pub fn receive_bindings(&mut self, now: Time, from: SocketAddrV4, statements: &[Statement]) {
        for statement in statements {
            self.bindings.record_stated(now, statement);
        }
        let keys = statements.iter().map(|statement| statement.key).collect();
        self.outbox.push((from, Message::BindingsKept(keys)));
    }

    /// Records that a keeper confirmed what this node stated.
    pub fn confirm_bindings(&mut self, now: Time, from: SocketAddrV4, keys: &[Key]) {
        if let Some(incarnation) = self.members.incarnation_opt(now, from) {
            let keeper = Keeper {
                node: from,
                incarnation,
            };
            self.bindings.confirm(keeper, keys);
        }
    }

    /// Tells keepers of the streams of services in which several versions serve, or may have served
    /// since the streams began. A node that is leaving tells them of all its records.
    pub(super) fn state_bindings(&mut self, now: Time) {
        self.bindings.expire(now);
        let due = self.bindings.take_due(now);
        let mut mixed: HashMap<u32, bool> = HashMap::new();
        let mut statements: HashMap<SocketAddrV4, Vec<Statement>> = HashMap::new();
        for (key, service) in due {
            let is_mixed = mixed.entry(service);
            let is_mixed = *is_mixed.or_insert_with(|| self.is_mixed(now, service));
            let keepers = match self.leaving || is_mixed {
                true => self.members.keepers(now, key.0, KEEPERS),
                false => Vec::new(),
            };
            if let Some((statement, nodes)) = self.bindings.state(now, key, &keepers) {
                for node in nodes {
                    statements.entry(node).or_default().push(statement.clone());
                }
            }
        }
        for (node, statements) in statements {
            for part in statements.chunks(MAX_STATEMENTS) {
                self.outbox.push((node, Message::Bindings(part.to_vec())));
            }
        }
    }

    /// Whether streams of a service that still run may have begun at different versions.
    fn is_mixed(&self, now: Time, service: u32) -> bool {
        let mut pools = self.pools.values();
        let pool = pools.find(|pool| pool.number == service);
        let sole = |pool| self.sole_software_opt(now, pool, self.lifetime(pool, Span::ZERO));
        pool.is_none_or(|pool| sole(pool).is_none())
    }

    /// Returns the longest time ago at which a stream may have begun whose caller still waits for
    /// `remaining`.
    fn lifetime(&self, pool: &Pool, remaining: Span) -> Span {
        Span(pool.stream_timeout.max(remaining).0 * TIMEOUTS_PER_STREAM)
    }

    /// Returns the version that alone has served for this long, if this node has seen the lists of
    /// all that time and knows of no newer one.
    fn sole_software_opt(&self, now: Time, pool: &Pool, lifetime: Span) -> Option<id::Software> {
        let versions = &pool.versions;
        let is_known = versions
            .known_since
            .is_some_and(|at| now.since(at) >= lifetime);
        if !is_known || !self.is_list_current(now) {
            return None;
        }
        let listed = pool.workers.iter().filter(|worker| worker.listed);
        let mut listed = listed.map(|worker| &worker.endpoint.software);
        let sole = listed.next()?.clone()?;
        let mut past = versions.listed.iter();
        let is_alone = listed.all(|other| other.as_ref() == Some(&sole))
            && past.all(|(other, at)| other.as_ref() == Some(&sole) || now.since(*at) > lifetime);
        is_alone.then_some(sole)
    }

    /// Whether this node would know if another one sent requests to endpoints that this one does not
    /// list: it reads the platform, or hears every node, and none has a newer list.
    fn is_list_current(&self, now: Time) -> bool {
        let reach = self.members.reach(now);
        let hears_all = !reach.isolated && reach.silent == 0;
        self.list.settled
            && (!self.platform_unreachable || hears_all)
            && !self.members.has_newer_list(now, self.list.edition())
    }

    /// Records the versions of the list in force, which another list replaces or has replaced.
    pub(super) fn record_versions(&mut self, now: Time, list: &List) {
        for endpoint in &list.endpoints {
            if let Some(pool) = self.pools.get_mut(&endpoint.service) {
                pool.versions.known_since.get_or_insert(now);
                let software = endpoint.software.clone();
                pool.versions.listed.insert(software, now);
            }
        }
        for pool in self.pools.values_mut() {
            let versions = &mut pool.versions.listed;
            versions.retain(|_, at| now.since(*at) <= VERSION_MEMORY);
        }
    }

    /// Forgets the versions of earlier lists, since this process missed some while it was suspended.
    pub(super) fn forget_versions(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.versions.known_since = Some(now);
        }
    }

    /// Tells keepers of the streams that began before another version appeared.
    pub(super) fn check_bindings(&mut self, now: Time) {
        let services: Vec<u32> = self.pools.values().map(|pool| pool.number).collect();
        for service in services {
            if self.is_mixed(now, service) {
                self.bindings.check_service(now, service);
            }
        }
        self.state_bindings(now);
    }

    /// The number of streams of which this node keeps the version.
    pub fn binding_count(&self) -> usize {
        self.bindings.len()
    }
}
