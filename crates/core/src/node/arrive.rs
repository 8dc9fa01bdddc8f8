//! Admission of arriving requests: authentication, class selection and limits.

use woadstage_config::published::Class;
use woadstage_config::published::Config;
use woadstage_config::published::Customer;
use woadstage_config::published::Kind;
use woadstage_config::published::Target;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Action;
use super::Arrival;
use super::Node;
use super::Phase;
use super::Refusal;
use super::Stage;
use super::Task;
use crate::ledger::Ticket;
use crate::pool::prefix_cache;
use crate::trace::Step;

/// The maximum timeout of a request; longer ones are cut to it.
const MAX_TIMEOUT: Span = Span::from_secs(3_600);

/// The retry delay sent with refusals that may clear by themselves.
const RETRY_DELAY: Span = Span::from_secs(1);

impl Refusal {
    /// Creates a refusal with the outcome that the code implies.
    pub fn new(code: Code) -> Refusal {
        let retry_after = code.is_transient().then_some(RETRY_DELAY);
        Refusal {
            code,
            outcome: code.outcome(),
            retry_after,
            ticket: None,
        }
    }

    /// Creates a refusal for a request that was not admitted.
    pub fn for_arrival(code: Code, keyed: bool) -> Refusal {
        // An earlier request with the same key may have run, so refusing this one
        // must not claim that the key was not run.
        let key_may_have_run = keyed && code.number() > 2_000;
        match key_may_have_run {
            true => Refusal::for_unowned_key(code),
            false => Refusal::new(code),
        }
    }

    /// Creates a refusal for a keyed request from a node that does not own the key.
    ///
    /// A `NotRun` outcome becomes `Unknown`, as another node may have run the key.
    pub(super) fn for_unowned_key(code: Code) -> Refusal {
        let mut refusal = Refusal::new(code);
        if refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    }
}

impl Node {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let request = arrival.request;
        let keyed = arrival.key.is_some();
        if let Err(code) = self.admit(now, arrival) {
            let refusal = Refusal::for_arrival(code, keyed);
            self.out.push(Action::Refuse { request, refusal });
        }
    }

    fn admit(&mut self, now: Time, arrival: Arrival) -> Result<(), Code> {
        let Some(document) = &self.document else {
            return Err(Code::NotReady);
        };
        if self.stage == Stage::Closed && arrival.from.is_none() {
            return Err(Code::Stopping);
        }
        if self.tasks.len() >= self.options.requests {
            return Err(Code::NodeBusy);
        }
        let config = document.config.clone();
        let (customer, target, class) = identify(&config, &arrival)?;
        let (customer, target, class) = (customer.clone(), target.clone(), class.clone());
        let keyed = !class.repeatable;
        if keyed && arrival.key.is_none() {
            return Err(Code::KeyMissing);
        }
        let number = customer.name.to_number();
        if !keyed
            && !self
                .customers
                .admit(now, number, customer.limit, self.live.len())
        {
            return Err(Code::CustomerLimit);
        }
        let wanted = arrival.timeout.unwrap_or(class.timeout).min(MAX_TIMEOUT);
        let step = Step::Arrived {
            class: class.name.clone(),
            revision: config.confirmation.revision,
            left_us: wanted.0,
        };
        self.trace.add(now, arrival.request, step);
        let identity = identity(&target, number);
        let task = Task {
            key: None,
            key_text: None,
            prompt: arrival.prompt,
            output_limit: arrival.output_limit,
            blocks: prefix_cache::blocks(identity, &arrival.prefix),
            arrived_at: now,
            deadline: now + wanted,
            attempt: 0,
            retries: 0,
            avoid: None,
            was_sent: false,
            phase: Phase::Waiting,
            caller_waiting: true,
            detached: false,
            wait: None,
            first: None,
            class,
            target,
            customer,
        };
        match keyed {
            true => self.arrive_keyed(now, arrival, task),
            false => {
                self.retries.note_request();
                self.insert(arrival.request, task);
                self.ask(now, arrival.request);
            }
        }
        Ok(())
    }

    pub(super) fn insert(&mut self, request: id::Request, task: Task) {
        self.deadlines.insert((task.deadline, request));
        self.tasks.insert(request, task);
    }

    /// Issues a ticket to the customer that the token belongs to.
    pub fn issue_ticket(&mut self, now: Time, token: &[u8; 32]) -> Result<Ticket, Code> {
        let document = self.document.as_ref().ok_or(Code::NotReady)?;
        let customer = document
            .config
            .customers
            .get(token)
            .ok_or(Code::CustomerUnknown)?
            .clone();
        let number = customer.name.to_number();
        if !self
            .customers
            .admit(now, number, customer.limit, self.live.len())
        {
            return Err(Code::CustomerLimit);
        }
        self.ledger.try_issue(number).ok_or(Code::Stopping)
    }
}

/// Returns the hash that separates prefix caches by customer, model, version and adapter.
fn identity(target: &Target, customer: u64) -> u64 {
    let model = hash::chain(customer, target.name.as_str().as_bytes());
    hash::chain(model, target.version.as_bytes())
}

type Identified<'a> = (
    &'a std::sync::Arc<Customer>,
    &'a std::sync::Arc<Target>,
    &'a std::sync::Arc<Class>,
);

fn identify<'a>(config: &'a Config, arrival: &Arrival) -> Result<Identified<'a>, Code> {
    let customer = config
        .customers
        .get(&arrival.token)
        .ok_or(Code::CustomerUnknown)?;
    let unknown = if arrival.is_service {
        Code::ServiceUnknown
    } else {
        Code::ModelUnknown
    };
    let target = config.targets.get(&arrival.target).ok_or(unknown)?;
    if (target.kind == Kind::Service) != arrival.is_service {
        return Err(unknown);
    }
    let class = config.class_opt(customer, target, arrival.class.as_ref());
    Ok((customer, target, class.ok_or(Code::ClassUnknown)?))
}
