//! Binds streams to the version of the software that began them, and keeps the records of other
//! nodes' streams.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::binding::Binding;
use crate::binding::Keeper;
use crate::binding::Key;
use crate::binding::Statement;
use crate::binding::Stream;
use crate::job;
use crate::job::Job;
use crate::message::Message;

/// The number of nodes that keep a record.
pub(super) const KEEPERS: usize = 3;

/// The maximum number of statements in a datagram.
const MAX_STATEMENTS: usize = 20;

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
