//! A request comes: who sends it, what for, and may it.

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

/// The longest time a caller may ask for.
const LONGEST: Span = Span::from_secs(3_600);

/// When to come back to a node that is not ready, stopping or full.
const SOON: Span = Span::from_secs(1);

impl Refusal {
    /// The refusal that a code means by itself.
    pub fn new(code: Code) -> Refusal {
        let retry_after = code.is_transient().then_some(SOON);
        Refusal {
            code,
            outcome: code.outcome(),
            retry_after,
            ticket: None,
        }
    }

    /// The same from a node that cannot speak for the key.
    pub(super) fn of_key(code: Code) -> Refusal {
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
            // A key that an earlier request used may have run: what is said
            // of this request must not be taken for a word on the key.
            let of_key = keyed && code.number() > 2_000;
            let refusal = if of_key {
                Refusal::of_key(code)
            } else {
                Refusal::new(code)
            };
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
        let wanted = arrival.timeout.unwrap_or(class.timeout).min(LONGEST);
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
            since: now,
            deadline: now + wanted,
            attempt: 0,
            retries: 0,
            avoid: None,
            phase: Phase::Waiting,
            caller: true,
            lingers: false,
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

    /// Issues a ticket to the customer of a token.
    pub fn issue(&mut self, now: Time, token: &[u8; 32]) -> Result<Ticket, Code> {
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

/// What a cached prefix must share: model, version, adapter and customer.
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
