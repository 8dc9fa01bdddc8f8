//! What endpoints say of themselves in the heads of answers.

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Run;
use crate::job;
use crate::lease;
use crate::notice::Change;
use crate::notice::Fact;
use crate::notice::Field;
use crate::notice::Notice;
use crate::notice::Told;
use crate::notice::Update;
use crate::worker::Worker;

impl Dispatcher {
    /// Takes what the head of the answer to a request says of the endpoint that runs it.
    /// Gives what is believed of the endpoint otherwise than before.
    pub fn take_notice(&mut self, now: Time, id: job::Id, notice: &Notice) -> Vec<Change> {
        let cold = notice
            .cold_for
            .and_then(|cold_for| self.note_cold(now, id, cold_for));
        let limit = match notice.rate_limit {
            Field::Unknown => None,
            Field::Absent => self.note_rate_limit(now, id, None),
            Field::Given(limit) => self.note_rate_limit(now, id, Some(limit)),
        };
        let leaving = notice.leaving.then(|| self.note_leaving(id)).flatten();
        let rest = notice.rest.and_then(|rest| self.note_rest(now, id, rest));
        let changes = cold.into_iter().chain(limit);
        changes.chain(leaving).chain(rest).collect()
    }

    /// A request that runs, and the endpoint that runs it.
    pub(super) fn running_at_mut(&mut self, id: job::Id) -> Option<(&Run, &mut Worker)> {
        let run = self.runs.get(&id)?;
        let pool = self.pools.get_mut(&run.job.target)?;
        Some((run, &mut pool.workers[run.worker]))
    }

    /// An endpoint said in an answer that it leaves. All others are told at once: each
    /// would otherwise learn it by a request that it sends there.
    fn note_leaving(&mut self, id: job::Id) -> Option<Change> {
        let (_, worker) = self.running_at_mut(id)?;
        worker.leaving = true;
        let number = worker.number;
        let new = self.leaving_endpoints.insert(number);
        self.urgent |= new;
        self.has_news |= new;
        new.then_some(Change::Leaving)
    }

    /// Takes what endpoints said to another node.
    pub(super) fn hear_notices(&mut self, now: Time, told: &[Told]) {
        for one in told {
            match one.fact {
                Fact::Leaving => self.hear_leaving(one.endpoint),
                Fact::Rest { left_ms } => {
                    let until = now + Span::from_millis(u64::from(left_ms));
                    let heard = self.received_rests.entry(one.endpoint).or_default();
                    *heard = until.max(*heard);
                }
            }
        }
    }

    fn hear_leaving(&mut self, endpoint: u32) {
        if !self.leaving_endpoints.insert(endpoint) {
            return;
        }
        let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
        for worker in workers.filter(|worker| worker.number == endpoint) {
            worker.leaving = true;
            self.endpoint_updates
                .push(Update::new(worker, Change::Leaving));
        }
    }

    /// What endpoints said and lists do not say, in the order of the endpoints.
    pub(super) fn notices_to_tell(&self, now: Time) -> Vec<Told> {
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let open = workers.filter(|worker| worker.listed && !worker.endpoint.leaving);
        let mut told: Vec<Told> = open.filter_map(|worker| to_told_opt(now, worker)).collect();
        told.sort_by_key(|one| one.endpoint);
        told
    }

    /// An endpoint turned a request away and wants nothing from this node for so long.
    fn note_rest(&mut self, now: Time, id: job::Id, rest: Span) -> Option<Change> {
        let incarnation = self.options.incarnation;
        let (_, worker) = self.running_at_mut(id)?;
        let drawn = hash::chain(incarnation, &worker.number.to_le_bytes());
        if !worker.rest.ask(now, rest, drawn) {
            return None;
        }
        self.urgent = true;
        Some(Change::Rest { lasts: rest })
    }

    /// Takes what was heard of rests since the last tick, and notes which are over.
    pub(super) fn update_rests(&mut self, now: Time) {
        let heard = std::mem::take(&mut self.received_rests);
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            if let Some(until) = heard.get(&worker.number) {
                worker.rest.hear(*until);
            }
            if worker.rest.take_end(now) {
                self.endpoint_updates
                    .push(Update::new(worker, Change::Rested));
            }
        }
    }

    /// An endpoint said in an answer that it is cold for so long.
    pub(super) fn note_cold(&mut self, now: Time, id: job::Id, cold_for: Span) -> Option<Change> {
        let (run, worker) = self.running_at_mut(id)?;
        let lease = run.lease;
        let was_cold = worker.cold.is_cold(now);
        worker.cold.extend(now, cold_for);
        if let Some(lease) = lease {
            self.report(lease.owner, lease.number, lease::Event::Cold { cold_for });
        }
        (!was_cold).then_some(Change::Cold { lasts: cold_for })
    }
}

/// What others are told of an endpoint by its answers to this node.
fn to_told_opt(now: Time, worker: &Worker) -> Option<Told> {
    let left = worker.rest.left(now);
    let fact = match worker.leaving {
        true => Fact::Leaving,
        false if left == Span::ZERO => return None,
        false => Fact::Rest {
            left_ms: u32::try_from(left.0 / 1_000).unwrap_or(u32::MAX),
        },
    };
    Some(Told {
        endpoint: worker.number,
        fact,
    })
}
