//! Finds out which version of the software began a stream when a caller takes it up.

use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Refusal;
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

/// When a caller may retry after a node that was asked stayed silent.
const RETRY_AFTER_SILENCE: Span = Span::from_millis(200);

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
    /// The nodes that were asked.
    asked: Vec<Asked>,
    /// How the version that served alone was learnt from a node without a record, this one or another.
    sole: Option<(Source, id::Software)>,
    /// Whether a node saw several versions, so that none may be taken for the only one.
    is_mixed: bool,
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
            let take_up = TakeUp {
                software,
                source,
                age: Some(found.age),
                took: Span::ZERO,
                asked: Vec::new(),
            };
            self.finish_take_up(now, id, job, take_up);
            return;
        }
        let lifetime = self.lifetime(pool, job.deadline.since(now));
        let served = self.served(now, pool, lifetime);
        // Without a key nodes can still tell that one version alone has served.
        let key = key.unwrap_or(Key(0));
        let asked = match self.members.live(now).count() <= MAX_ALL_ASKED {
            true => MAX_ALL_ASKED,
            false => binding::MAX_TOLD,
        };
        let asked = self.members.keepers(now, key.0, asked).into_iter();
        let asked = asked.map(|keeper| Asked {
            node: keeper.node,
            answer: None,
            heard_for: self.members.heard_for(now, keeper.node),
        });
        let asked = asked.collect();
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
            asked,
            is_mixed: served == Served::Several,
            sole: match served {
                Served::Sole(software) => Some((Source::Sole, software)),
                Served::Several | Served::Unknown => None,
            },
        };
        self.inquiries.insert(id, inquiry);
        self.ask(now, id);
        self.end_answered_inquiry(now, id);
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
    fn finish_take_up(&mut self, now: Time, id: job::Id, job: Job, take_up: TakeUp) {
        let (is_known, source) = (take_up.software.is_some(), take_up.source);
        self.take_ups.insert(id, take_up);
        if is_known {
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

    fn end_inquiry_without_record(&mut self, now: Time, id: job::Id, otherwise: Source) {
        let inquiry = self.inquiries.get_mut(&id).filter(|one| !one.is_mixed);
        match inquiry.and_then(|inquiry| inquiry.sole.take()) {
            Some((source, software)) => self.end_inquiry(now, id, source, Some(software), None),
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
        let take_up = TakeUp {
            software,
            source,
            age,
            took: now.since(inquiry.began),
            asked: inquiry.asked,
        };
        self.finish_take_up(now, id, job, take_up);
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
            None => match pool.map(|pool| self.served(now, pool, question.lifetime)) {
                Some(Served::Sole(software)) => Answer::Sole(software),
                Some(Served::Several) => Answer::Several,
                Some(Served::Unknown) | None => Answer::Unknown,
            },
        };
        let reply = Reply {
            number: question.number,
            answer,
        };
        self.outbox.push((from, Message::BindingReply(reply)));
    }
}
