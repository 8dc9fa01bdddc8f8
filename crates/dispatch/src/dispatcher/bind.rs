//! Binds streams to the version of the software that began them, and keeps the records of other
//! nodes' streams.

use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::binding::Binding;
use crate::binding::Doubt;
use crate::binding::Doubted;
use crate::binding::Keeper;
use crate::binding::Key;
use crate::binding::Statement;
use crate::binding::Stream;
use crate::binding::Telling;
use crate::job;
use crate::job::Job;
use crate::map::HashMap;
use crate::message::Message;

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
        let Some(stream) = stream else {
            return;
        };
        if let Some(software) = software {
            self.record_stream(now, stream, &target, &software, None);
        } else if let Some((software, doubt)) = self.doubted_start_opt(now, id) {
            self.record_stream(now, stream, &target, &software, Some(doubt));
        }
    }

    /// Returns the listed version of the endpoint that runs a request, and the doubt about it, if its
    /// start is in doubt.
    fn doubted_start_opt(&self, now: Time, id: job::Id) -> Option<(id::Software, Doubt)> {
        let run = self.runs.get(&id)?;
        let pool = self.pools.get(&run.job.target)?;
        let worker = &pool.workers[run.worker];
        let settled_at = worker.start.settled_at_opt(self.platform_lost_at)?;
        let software = worker.endpoint.software.clone()?;
        let doubt = Doubt {
            endpoint: worker.endpoint.name.clone(),
            started_at: worker.endpoint.started_at,
            settled_in: settled_at.since(now),
        };
        Some((software, doubt))
    }

    /// Binds a request whose stream began while the start of its endpoint was in doubt, once that is
    /// settled.
    pub(super) fn bind_settled(&self, now: Time, job: &mut Job) {
        if job.binding != Binding::Unknown {
            return;
        }
        let found = job
            .stream
            .and_then(|stream| self.bindings.find_opt(now, stream.key));
        let software = found.and_then(|found| found.software);
        job.binding = Binding::to(software.as_ref());
    }

    /// Binds a request that runs here, or at another node that stated this version, unless it is
    /// bound. Returns the request.
    fn bind_to_running(&mut self, id: job::Id, stated: Option<&id::Software>) -> Option<&Job> {
        let (job, software) = if let Some(run) = self.runs.get_mut(&id) {
            let pool = self.pools.get(&run.job.target)?;
            let software = pool.workers[run.worker].software_opt();
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
        doubt: Option<Doubt>,
    ) {
        let Some(service) = self.pools.get(target).map(|pool| pool.number) else {
            return;
        };
        self.bindings
            .record_own(now, stream, service, software, doubt);
        self.state_bindings(now);
    }

    /// Keeps what another node states of its streams, and confirms it. A node that is leaving passes
    /// it on to those that stay.
    pub fn receive_bindings(&mut self, now: Time, from: SocketAddrV4, statements: &[Statement]) {
        let statements = statements.iter().map(|statement| (statement, None));
        self.keep_stated(now, from, statements);
    }

    /// Keeps what another node states of its streams that it is in doubt about.
    pub fn receive_doubted_bindings(&mut self, now: Time, from: SocketAddrV4, stated: &[Doubted]) {
        let stated = stated
            .iter()
            .map(|doubted| (&doubted.statement, Some(&doubted.doubt)));
        self.keep_stated(now, from, stated);
    }

    fn keep_stated<'a>(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        statements: impl Iterator<Item = (&'a Statement, Option<&'a Doubt>)>,
    ) {
        // Without a status of the node it counts as gone.
        let teller = Keeper {
            node: from,
            incarnation: self.members.incarnation_opt(now, from).unwrap_or_default(),
        };
        let mut kept = Vec::new();
        for (statement, doubt) in statements {
            if self.bindings.record_stated(now, statement, doubt) {
                self.bindings.record_teller(statement.key, teller);
                kept.push(statement.key);
            }
        }
        if self.leaving {
            for key in kept {
                self.bindings.take_over(now, key);
            }
            self.state_bindings(now);
            return;
        }
        self.outbox.push((from, Message::BindingsKept(kept)));
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

    /// Tells keepers of this node's own streams, and of those of nodes that are gone. A node that is
    /// leaving tells them of all that it keeps.
    pub(super) fn state_bindings(&mut self, now: Time) {
        self.bindings.expire(now);
        let members = &self.members;
        let runs =
            |teller: &Keeper| members.incarnation_opt(now, teller.node) == Some(teller.incarnation);
        self.bindings.take_over_lost(now, runs);
        let mut statements: HashMap<SocketAddrV4, Vec<Statement>> = HashMap::default();
        let mut doubted: HashMap<SocketAddrV4, Vec<Doubted>> = HashMap::default();
        for key in self.bindings.take_due(now) {
            let is_live = |keeper: &Keeper| members.is_keeper(now, keeper);
            let rank = |count| members.keepers(now, key.0, count);
            let Some(telling) = self.bindings.state(now, key, is_live, rank) else {
                continue;
            };
            let Telling {
                statement, doubt, ..
            } = telling;
            for node in telling.nodes {
                let statement = statement.clone();
                match &doubt {
                    None => statements.entry(node).or_default().push(statement),
                    Some(doubt) if members.settles_doubts(node) => {
                        let doubt = doubt.clone();
                        let told = doubted.entry(node).or_default();
                        told.push(Doubted { statement, doubt });
                    }
                    // An older build would take it for certain.
                    Some(_) => {}
                }
            }
        }
        for (node, statements) in statements {
            for part in statements.chunks(MAX_STATEMENTS) {
                self.outbox.push((node, Message::Bindings(part.to_vec())));
            }
        }
        for (node, doubted) in doubted {
            for part in doubted.chunks(MAX_STATEMENTS) {
                let message = Message::DoubtedBindings(part.to_vec());
                self.outbox.push((node, message));
            }
        }
    }

    /// The number of streams of which this node keeps the version.
    pub fn binding_count(&self) -> usize {
        self.bindings.len()
    }
}
