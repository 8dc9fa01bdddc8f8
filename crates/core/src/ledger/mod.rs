//! At-most-once execution of requests that may not be repeated.
//!
//! A ticket names the only incarnation that may run it, and that incarnation
//! remembers for its lifetime which of its tickets were used. When its process
//! ends, the unused tickets become invalid. Safety therefore depends on nothing
//! outside one process: no clock, no host list, no state of another node.
//!
//! On a planned stop an incarnation transfers its unused tickets to one
//! successor and runs none of them from then on. If the successor never
//! receives them, no node runs them.
//!
//! A caller's own key is accepted if the endpoint refuses keys that it has seen,
//! or if the configuration accepts the gap that `docs/PROMISES.md` describes.
//!
//! * `issue.rs`, `claim.rs`, `record.rs`, `succeed.rs`: commands.
//! * `query.rs`: queries.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

mod claim;
mod issue;
mod query;
mod record;
mod succeed;

pub use claim::Claim;
pub use claim::Claimant;
pub use succeed::Estate;

/// The prefix of a ticket's text form.
const PREFIX: &str = "wst1-";

/// The maximum number of tickets that an incarnation remembers. Older ones are
/// refused, not run.
pub const MAX_TICKETS: usize = 65_536;

/// The maximum number of callers' own keys that a node remembers.
pub const MAX_PLAIN_KEYS: usize = 65_536;

/// A permission to run one request at most once, issued by one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The incarnation that issued the ticket.
    pub incarnation: id::Incarnation,
    /// The number of the ticket, counted from zero by that incarnation.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}-{:x}", self.incarnation, self.number)
    }
}

/// The error for a text that is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Ticket, ParseTicketError> {
        let rest = text.strip_prefix(PREFIX).ok_or(ParseTicketError)?;
        let (incarnation, number) = rest.split_once('-').ok_or(ParseTicketError)?;
        Ok(Ticket {
            incarnation: incarnation.parse().map_err(|_| ParseTicketError)?,
            number: u64::from_str_radix(number, 16).map_err(|_| ParseTicketError)?,
        })
    }
}

/// A key that a request claims in order to run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Key {
    /// A ticket.
    Ticket(Ticket),
    /// A caller's own key, with the number of its customer.
    Plain(u64, String),
}

/// The state of a claimed key.
#[derive(Debug, Clone)]
struct Entry {
    /// The request that claimed the key.
    request: id::Request,
    /// A hash of the request's content, to tell a repeat from another request.
    fingerprint: u64,
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    /// In progress, with the requests that wait for its answer.
    Running(Vec<id::Request>),
    /// Ended, with an answer of this size recorded.
    Recorded(Size),
    /// Ended, without a recorded answer.
    Ended,
}

/// The tickets of one incarnation.
#[derive(Debug, Default)]
struct Book {
    /// The number of the first ticket remembered.
    first: u64,
    /// The customer of each ticket from `first` on, or `None` once it was used.
    unused: VecDeque<Option<u64>>,
}

/// The tickets and keys that one node is responsible for.
#[derive(Debug)]
pub struct Ledger {
    own: id::Incarnation,
    /// Whether keys can be claimed: false once the tickets were handed over.
    open: bool,
    books: HashMap<id::Incarnation, Book>,
    entries: HashMap<Key, Entry>,
    /// The key of each keyed request in progress.
    running: HashMap<id::Request, Key>,
    /// The customer of each ticket in use, restored if the ticket is released.
    customers: HashMap<Ticket, u64>,
    /// The requests whose recorded answers can be deleted.
    dropped: Vec<id::Request>,
    /// The recorded answers, oldest first.
    answers: VecDeque<(Key, Size)>,
    answers_size: Size,
    answers_limit: Size,
    /// The plain keys in the order in which they were claimed.
    plain: VecDeque<(String, u64)>,
    /// Plain keys created up to this time may have run elsewhere or are forgotten.
    plain_floor: Time,
}

impl Ledger {
    /// Creates an empty ledger for a new incarnation.
    pub fn new(own: id::Incarnation, now: Time, answers_limit: Size) -> Ledger {
        Ledger {
            own,
            open: true,
            books: HashMap::from([(own, Book::default())]),
            entries: HashMap::new(),
            running: HashMap::new(),
            customers: HashMap::new(),
            dropped: Vec::new(),
            answers: VecDeque::new(),
            answers_size: Size(0),
            answers_limit,
            plain: VecDeque::new(),
            plain_floor: now,
        }
    }
}
