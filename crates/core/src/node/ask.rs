//! Requests to pool holders for an endpoint, and handling of their answers.

use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Action;
use super::Node;
use super::Phase;
use super::Refusal;
use super::Task;
use super::Waste;
use crate::message::Message;
use crate::pool::Ask;
use crate::pool::Decision;
use crate::pool::End;
use crate::pool::Peer;
use crate::pool::Pool;
use crate::trace::Step;

/// The maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// A grant as received from a pool holder.
pub(super) struct Grant {
    pub(super) target: id::Target,
    pub(super) request: id::Request,
    pub(super) attempt: u32,
    pub(super) endpoint: id::Endpoint,
}

impl Node {
    /// Returns the node that holds a target's pool according to this node's view.
    pub(super) fn holder(&self, target: &id::Target) -> id::Host {
        let live = self.live.iter();
        hash::owner(target.as_str(), live)
            .unwrap_or(&self.options.host)
            .clone()
    }

    /// Starts a new attempt and asks the pool holder for an endpoint.
    pub(super) fn ask(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        let target = task.target.name.clone();
        task.attempt += 1;
        let attempt = task.attempt;
        let holder = self.holder(&target);
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.phase = Phase::Asking {
            holder: holder.clone(),
        };
        let ask = to_ask(now, request, task);
        self.trace.add(
            now,
            request,
            Step::Asked {
                of: holder.clone(),
                attempt,
            },
        );
        if holder == self.options.host {
            let peer = self.peer();
            if let Some(pool) = self.pool(&target) {
                pool.ask(now, peer, ask);
            }
        } else {
            self.send(&holder, Message::Ask { target, ask });
        }
    }

    /// Returns the pool of a declared target, creating it on first use.
    pub(super) fn pool(&mut self, target: &id::Target) -> Option<&mut Pool> {
        if !self.pools.contains_key(target) {
            let document = self.document.as_ref()?;
            let declared = document.config.targets.get(target)?.clone();
            let mut pool = Pool::new(declared.clone(), self.options.pool.clone());
            pool.set_workers(&declared, &self.live_endpoints(target), &self.reserves);
            self.pools.insert(target.clone(), pool);
        }
        self.pools.get_mut(target)
    }

    /// Tells the pool holder that the request's current attempt has ended.
    pub(super) fn notify_end(&mut self, now: Time, request: id::Request, end: End) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let (Phase::Asking { holder } | Phase::Calling { holder, .. }) = &task.phase else {
            return;
        };
        let (holder, attempt, target) = (holder.clone(), task.attempt, task.target.name.clone());
        self.deliver(
            now,
            &holder,
            Message::Done {
                target,
                request,
                attempt,
                end,
            },
        );
    }

    /// Delivers a message to a pool holder, which may be this node.
    pub(super) fn deliver(&mut self, now: Time, holder: &id::Host, message: Message) {
        if *holder == self.options.host {
            let peer = self.peer();
            self.pool_message(now, peer, message);
        } else {
            self.send(holder, message);
        }
    }

    /// Carries out pending decisions of the local pools until none are left.
    pub(super) fn apply_decisions(&mut self, now: Time) {
        loop {
            let decided: Vec<Decision> = self
                .pools
                .values_mut()
                .flat_map(Pool::take_decisions)
                .collect();
            if decided.is_empty() {
                return;
            }
            for decision in decided {
                self.apply_decision(now, decision);
            }
        }
    }

    fn apply_decision(&mut self, now: Time, decision: Decision) {
        let (to, message) = match decision {
            Decision::Grant {
                to,
                target,
                request,
                attempt,
                endpoint,
            } => (
                to,
                Message::Grant {
                    target,
                    request,
                    attempt,
                    endpoint,
                },
            ),
            Decision::Refuse {
                to,
                request,
                attempt,
                code,
                retry_after,
            } => (
                to,
                Message::Refuse {
                    request,
                    attempt,
                    code,
                    retry_after,
                },
            ),
        };
        if to.host == self.options.host {
            self.message(now, to, message);
        } else {
            self.send(&to.host, message);
        }
    }

    /// Handles a grant: calls the endpoint, or returns the grant if it is unusable.
    pub(super) fn handle_grant(&mut self, now: Time, from: &Peer, grant: Grant) {
        let Grant {
            request,
            attempt,
            endpoint,
            ..
        } = &grant;
        let (request, attempt) = (*request, *attempt);
        let asking = self.is_asking(from, request, attempt);
        let address = self
            .endpoints
            .get(endpoint)
            .map(|known| known.address.clone());
        let task = self
            .tasks
            .get_mut(&request)
            .filter(|task| asking && task.deadline > now);
        let (Some(task), Some(address)) = (task, address) else {
            self.decline(now, from, grant, asking);
            return;
        };
        let endpoint = endpoint.clone();
        let holder = from.host.clone();
        task.phase = Phase::Calling {
            holder,
            endpoint: endpoint.clone(),
            called_at: now,
            last_progress: now,
        };
        task.wait.get_or_insert(now.since(task.arrived_at));
        let record = task.key.is_some();
        let key = task.key_text.clone().filter(|_| task.target.checks_keys);
        let (tier, priority) = (task.class.tier, task.target.priority);
        self.trace.add(
            now,
            request,
            Step::Called {
                endpoint: endpoint.clone(),
                attempt,
            },
        );
        self.out.push(Action::Call {
            request,
            attempt,
            endpoint,
            address,
            tier,
            priority,
            key,
            record,
        });
    }

    fn is_asking(&self, from: &Peer, request: id::Request, attempt: u32) -> bool {
        self.tasks.get(&request).is_some_and(|task| {
            let Phase::Asking { holder } = &task.phase else {
                return false;
            };
            task.attempt == attempt && *holder == from.host
        })
    }

    /// Returns a grant that cannot be used: the request no longer waits for it, its
    /// deadline has passed, or the local host list does not name the endpoint yet.
    fn decline(&mut self, now: Time, from: &Peer, grant: Grant, asking: bool) {
        let Grant {
            target,
            request,
            attempt,
            endpoint,
        } = grant;
        let running = self.tasks.get(&request).is_some_and(|task| {
            matches!(task.phase, Phase::Calling { .. }) && task.attempt == attempt
        });
        if running {
            return;
        }
        let end = End::Unused;
        self.deliver(
            now,
            &from.host,
            Message::Done {
                target,
                request,
                attempt,
                end,
            },
        );
        if asking && !self.retry(now, request, Some(endpoint)) {
            self.not_run(now, request, Refusal::new(Code::EndpointRefused));
        }
    }

    /// Handles a refusal by a pool holder; refusals of earlier attempts are ignored.
    pub(super) fn handle_refusal(
        &mut self,
        now: Time,
        from: &Peer,
        request: id::Request,
        attempt: u32,
        refusal: Refusal,
    ) {
        if self.is_asking(from, request, attempt) {
            self.not_run(now, request, refusal);
        }
    }

    /// Cancels a call in progress and reports the discarded prompt work.
    pub(super) fn cancel_call(&mut self, now: Time, request: id::Request, end: End, why: Waste) {
        self.notify_end(now, request, end);
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let attempt = task.attempt;
        self.out.push(Action::Cancel { request, attempt });
        self.out.push(Action::Wasted(task.prompt, why));
    }

    /// Starts another attempt if the attempt limit, retry budget and deadline allow it.
    ///
    /// Returns whether an attempt was started.
    pub(super) fn retry(
        &mut self,
        now: Time,
        request: id::Request,
        avoid: Option<id::Endpoint>,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(&request) else {
            return false;
        };
        if task.retries + 1 >= MAX_ATTEMPTS || task.deadline <= now || !self.retries.try_spend() {
            return false;
        }
        task.retries += 1;
        task.avoid = avoid;
        self.ask(now, request);
        true
    }

    /// Moves pending asks and running calls to the current holders of their pools.
    pub(super) fn reroute(&mut self, now: Time, back: Option<&id::Host>) {
        let mut moved: Vec<(id::Request, Message)> = Vec::new();
        let mut again = Vec::new();
        for (request, task) in &self.tasks {
            let (Phase::Asking { holder } | Phase::Calling { holder, .. }) = &task.phase else {
                continue;
            };
            if self.holder(&task.target.name) == *holder && back != Some(holder) {
                continue;
            }
            let target = task.target.name.clone();
            match &task.phase {
                Phase::Calling { endpoint, .. } => {
                    let ask = to_ask(now, *request, task);
                    let endpoint = endpoint.clone();
                    moved.push((
                        *request,
                        Message::Adopt {
                            target,
                            ask,
                            endpoint,
                        },
                    ));
                }
                _ => again.push(*request),
            }
        }
        moved.sort_by_key(|(request, _)| *request);
        again.sort();
        for (request, message) in moved {
            self.move_call(now, request, message);
        }
        for request in again {
            self.notify_end(now, request, End::Unused);
            self.ask(now, request);
        }
    }

    fn move_call(&mut self, now: Time, request: id::Request, message: Message) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let new_holder = self.holder(&task.target.name);
        let Phase::Calling { holder, .. } = &task.phase else {
            return;
        };
        if *holder != new_holder {
            self.notify_end(now, request, End::Unused);
        }
        if let Some(task) = self.tasks.get_mut(&request)
            && let Phase::Calling { holder, .. } = &mut task.phase
        {
            *holder = new_holder.clone();
        }
        self.deliver(now, &new_holder, message);
    }

    /// Builds the refusal for a code sent by a pool holder.
    pub(super) fn to_refusal(code: Code, retry_after: Span) -> Refusal {
        let retry_after = code.is_transient().then_some(retry_after);
        Refusal {
            retry_after,
            ..Refusal::new(code)
        }
    }
}

fn to_ask(now: Time, request: id::Request, task: &Task) -> Ask {
    Ask {
        request,
        attempt: task.attempt,
        class: task.class.name.clone(),
        tier: task.class.tier,
        customer: task.customer.name.to_number(),
        weight: task.customer.weight,
        prompt: task.prompt,
        output: task.class.output,
        output_limit: task.output_limit,
        left: task.deadline.since(now),
        blocks: task.blocks.clone(),
        avoid: task.avoid.clone(),
    }
}
