//! The exchange of status between nodes: running and waiting requests, quota usage, and the
//! versions of the documents each node has read.

use std::net::SocketAddrV4;

use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::endpoint;
use crate::map::HashMap;
use crate::map::HashSet;
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
use crate::quota::Reporter;
use crate::section;
use crate::section::Difference;
use crate::worker::Reports;

/// The maximum number of customers in one status.
const MAX_USAGE_ENTRIES: usize = 32;

/// The maximum number of endpoints in one status, so that it fits a datagram.
const MAX_LOAD_ENTRIES: usize = 64;

/// The maximum number of announcements of one kind in a status. Successive statuses rotate
/// through all announcements.
const MAX_ANNOUNCEMENTS: usize = 16;

/// The maximum number of announcements of one kind in a status to a node that has just
/// joined and may not have received any of them yet.
const MAX_ANNOUNCEMENTS_TO_NEWCOMER: usize = 64;

/// The number of unreachable endpoints from which on the node that reports them may itself be
/// disconnected.
const MIN_UNREACHABLE_IF_DISCONNECTED: usize = 4;

/// What the other nodes report about one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct RemoteLoad {
    running: u32,
    pending: u64,
    reports: Reports,
}

/// The load that this node puts on one endpoint in slots that other nodes own and count.
#[derive(Debug, Clone, Copy, Default)]
struct LeasedLoad {
    running: u32,
    pending: u64,
}

impl Dispatcher {
    /// Handles another node's status. The load it reports counts from the next tick on,
    /// which keeps a status cheap to handle in a large fleet.
    pub fn receive_status(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        mut status: Status,
    ) -> Reception {
        self.accounts.record_start(now);
        let findings = std::mem::take(&mut status.findings);
        let rate_limits = std::mem::take(&mut status.rate_limits);
        let notices = std::mem::take(&mut status.notices);
        let tolerances = std::mem::take(&mut status.tolerances);
        let quarantine = status.quarantine_digest;
        let incarnation = status.incarnation;
        let usage = status.usage.clone();
        if let Some(uptime) = status.uptime {
            self.accounts.record_peer_start(now - uptime);
        }
        let reception = self.members.record_status(now, from, status);
        if reception == Reception::Stale {
            return reception;
        }
        self.accounts.record_heard(now);
        if reception == Reception::Joined {
            self.bindings.record_joined(now);
        }
        let reporter = Reporter {
            address: from,
            incarnation,
            known: reception == Reception::Refreshed,
        };
        let reach = self.members.reach(now);
        let table = self.table.as_ref();
        for usage_entry in usage {
            let customer =
                table.and_then(|table| table.customer_by_number_opt(usage_entry.customer));
            let quota = customer.and_then(|customer| customer.quota.as_ref());
            self.accounts
                .record_peer_usage(now, reporter, usage_entry, quota, reach);
        }
        self.receive_rate_limits(now, &rate_limits);
        self.receive_announcements(now, &notices);
        self.receive_tolerances(now, from, &tolerances);
        self.take_findings(now, &findings);
        self.answer_digest(now, from, quarantine);
        reception
    }

    /// Sums up the load and the unavailability that other nodes report for each endpoint.
    pub(super) fn sum_remote_loads(&mut self, now: Time) {
        let mut sums: HashMap<u32, RemoteLoad> = HashMap::default();
        for (_, member) in self.members.live(now) {
            let loads = &member.status.loads;
            let credible = !is_disconnected(loads) && member.status.lost_links.is_empty();
            for load in loads {
                let sum = sums.entry(load.endpoint).or_default();
                sum.running += u32::from(load.running);
                sum.pending += u64::from(load.pending_tokens);
                match load.unavailability {
                    Some(Unavailability::Gone) => sum.reports.gone += 1,
                    Some(Unavailability::Failing) => sum.reports.failing += 1,
                    Some(Unavailability::Unreachable) if credible => sum.reports.unreachable += 1,
                    Some(Unavailability::Unreachable) | None => {}
                }
            }
        }
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let sum = sums.get(&worker.number).copied().unwrap_or_default();
            worker.remote_running = sum.running;
            worker.remote_pending = sum.pending;
            worker.remote_reports = sum.reports;
        }
    }

    /// Returns the statuses that are due, each with the nodes to send it to. Nodes that may
    /// know few other nodes get a longer status.
    pub fn statuses(&mut self, now: Time) -> Vec<(Status, Vec<SocketAddrV4>)> {
        let trigger = Trigger {
            urgent: self.urgent,
            usage_high: self.accounts.is_usage_high(now),
            new_documents: self.has_news,
        };
        let due = self.members.take_due(now, trigger);
        if due.is_empty() {
            return Vec::new();
        }
        self.urgent = false;
        self.has_news = false;
        let due = due.into_iter();
        let (newcomers, established): (Vec<_>, Vec<_>) =
            due.partition(|address| self.members.is_newcomer(now, *address));
        let status = self.status(now);
        let to_established = Status {
            members: self
                .members
                .advertised_to_established(&status.members)
                .to_vec(),
            rate_limits: limit_announcements(&status.rate_limits),
            notices: limit_announcements(&status.notices),
            tolerances: limit_announcements(&status.tolerances),
            // Only a node that starts needs to know who started before it.
            uptime: None,
            ..status.clone()
        };
        let mut statuses = vec![(to_established, established), (status, newcomers)];
        statuses.retain(|(_, to)| !to.is_empty());
        statuses
    }

    /// Returns this node's current status.
    pub fn status(&mut self, now: Time) -> Status {
        self.sequence += 1;
        Status {
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            configuration: self.configuration_version(),
            endpoints: self.list.edition(),
            data_centre: endpoint::number_of(self.options.data_centre.as_str()),
            leaving: self.leaving,
            platform_unreachable: self.platform_unreachable,
            loads: self.loads(now),
            waiting: self.waiting(),
            usage: self.accounts.usage(now, MAX_USAGE_ENTRIES),
            members: self.members.advertised_members(now, self.sequence),
            quarantine_digest: self.quarantine.digest(),
            findings: self.quarantine.recent_findings(now),
            protocol: Protocol::CURRENT,
            rate_limits: self.rotate_announcements(self.rate_limits_to_announce(now)),
            notices: self.rotate_announcements(self.announcements(now)),
            tolerances: self.rotate_announcements(self.tolerances_to_announce(now)),
            lost_links: self.lost_links(),
            uptime: self.accounts.recent_uptime_opt(now),
            is_late: self.states_lateness(),
        }
    }

    /// Limits announcements to what a status to a newcomer holds; successive statuses rotate
    /// through all of them.
    fn rotate_announcements<T>(&self, mut announcements: Vec<T>) -> Vec<T> {
        if announcements.len() > MAX_ANNOUNCEMENTS {
            let turn = (self.sequence as usize).wrapping_mul(MAX_ANNOUNCEMENTS);
            let start = turn % announcements.len();
            announcements.rotate_left(start);
            announcements.truncate(MAX_ANNOUNCEMENTS_TO_NEWCOMER);
        }
        announcements
    }

    /// Returns the load on each endpoint, except what the owners of leased slots report.
    fn loads(&self, now: Time) -> Vec<Load> {
        let leased_loads = self.leased_loads(now);
        let is_distrusted = self.lateness.is_distrusted(now);
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let loads = workers.map(|worker| {
            let leased = leased_loads
                .get(&worker.number)
                .copied()
                .unwrap_or_default();
            // What hangs on a lost link is no load of the endpoint.
            let (hung, hung_pending) = match worker.link.is_usable() {
                true => (0, 0),
                false => (worker.own_running, worker.pending),
            };
            let running = worker.running.saturating_sub(leased.running + hung);
            let pending = worker.pending.saturating_sub(leased.pending + hung_pending);
            Load {
                endpoint: worker.number,
                running: running.min(u32::from(u16::MAX)) as u16,
                pending_tokens: pending.min(u64::from(u32::MAX)) as u32,
                unavailability: worker
                    .unavailability_opt(now, &self.options.worker)
                    .filter(|what| !is_distrusted || *what == Unavailability::Gone),
            }
        });
        let reported = loads.filter(|load| load.running > 0 || load.unavailability.is_some());
        reported.take(MAX_LOAD_ENTRIES).collect()
    }

    /// Returns the load in leased slots whose owner is reachable and reports that load.
    fn leased_loads(&self, now: Time) -> HashMap<u32, LeasedLoad> {
        let mut leased_loads: HashMap<u32, LeasedLoad> = HashMap::default();
        for run in self.runs.values() {
            let Some(lease) = run.lease else {
                continue;
            };
            let incarnation = self.members.incarnation_opt(now, lease.owner);
            if incarnation != Some(lease.incarnation) {
                continue;
            }
            let Some(pool) = self.pools.get(&run.job.target) else {
                continue;
            };
            let sum = leased_loads
                .entry(pool.workers[run.worker].number)
                .or_default();
            sum.running += 1;
            sum.pending += match run.first {
                None => run.uncached,
                Some(_) => 0,
            };
        }
        leased_loads
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

    /// Returns the documents that this node has in a newer version than the requesting node. A
    /// configuration may be a hundred times as large as a list of endpoints and changes
    /// seldom, so the two are sent independently, and of each only the parts that differ.
    pub fn snapshot(&self, pull: &Pull) -> Snapshot {
        let edition = match pull.protocol.supports_eras() {
            true => self.list.edition(),
            false => self.list.edition().without_era(),
        };
        let is_newer_list = edition > pull.known.endpoints;
        let endpoints = is_newer_list.then(|| self.difference(pull));
        let table = self.table.as_ref();
        let newer_table =
            table.filter(|table| table.configuration().version > pull.known.configuration);
        let Some(table) = newer_table else {
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

    /// Returns the parts of the platform's endpoint list that the requesting node lacks.
    /// Corrections that this node keeps after an era began hold only for a while, and their
    /// end wouldn't reach the other nodes, as the platform's list has the same edition.
    fn difference(&self, pull: &Pull) -> Difference {
        let Some(list) = &self.uncorrected else {
            return Difference::new(&self.list, &self.sections, &pull.sections);
        };
        let sections = section::Index::new(list);
        Difference::new(list, &sections, &pull.sections)
    }

    /// Returns the request for documents to send to another node. It names parts of the
    /// configuration only if that node has a newer one. The sections in the answer have to
    /// be combined with the list that is in force now ([`Difference::into_list`]).
    pub fn pull(&self, from: SocketAddrV4) -> Pull {
        let known = self.versions();
        let has_newer = self.members.configuration(from) > known.configuration;
        let in_force = self.table.iter().flat_map(|table| table.parts().digests());
        let held = in_force.copied().chain(self.received.digests());
        Pull {
            known,
            held: if has_newer {
                held.collect()
            } else {
                Vec::new()
            },
            sections: self.sections.without_unknown_software(&self.list),
            protocol: Protocol::CURRENT,
        }
    }

    /// Returns the versions of the documents that this node has.
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.configuration_version(),
            endpoints: self.list.edition(),
        }
    }

    /// Returns a node that has a newer version of a document, if any. Each `attempt` yields
    /// another node if there are several.
    pub fn newer_peer_opt(
        &self,
        now: Time,
        document: Document,
        attempt: u64,
    ) -> Option<SocketAddrV4> {
        let known = self.versions().only(document);
        self.members.newer_peer_opt(now, known, attempt)
    }

    /// Replaces the seeds after a change of settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.members.set_seeds(seeds);
    }

    /// Returns which nodes read the platform, as seen by this node.
    pub fn role(&self, now: Time) -> Role {
        match self.list.revision {
            0 => self
                .members
                .startup_role(now, self.accounts.discovery_ends_at()),
            _ => self.members.role(now),
        }
    }

    /// Announces to the other nodes whether this node can't reach the platform.
    pub fn set_platform_unreachable(&mut self, unreachable: bool) {
        self.urgent |= self.platform_unreachable != unreachable;
        self.platform_unreachable = unreachable;
    }

    /// Announces to the other nodes that this node is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.members.leaving = true;
        self.bindings.hand_over(self.ticked_at);
        self.urgent = true;
    }
}

/// Whether a node fails to connect to so many endpoints that the node itself is more likely
/// disconnected than the endpoints.
fn is_disconnected(loads: &[Load]) -> bool {
    let unreachable = |load: &&Load| load.unavailability == Some(Unavailability::Unreachable);
    let unreachable = loads.iter().filter(unreachable).count();
    unreachable >= MIN_UNREACHABLE_IF_DISCONNECTED && unreachable * 2 > loads.len()
}

/// Shortens the announcements for a newcomer to those for an established node.
fn limit_announcements<T: Clone>(announcements: &[T]) -> Vec<T> {
    announcements[..announcements.len().min(MAX_ANNOUNCEMENTS)].to_vec()
}
