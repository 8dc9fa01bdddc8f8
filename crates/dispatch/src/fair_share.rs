//! Start-time fair queuing among the customers of one rank.
//!
//! A request's start tag is the virtual time at its arrival, or the virtual time up to which its
//! customer's earlier requests use the customer's share, whichever is later. Requests are started
//! in the order of their tags. Only started requests are charged: a request that leaves the queue,
//! or that can no longer be in time, no longer delays its customer's later requests. Otherwise a
//! customer beyond its share would get nothing, because all of its requests would become late
//! behind others that are never started.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use woadstage_types::unit::Time;

use crate::job;
use crate::job::Job;
use crate::map::HashMap;

/// The number of customers without waiting requests that are remembered. One that is forgotten
/// early is not charged for its last request.
const MAX_IDLE: usize = 1_024;

/// A request's start tag: the virtual time at which its customer's fair share of the service
/// reaches it, in microseconds of slot time. Requests of one rank are started in the order of their
/// tags. Zero if fair shares do not apply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of requests that precede all others of their rank.
    pub const FIRST: Tag = Tag(1);

    fn after(self, cost: Cost) -> Tag {
        Tag(self.0.saturating_add(cost.0))
    }
}

/// The predicted use of a slot by a request, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost(pub u64);

/// A customer's number. All requests without one count as one customer.
type Customer = Option<u64>;

/// The place of a request among those of its customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Whether no place was booked for it.
    is_new: bool,
    first_try: Time,
    id: job::Id,
}

impl Place {
    fn new(id: job::Id, job: &Job) -> Place {
        Place {
            is_new: !job.is_booked,
            first_try: job.first_try,
            id,
        }
    }
}

#[derive(Debug)]
struct Waiting {
    cost: Cost,
    /// The virtual time when it arrived.
    arrived: Tag,
    start: Tag,
}

#[derive(Debug, Default)]
struct Account {
    /// The virtual time up to which its started requests use its share.
    used_until: Tag,
    waiting: BTreeMap<Place, Waiting>,
}

impl Account {
    /// The earliest tag of a request at a place.
    fn next_tag(&self, place: Place) -> Tag {
        let before = self.waiting.range(..place).next_back();
        before.map_or(self.used_until, |(_, waiting)| {
            waiting.start.after(waiting.cost)
        })
    }
}

/// The use of one service by the customers of one rank.
#[derive(Debug)]
pub struct Ledger {
    /// The latest tag of the requests started so far.
    virtual_time: Tag,
    accounts: HashMap<Customer, Account>,
    /// The customers and places of waiting requests.
    places: HashMap<job::Id, (Customer, Place)>,
    /// Customers without waiting requests whose use exceeds the virtual time.
    idle: BTreeSet<(Tag, Customer)>,
    /// Requests whose tag has changed since it was last taken.
    changed: Vec<(job::Id, Tag)>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            virtual_time: Tag::FIRST.after(Cost(1)),
            accounts: HashMap::default(),
            places: HashMap::default(),
            idle: BTreeSet::new(),
            changed: Vec::new(),
        }
    }
}

impl Ledger {
    /// Returns the tag that a request would get.
    pub fn preview(&self, job: &Job) -> Tag {
        if job.is_booked {
            return Tag::FIRST;
        }
        let account = self.accounts.get(&job.customer);
        let next = account.map(|account| account.next_tag(Place::new(job::Id(u64::MAX), job)));
        self.virtual_time.max(next.unwrap_or_default())
    }

    /// Adds a request and returns its tag. Among the requests of its customer, those with a booked
    /// place come first, and then those of the callers that first tried the earliest.
    pub fn join(&mut self, id: job::Id, job: &Job, cost: Cost) -> Tag {
        let arrived = self.virtual_time;
        let place = Place::new(id, job);
        let account = self.accounts.entry(job.customer).or_default();
        self.idle.remove(&(account.used_until, job.customer));
        let start = arrived.max(account.next_tag(place));
        let waiting = Waiting {
            cost,
            arrived,
            start,
        };
        account.waiting.insert(place, waiting);
        self.places.insert(id, (job.customer, place));
        self.update_tags(job.customer, place);
        match job.is_booked {
            true => Tag::FIRST,
            false => start,
        }
    }

    /// Charges the customer of a request that is started, unless the request has left before.
    pub fn start(&mut self, id: job::Id) {
        let Some((customer, place, waiting)) = self.take(id) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&customer) {
            // An earlier request of the customer may still wait for an endpoint that suits it.
            let start = waiting.arrived.max(account.used_until);
            account.used_until = start.after(waiting.cost);
            self.virtual_time = self.virtual_time.max(start);
        }
        let first = Place {
            is_new: false,
            first_try: Time(0),
            id: job::Id(0),
        };
        self.update_tags(customer, first);
        self.update_tags(customer, place);
        self.close(customer);
    }

    /// Removes a request that is not charged. Returns whether it was there.
    pub fn leave(&mut self, id: job::Id) -> bool {
        let Some((customer, place, _)) = self.take(id) else {
            return false;
        };
        self.update_tags(customer, place);
        self.close(customer);
        true
    }

    /// Whether a request with this tag and cost arrived while more than one such request of its
    /// customer already waited or ran beyond its share.
    pub fn is_beyond_share(&self, tag: Tag, cost: Cost) -> bool {
        tag > self.virtual_time.after(cost)
    }

    /// Takes the requests whose tag has changed, with their tags.
    pub fn take_changed(&mut self) -> Vec<(job::Id, Tag)> {
        std::mem::take(&mut self.changed)
    }

    /// The number of customers with waiting requests or remembered use.
    pub fn customers(&self) -> usize {
        self.accounts.len()
    }

    fn take(&mut self, id: job::Id) -> Option<(Customer, Place, Waiting)> {
        let (customer, place) = self.places.remove(&id)?;
        let account = self.accounts.get_mut(&customer)?;
        let waiting = account.waiting.remove(&place)?;
        Some((customer, place, waiting))
    }

    /// Updates the tags of a customer's requests after a place, until one stays the same.
    fn update_tags(&mut self, customer: Customer, after: Place) {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        let mut next = match account.waiting.get(&after) {
            Some(waiting) => waiting.start.after(waiting.cost),
            None => account.next_tag(after),
        };
        let later = account.waiting.range_mut(after..);
        for (place, waiting) in later.filter(|(place, _)| **place != after) {
            let start = waiting.arrived.max(next);
            if start == waiting.start {
                return;
            }
            waiting.start = start;
            next = start.after(waiting.cost);
            if place.is_new {
                self.changed.push((place.id, start));
            }
        }
    }

    /// Marks a customer without waiting requests as idle, and forgets those whose use no longer
    /// exceeds the virtual time. They would get the same tags without an account.
    fn close(&mut self, customer: Customer) {
        let Some(account) = self.accounts.get(&customer) else {
            return;
        };
        if account.waiting.is_empty() {
            self.idle.insert((account.used_until, customer));
        }
        while let Some((used_until, customer)) = self.idle.first().copied() {
            if used_until > self.virtual_time && self.idle.len() <= MAX_IDLE {
                return;
            }
            self.idle.pop_first();
            self.accounts.remove(&customer);
        }
    }
}
