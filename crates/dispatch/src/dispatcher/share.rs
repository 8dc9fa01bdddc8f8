//! What nodes tell each other: what each runs, what waits, what customers used
//! and how new what it has read is.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddrV4;

use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::endpoint;
use crate::member::Reception;
use crate::member::Role;
use crate::member::Trigger;
use crate::message::Document;
use crate::message::Load;
use crate::message::Pull;
use crate::message::Snapshot;
use crate::message::Status;
use crate::message::Unavailability;
use crate::message::Versions;
use crate::message::Waiting;
use crate::parts::Digest;
use crate::protocol::Protocol;
use crate::quota::Speaker;
use crate::section;
use crate::section::Difference;
use crate::worker::Reports;

/// Customers spoken of in one status.
const USAGE_MOST: usize = 32;

/// Endpoints spoken of in one status, so that it fits a datagram.
const LOADS_MOST: usize = 64;

/// What endpoints said of one kind that is told in one status, and in one to a node that
/// has just joined and may know nothing of it. Statuses take turns, so that all is told
/// however much there is.
const TOLD_MOST: usize = 16;
const TOLD_TO_NEWCOMER_MOST: usize = 64;

/// Endpoints that one node cannot connect to from which on it may be the node.
const MANY_UNREACHABLE: usize = 4;

/// What the other nodes say of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Elsewhere {
    running: u32,
    pending: u64,
    trouble: Reports,
}

/// What this node runs at one endpoint in slots that others own and count.
#[derive(Debug, Clone, Copy, Default)]
struct Leased {
    running: u32,
    pending: u64,
}

impl Dispatcher {
    /// Takes in what another node said. What it runs counts from the next tick
    /// on, so that a word costs little in a large fleet.
    pub fn hear(&mut self, now: Time, from: SocketAddrV4, mut status: Status) -> Reception {
        self.accounts.begin(now);
        let findings = std::mem::take(&mut status.findings);
        let rate_limits = std::mem::take(&mut status.rate_limits);
        let notices = std::mem::take(&mut status.notices);
        let quarantine = status.quarantine_digest;
        let incarnation = status.incarnation;
        let usage = status.usage.clone();
        let news = self.members.record_status(now, from, status);
        if news == Reception::Stale {
            return news;
        }
        let speaker = Speaker {
            address: from,
            incarnation,
            known: news == Reception::Refreshed,
        };
        let reach = self.members.reach(now);
        let table = self.table.as_ref();
        for said in usage {
            let customer = table.and_then(|table| table.customer_by_number_opt(said.customer));
            let quota = customer.and_then(|customer| customer.quota.as_ref());
            self.accounts.hear(now, speaker, said, quota, reach);
        }
        self.hear_rate_limits(now, &rate_limits);
        self.hear_notices(now, &notices);
        self.take_findings(now, &findings);
        self.answer_digest(now, from, quarantine);
        news
    }

    /// Adds up what the other nodes run at each endpoint, and what they found.
    pub(super) fn count_others(&mut self, now: Time) {
        let mut sums: HashMap<u32, Elsewhere> = HashMap::new();
        for (_, member) in self.members.live(now) {
            let loads = &member.status.loads;
            let believed = !is_cut_off(loads);
            for load in loads {
                let sum = sums.entry(load.endpoint).or_default();
                sum.running += u32::from(load.running);
                sum.pending += u64::from(load.pending_tokens);
                match load.unavailability {
                    Some(Unavailability::Gone) => sum.trouble.gone += 1,
                    Some(Unavailability::Failing) => sum.trouble.failing += 1,
                    Some(Unavailability::Unreachable) if believed => sum.trouble.unreachable += 1,
                    Some(Unavailability::Unreachable) | None => {}
                }
            }
        }
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let sum = sums.get(&worker.number).copied().unwrap_or_default();
            worker.others = sum.running;
            worker.others_pending = sum.pending;
            worker.others_trouble = sum.trouble;
        }
    }

    /// Statuses that are to be sent now, with the nodes to which each goes: those that
    /// may know few others are told of more than the rest.
    pub fn statuses(&mut self, now: Time) -> Vec<(Status, Vec<SocketAddrV4>)> {
        let occasion = Trigger {
            urgent: self.urgent,
            usage_high: self.accounts.is_pressed(now),
            new_documents: self.news,
        };
        let due = self.members.take_due(now, occasion);
        if due.is_empty() {
            return Vec::new();
        }
        self.urgent = false;
        self.news = false;
        let due = due.into_iter();
        let (newcomers, known): (Vec<_>, Vec<_>) =
            due.partition(|address| self.members.is_newcomer(now, *address));
        let status = self.status(now);
        let to_known = Status {
            members: self
                .members
                .advertised_to_established(&status.members)
                .to_vec(),
            rate_limits: told_to_known(&status.rate_limits),
            notices: told_to_known(&status.notices),
            ..status.clone()
        };
        let mut statuses = vec![(to_known, known), (status, newcomers)];
        statuses.retain(|(_, to)| !to.is_empty());
        statuses
    }

    /// What this node says of itself now.
    pub fn status(&mut self, now: Time) -> Status {
        self.sequence += 1;
        Status {
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            configuration: self.configuration_version(),
            endpoints: self.list.edition(),
            data_centre: endpoint::number_of(self.options.data_centre.as_str()),
            leaving: self.leaving,
            platform_unreachable: self.cut_off,
            loads: self.loads(now),
            waiting: self.waiting(),
            usage: self.accounts.usage(now, USAGE_MOST),
            members: self.members.advertised_members(now, self.sequence),
            quarantine_digest: self.quarantine.digest(),
            findings: self.quarantine.news(now),
            protocol: Protocol::CURRENT,
            rate_limits: self.in_turn(self.rate_limits_to_tell(now)),
            notices: self.in_turn(self.notices_to_tell(now)),
        }
    }

    /// Of what there is to tell of endpoints as much as one status holds, others each time.
    fn in_turn<T>(&self, mut told: Vec<T>) -> Vec<T> {
        if told.len() > TOLD_MOST {
            let turn = (self.sequence as usize).wrapping_mul(TOLD_MOST);
            let start = turn % told.len();
            told.rotate_left(start);
            told.truncate(TOLD_TO_NEWCOMER_MOST);
        }
        told
    }

    /// What runs, but for what the owner of the slots tells.
    fn loads(&self, now: Time) -> Vec<Load> {
        let leased = self.leased(now);
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let loads = workers.map(|worker| {
            let told = leased.get(&worker.number).copied().unwrap_or_default();
            let running = worker.running.saturating_sub(told.running);
            let pending = worker.pending.saturating_sub(told.pending);
            Load {
                endpoint: worker.number,
                running: running.min(u32::from(u16::MAX)) as u16,
                pending_tokens: pending.min(u64::from(u32::MAX)) as u32,
                unavailability: worker.trouble(now, &self.options.worker),
            }
        });
        let told = loads.filter(|load| load.running > 0 || load.unavailability.is_some());
        told.take(LOADS_MOST).collect()
    }

    /// What runs at each endpoint in slots whose owner is heard and counts it.
    fn leased(&self, now: Time) -> HashMap<u32, Leased> {
        let mut leased: HashMap<u32, Leased> = HashMap::new();
        for run in self.runs.values() {
            let Some(lease) = run.lease else {
                continue;
            };
            let heard = self.members.incarnation_opt(now, lease.owner);
            if heard != Some(lease.incarnation) {
                continue;
            }
            let Some(pool) = self.pools.get(&run.job.target) else {
                continue;
            };
            let sum = leased.entry(pool.workers[run.worker].number).or_default();
            sum.running += 1;
            sum.pending += match run.first {
                None => run.uncached,
                Some(_) => 0,
            };
        }
        leased
    }

    fn waiting(&self) -> Vec<Waiting> {
        let pools = self.pools.values();
        let counts = pools.flat_map(|pool| pool.queue.counts().map(|count| (pool.number, count)));
        counts
            .map(|(service, (rank, count))| Waiting {
                service,
                rank,
                count: count.min(usize::from(u16::MAX)) as u16,
            })
            .collect()
    }

    /// What this node has read of the platform and one that asks has not. A
    /// configuration may be a hundred times as long as a list of endpoints and
    /// changes seldom, so neither comes along with the other, and of the
    /// configuration and of the list only the parts that differ.
    pub fn snapshot(&self, pull: &Pull) -> Snapshot {
        let edition = match pull.protocol.supports_eras() {
            true => self.list.edition(),
            false => self.list.edition().without_era(),
        };
        let later = edition > pull.known.endpoints;
        let endpoints = later.then(|| self.difference(pull));
        let table = self.table.as_ref();
        let newer = table.filter(|table| table.configuration().version > pull.known.configuration);
        let Some(table) = newer else {
            return Snapshot {
                endpoints,
                ..Snapshot::default()
            };
        };
        let held: HashSet<Digest> = pull.held.iter().copied().collect();
        let configuration = table.configuration();
        Snapshot {
            endpoints,
            manifest: Some(table.parts().to_manifest(configuration)),
            parts: table.parts().to_missing_parts(configuration, &held),
        }
    }

    /// What a node that asks lacks of the list as the platform has it. What this node
    /// knows better goes before that for a while only, and nobody would tell the others
    /// of its end: the platform's list has the same edition then.
    fn difference(&self, pull: &Pull) -> Difference {
        let Some(list) = &self.uncorrected else {
            return Difference::new(&self.list, &self.sections, &pull.sections);
        };
        let sections = section::Index::new(list);
        Difference::new(list, &sections, &pull.sections)
    }

    /// What to ask another node. Parts of the configuration are named only where it
    /// has a newer one. What it gives of endpoints is to be put together with the
    /// list that is in force at this moment ([`Difference::into_list`]).
    pub fn pull(&self, from: SocketAddrV4) -> Pull {
        let known = self.known();
        let newer = self.members.configuration(from) > known.configuration;
        let in_force = self.table.iter().flat_map(|table| table.parts().digests());
        let held = in_force.copied().chain(self.received.digests());
        Pull {
            known,
            held: if newer { held.collect() } else { Vec::new() },
            sections: self.sections.clone(),
            protocol: Protocol::CURRENT,
        }
    }

    /// The newest documents that this node has.
    pub fn known(&self) -> Versions {
        Versions {
            configuration: self.configuration_version(),
            endpoints: self.list.edition(),
        }
    }

    /// A node that has a newer one of a document than this one, if any; another
    /// for each `attempt`, where there are several.
    pub fn ahead_opt(&self, now: Time, document: Document, attempt: u64) -> Option<SocketAddrV4> {
        let known = self.known().only(document);
        self.members.newer_peer_opt(now, known, attempt)
    }

    /// Takes other seeds, from settings that changed.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.members.set_seeds(seeds);
    }

    /// Who reads the platform, as this node sees it.
    pub fn reading(&self, now: Time) -> Role {
        match self.list.revision {
            0 => self.members.startup_role(now, self.accounts.met_at()),
            _ => self.members.role(now),
        }
    }

    /// Tells the others whether this node can read the platform.
    pub fn set_cut_off(&mut self, cut_off: bool) {
        self.urgent |= self.cut_off != cut_off;
        self.cut_off = cut_off;
    }

    /// Tells the others from now on that this node is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.members.leaving = true;
        self.urgent = true;
    }
}

/// True where a node cannot connect to so many endpoints that it is rather
/// itself cut off from them.
fn is_cut_off(loads: &[Load]) -> bool {
    let unreachable = |load: &&Load| load.unavailability == Some(Unavailability::Unreachable);
    let unreachable = loads.iter().filter(unreachable).count();
    unreachable >= MANY_UNREACHABLE && unreachable * 2 > loads.len()
}

/// Of what is told to a newcomer, what a node is told that has been heard for a while.
fn told_to_known<T: Clone>(told: &[T]) -> Vec<T> {
    told[..told.len().min(TOLD_MOST)].to_vec()
}
