//! Finds out which version of the software began a stream when a caller takes it up.

use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Refusal;
use super::confirm_version::Confirmation;
use super::track_versions::Served;
use crate::binding;
use crate::binding::Answer;
use crate::binding::Binding;
use crate::binding::Key;
use crate::binding::Question;
use crate::binding::Reply;
use crate::job;
use crate::job::Job;
use crate::message::Message;

/// In a fleet of up to this many other nodes all are asked.
const MAX_ALL_ASKED: usize = 15;

/// How long the answers to a question are waited for before it is repeated: many round trips within
/// a region.
const ANSWER_TIMEOUT: Span = Span::from_millis(60);

/// How often a question is sent.
const MAX_ROUNDS: u32 = 2;

/// When a caller may retry after a node that was asked stayed silent, or a doubt was not settled in time,
/// at the earliest.
const RETRY_AFTER_SILENCE: Span = Span::from_millis(200);

/// A request that takes a stream up while this node asks others which version began it.
#[derive(Debug)]
pub(super) struct Inquiry {
    pub(super) job: Job,
    number: u64,
    key: Key,
    pub(super) lifetime: Span,
    pub(super) began: Time,
    sent: Time,
    rounds: u32,
    /// The nodes that were asked.
    pub(super) asked: Vec<Asked>,
    /// How the version that served alone was learnt from a node without a record, this one or another.
    sole: Option<(Source, id::Software)>,
    /// Whether a node saw several versions, so that none may be taken for the only one.
    pub(super) is_mixed: bool,
    /// Whether a node holds a record that is in doubt.
    has_doubted_record: bool,
    /// Whether the platform has confirmed what this node lists.
    pub(super) confirmation: Confirmation,
    /// When doubts that decide about it are settled, if there are any.
    pub(super) settled_at: Option<Time>,
    /// When it is made anew, while it waits for that.
    pub(super) repeats_at: Option<Time>,
}

/// How a node learnt which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// By its own record.
    Own,
    /// By another node's record.
    Node(SocketAddrV4),
    /// One version alone has served, as seen by this node, and no other knows better.
    Sole,
    /// One version alone has served, as seen by another node.
    SoleAt(SocketAddrV4),
    /// Not at all: no node has a record.
    Nobody,
    /// Not at all: some nodes did not answer.
    Unanswered,
    /// Not at all: by a record, different versions were stated.
    Disputed,
    /// Not at all: the start of the endpoint that wrote its first event is in doubt.
    Doubted,
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
            Source::Doubted => "doubted",
        }
    }

    /// The node that was asked, if another one knew.
    pub fn node_opt(self) -> Option<SocketAddrV4> {
        match self {
            Source::Node(node) | Source::SoleAt(node) => Some(node),
            Source::Own
            | Source::Sole
            | Source::Nobody
            | Source::Unanswered
            | Source::Disputed
            | Source::Doubted => None,
        }
    }
}

/// A node that was asked which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// Its address.
    pub node: SocketAddrV4,
    /// What it answered; none if it was not waited for, or did not answer in time.
    pub answer: Option<Answer>,
    /// How long this node has heard its current incarnation.
    pub heard_for: Span,
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
    /// The nodes that were asked.
    pub asked: Vec<Asked>,
}

impl Dispatcher {
    /// Submits a request, or first finds out which version began the stream that it takes up.
    pub(super) fn submit_bound(&mut self, now: Time, id: job::Id, job: Job) {
        let Binding::TakesUp(key) = job.binding else {
            self.submit(now, id, job);
            return;
        };
        let Some(pool) = self.pools.get(&job.target) else {
            self.submit(now, id, job);
            return;
        };
        let lifetime = self.lifetime(pool, job.deadline.since(now));
        self.targets.insert(id, job.target.clone());
        let inquiry = Inquiry {
            job,
            number: 0,
            // Without a key nodes can still tell that one version alone has served.
            key: key.unwrap_or(Key(0)),
            lifetime,
            began: now,
            sent: now,
            rounds: 0,
            asked: Vec::new(),
            is_mixed: false,
            sole: None,
            has_doubted_record: false,
            confirmation: Confirmation::Unasked,
            settled_at: None,
            repeats_at: None,
        };
        self.inquiries.insert(id, inquiry);
        self.inquire(now, id);
    }

    /// Looks for a record of this node, and asks others if it has none.
    pub(super) fn inquire(&mut self, now: Time, id: job::Id) {
        let Some(inquiry) = self.inquiries.get(&id) else {
            return;
        };
        let (key, lifetime) = (inquiry.key, inquiry.lifetime);
        let pool = self.pools.get(&inquiry.job.target);
        let service = pool.map_or(0, |pool| pool.number);
        if let Some(found) = self.bindings.find_opt(now, key) {
            let settled_in = found.settled_in.filter(|_| found.service == service);
            let software = found.software.filter(|_| found.service == service);
            match (software, settled_in) {
                (None, Some(settled_in)) => self.wait_until_settled(now, id, now + settled_in),
                (software, _) => {
                    let source = software.as_ref().map_or(Source::Disputed, |_| Source::Own);
                    self.end_inquiry(now, id, source, software, Some(found.age));
                }
            }
            return;
        }
        let served = pool.map_or(Served::Unknown, |pool| self.served(now, pool, lifetime));
        let settled_at = match served {
            Served::Doubted => self.first_settled_at_opt(id, None),
            Served::Sole(_) | Served::Several | Served::Unknown => None,
        };
        let asked = self.keepers_to_ask(now, key);
        self.next_inquiry += 1;
        let number = self.next_inquiry;
        if let Some(inquiry) = self.inquiries.get_mut(&id) {
            inquiry.number = number;
            inquiry.rounds = 0;
            inquiry.asked = asked;
            inquiry.is_mixed = served == Served::Several;
            inquiry.has_doubted_record = false;
            inquiry.settled_at = settled_at;
            inquiry.sole = match served {
                Served::Sole(software) => Some((Source::Sole, software)),
                Served::Several | Served::Doubted | Served::Unknown => None,
            };
        }
        self.ask(now, id);
        self.end_answered_inquiry(now, id);
    }

    fn keepers_to_ask(&self, now: Time, key: Key) -> Vec<Asked> {
        let count = match self.members.live(now).count() <= MAX_ALL_ASKED {
            true => MAX_ALL_ASKED,
            false => binding::MAX_TOLD,
        };
        let keepers = self.members.keepers(now, key.0, count).into_iter();
        let asked = keepers.map(|keeper| Asked {
            node: keeper.node,
            answer: None,
            heard_for: self.members.heard_for(now, keeper.node),
        });
        asked.collect()
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
        for asked in inquiry.asked.iter().filter(|one| one.answer.is_none()) {
            self.outbox
                .push((asked.node, Message::BindingQuestion(question)));
        }
    }

    /// Submits a request whose binding is settled, or refuses it if nobody knows what began its
    /// stream.
    fn finish_take_up(
        &mut self,
        now: Time,
        id: job::Id,
        job: Job,
        take_up: TakeUp,
        settled_at: Option<Time>,
    ) {
        let (is_known, source) = (take_up.software.is_some(), take_up.source);
        self.take_ups.insert(id, take_up);
        if is_known {
            self.submit(now, id, job);
            return;
        }
        let refusal = Refusal {
            code: Code::StreamUnknown,
            retry_after: match source {
                Source::Unanswered => Some(RETRY_AFTER_SILENCE),
                Source::Doubted => settled_at.map(|at| at.since(now).max(RETRY_AFTER_SILENCE)),
                _ => None,
            },
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
        let found = inquiries
            .find(|(_, inquiry)| inquiry.number == reply.number && inquiry.repeats_at.is_none());
        let Some((id, inquiry)) = found else {
            return;
        };
        let id = *id;
        let mut asked = inquiry.asked.iter_mut();
        if let Some(asked) = asked.find(|asked| asked.node == from) {
            asked.answer = Some(reply.answer.clone());
        }
        match reply.answer {
            Answer::Known { software, age } => {
                self.end_inquiry(now, id, Source::Node(from), Some(software), Some(age));
            }
            Answer::Disputed => self.end_inquiry(now, id, Source::Disputed, None, None),
            Answer::Sole(software) => {
                let sole = (Source::SoleAt(from), software);
                let (_, first) = inquiry.sole.get_or_insert(sole.clone());
                inquiry.is_mixed |= *first != sole.1;
                self.end_answered_inquiry(now, id);
            }
            Answer::Several => {
                inquiry.is_mixed = true;
                self.end_answered_inquiry(now, id);
            }
            Answer::Doubted { settled_in } => {
                inquiry.has_doubted_record = true;
                inquiry.settled_at = Some(now + settled_in);
                self.end_answered_inquiry(now, id);
            }
            Answer::Unknown => self.end_answered_inquiry(now, id),
        }
    }

    /// Ends an inquiry once every node that was asked has answered. A record outweighs the word of a
    /// node that saw one version alone, so that all are waited for.
    fn end_answered_inquiry(&mut self, now: Time, id: job::Id) {
        let inquiry = self.inquiries.get(&id);
        if inquiry.is_some_and(|inquiry| inquiry.asked.iter().all(|one| one.answer.is_some())) {
            self.end_inquiry_without_record(now, id, Source::Nobody);
        }
    }

    pub(super) fn end_inquiry_without_record(&mut self, now: Time, id: job::Id, otherwise: Source) {
        let (sole, settled_at) = match self.inquiries.get(&id) {
            Some(inquiry) if inquiry.has_doubted_record => (None, inquiry.settled_at),
            Some(inquiry) if !inquiry.is_mixed => (inquiry.sole.clone(), inquiry.settled_at),
            Some(_) | None => (None, None),
        };
        match (sole, settled_at) {
            (Some(_), _) if !self.is_sole_certain(now, id) => self.await_confirmation(now, id),
            (Some((source, software)), _) => {
                self.end_inquiry(now, id, source, Some(software), None);
            }
            (None, Some(settled_at)) => self.wait_until_settled(now, id, settled_at),
            (None, None) => self.end_inquiry(now, id, otherwise, None, None),
        }
    }

    pub(super) fn end_inquiry(
        &mut self,
        now: Time,
        id: job::Id,
        source: Source,
        software: Option<id::Software>,
        age: Option<Span>,
    ) {
        if let Some(settled_at) = self.needed_start_settled_at_opt(now, id, software.as_ref()) {
            self.wait_until_settled(now, id, settled_at);
            return;
        }
        let Some(inquiry) = self.inquiries.remove(&id) else {
            return;
        };
        let mut job = inquiry.job;
        job.binding = Binding::to(software.as_ref());
        let take_up = TakeUp {
            software,
            source,
            age,
            took: now.since(inquiry.began),
            asked: inquiry.asked,
        };
        self.finish_take_up(now, id, job, take_up, inquiry.settled_at);
    }

    /// Repeats unanswered questions, and gives up those that stay unanswered.
    pub(super) fn renew_inquiries(&mut self, now: Time) {
        let asked = self.inquiries.iter();
        let asked = asked.filter(|(_, inquiry)| inquiry.repeats_at.is_none());
        let due = asked.filter(|(_, inquiry)| now.since(inquiry.sent) >= ANSWER_TIMEOUT);
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
            Some(found) if found.service != question.service => Answer::Disputed,
            Some(found) => match (found.software, found.settled_in) {
                (Some(software), _) => Answer::Known {
                    software,
                    age: found.age,
                },
                (None, Some(settled_in)) if self.members.settles_doubts(from) => {
                    Answer::Doubted { settled_in }
                }
                (None, _) => Answer::Disputed,
            },
            None => match pool.map(|pool| self.served(now, pool, question.lifetime)) {
                Some(Served::Sole(software)) => Answer::Sole(software),
                Some(Served::Several) => Answer::Several,
                Some(Served::Doubted | Served::Unknown) | None => Answer::Unknown,
            },
        };
        let reply = Reply {
            number: question.number,
            answer,
        };
        self.outbox.push((from, Message::BindingReply(reply)));
    }
}
