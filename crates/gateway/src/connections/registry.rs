//! The open connections of one listener, and which of them is closed when they are too many.
//!
//! A connection on which a whole request is in progress, or an answer waits to be written, is not
//! closed for a new one. Of the others, those on which no request was served yet are closed before
//! those of callers who were, and of either the one that has waited longest.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::pace::Pace;

/// The default of [`Limits::requests_ahead_per_s`].
pub const REQUESTS_AHEAD_PER_S: u64 = 512;

/// The limits of one listener's connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections.
    pub open: usize,
    /// The maximum number of connections that have sent something. They have buffers.
    pub active: usize,
    /// The maximum number of connections whose peers do not read what was sent to them.
    pub stalled: usize,
    /// The requests a second, and as many at once, that all peers together may send ahead of the answers
    /// to earlier ones.
    pub requests_ahead_per_s: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            open: 1_024,
            active: 512,
            stalled: 64,
            requests_ahead_per_s: REQUESTS_AHEAD_PER_S,
        }
    }
}

/// How long a peer has to read nothing until its connection may be closed for that.
const MIN_STALL: Span = Span::from_millis(500);

/// How far a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Nothing has arrived on it.
    Silent,
    /// A part of a request's head has arrived.
    Head,
    /// A part of a request's body has yet to arrive.
    Body,
    /// A whole request is in progress, or one whose body is passed on as it arrives.
    Busy,
    /// An answer was sent, and nothing has arrived since.
    Idle,
}

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// There were too many connections.
    TooMany,
    /// The head of a request took too long.
    HeadTimeout,
    /// The peer read nothing of what was sent to it for too long.
    Stalled,
    /// Too many peers read nothing, this one for longest.
    TooManyStalled,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 4] = [
        Reason::TooMany,
        Reason::HeadTimeout,
        Reason::Stalled,
        Reason::TooManyStalled,
    ];

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::TooMany => "too-many",
            Reason::HeadTimeout => "head-timeout",
            Reason::Stalled => "unread",
            Reason::TooManyStalled => "too-many-unread",
        }
    }
}

/// Orders connections by when they last changed their state, or began to stall.
type Turn = u64;

/// What may be closed for a new connection; the least is closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Unserved,
    Served,
}

#[derive(Debug)]
struct Entry {
    state: Cell<State>,
    /// Whether an endpoint has served a request on it.
    is_served: Cell<bool>,
    /// Its place in [`Inner::silent`] or [`Inner::waiting`].
    turn: Cell<Turn>,
    since: Cell<Time>,
    /// Its place in [`Inner::stalled`], while its peer reads nothing, and since when it does not.
    stalled: Cell<Option<(Turn, Time)>>,
    closed: Cell<Option<Reason>>,
    notify: Notify,
}

impl Entry {
    /// Whether it belongs in [`Inner::waiting`].
    fn gives_way(&self) -> bool {
        let is_waiting = matches!(self.state.get(), State::Head | State::Body | State::Idle);
        // An answer that is still being written would be lost.
        is_waiting && self.stalled.get().is_none()
    }

    fn rank(&self) -> Rank {
        match self.is_served.get() {
            true => Rank::Served,
            false => Rank::Unserved,
        }
    }
}

type Order<K> = BTreeMap<K, Rc<Entry>>;

#[derive(Debug, Default)]
struct Inner {
    limits: Limits,
    turns: Turn,
    open: usize,
    active: usize,
    /// Connections on which nothing has arrived.
    silent: Order<Turn>,
    /// Other connections without a request in progress whose peers read what is written to them.
    waiting: Order<(Rank, Turn)>,
    /// Connections whose peers do not read.
    stalled: Order<Turn>,
    closed: BTreeMap<Reason, u64>,
}

impl Inner {
    fn next_turn(&mut self) -> Turn {
        self.turns += 1;
        self.turns
    }

    fn remove(&mut self, entry: &Entry) {
        if entry.state.get() == State::Silent {
            self.silent.remove(&entry.turn.get());
        } else if entry.gives_way() {
            self.waiting.remove(&(entry.rank(), entry.turn.get()));
        }
    }

    fn insert(&mut self, entry: &Rc<Entry>) {
        let turn = self.next_turn();
        entry.turn.set(turn);
        if entry.state.get() == State::Silent {
            self.silent.insert(turn, entry.clone());
        } else if entry.gives_way() {
            self.waiting.insert((entry.rank(), turn), entry.clone());
        }
    }

    fn close(&mut self, entry: &Rc<Entry>, reason: Reason) {
        self.remove(entry);
        self.clear_stall(entry);
        if entry.closed.replace(Some(reason)).is_some() {
            return;
        }
        *self.closed.entry(reason).or_default() += 1;
        self.forget(entry);
        entry.notify.notify_one();
    }

    /// Takes a connection out of the counts. Its descriptor is free soon.
    fn forget(&mut self, entry: &Entry) {
        self.open -= 1;
        if entry.state.get() != State::Silent {
            self.active -= 1;
        }
    }

    fn clear_stall(&mut self, entry: &Entry) {
        if let Some((turn, _)) = entry.stalled.take() {
            self.stalled.remove(&turn);
        }
    }

    /// Closes the connections that have stalled for longest, as far as they are too many. A link that is
    /// full for a moment stalls many.
    fn close_excess_stalled(&mut self, now: Time) {
        while self.stalled.len() > self.limits.stalled {
            let longest = self.stalled.values().next().cloned();
            let is_due = |entry: &Rc<Entry>| {
                let since = entry.stalled.get().map_or(now, |(_, since)| since);
                now.since(since) >= MIN_STALL
            };
            let Some(longest) = longest.filter(is_due) else {
                return;
            };
            self.close(&longest, Reason::TooManyStalled);
        }
    }

    /// Closes a connection that has buffers, if one may be closed. Returns whether it did.
    fn close_active(&mut self) -> bool {
        let Some((_, entry)) = self.waiting.first_key_value() else {
            return false;
        };
        let entry = entry.clone();
        self.close(&entry, Reason::TooMany);
        true
    }

    /// Closes a connection of any kind, if one may be closed. Returns whether it did.
    fn close_any(&mut self) -> bool {
        let Some((_, entry)) = self.silent.first_key_value() else {
            return self.close_active();
        };
        let entry = entry.clone();
        self.close(&entry, Reason::TooMany);
        true
    }
}

/// The open connections of one listener.
#[derive(Debug, Clone)]
pub struct Registry {
    inner: Rc<RefCell<Inner>>,
    /// The pace of requests that are sent ahead.
    ahead: Rc<Pace>,
}

impl Registry {
    /// Creates a registry without connections.
    pub fn new(limits: Limits) -> Registry {
        let per_s = limits.requests_ahead_per_s;
        let inner = Inner {
            limits,
            ..Inner::default()
        };
        Registry {
            inner: Rc::new(RefCell::new(inner)),
            ahead: Rc::new(Pace::new(per_s, per_s)),
        }
    }

    /// Counts a new connection, and closes another one if they are too many now. `None` if there is
    /// none that may be closed.
    pub fn try_open(&self, now: Time) -> Option<Tracker> {
        let mut inner = self.inner.borrow_mut();
        if inner.open >= inner.limits.open && !inner.close_any() {
            *inner.closed.entry(Reason::TooMany).or_default() += 1;
            return None;
        }
        inner.open += 1;
        let entry = Rc::new(Entry {
            state: Cell::new(State::Silent),
            is_served: Cell::new(false),
            turn: Cell::new(0),
            since: Cell::new(now),
            stalled: Cell::new(None),
            closed: Cell::new(None),
            notify: Notify::new(),
        });
        inner.insert(&entry);
        drop(inner);
        Some(Tracker(Rc::new(Tracked {
            registry: self.clone(),
            entry,
        })))
    }

    /// Closes the connections on which a part of a head arrived longer than `timeout` ago, and those on
    /// which too many peers read nothing.
    pub fn close_late(&self, now: Time, timeout: Span) {
        let mut inner = self.inner.borrow_mut();
        inner.close_excess_stalled(now);
        let late = |entry: &&Rc<Entry>| {
            entry.state.get() == State::Head && now.since(entry.since.get()) > timeout
        };
        let late: Vec<Rc<Entry>> = inner.waiting.values().filter(late).cloned().collect();
        for entry in late {
            inner.close(&entry, Reason::HeadTimeout);
        }
    }

    /// Returns how many requests had to wait, since they were sent ahead.
    pub fn delayed(&self) -> u64 {
        self.ahead.delayed()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.inner.borrow().open
    }

    /// Returns the number of open connections on which nothing has arrived.
    pub fn silent(&self) -> usize {
        self.inner.borrow().silent.len()
    }

    /// Returns the number of connections closed so far, by reason.
    pub fn closed(&self, reason: Reason) -> u64 {
        self.inner
            .borrow()
            .closed
            .get(&reason)
            .copied()
            .unwrap_or(0)
    }
}

#[derive(Debug)]
struct Tracked {
    registry: Registry,
    entry: Rc<Entry>,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let mut inner = self.registry.inner.borrow_mut();
        inner.remove(&self.entry);
        inner.clear_stall(&self.entry);
        if self.entry.closed.get().is_none() {
            inner.forget(&self.entry);
        }
    }
}

/// Follows one connection, which counts until all copies are dropped.
#[derive(Debug, Clone)]
pub struct Tracker(Rc<Tracked>);

impl Tracker {
    /// Returns how far the connection is.
    pub fn state(&self) -> State {
        self.0.entry.state.get()
    }

    /// Records that a request begins. Returns how long it has to wait if it was sent ahead of the answer
    /// to the one before.
    pub fn begin_request(&self, now: Time) -> Option<Span> {
        let is_ahead = self.state() == State::Idle;
        self.set_state(now, State::Body);
        let pace = &self.0.registry.ahead;
        is_ahead.then(|| pace.record(now, 1)).flatten()
    }

    /// Records how far the connection is.
    pub fn set_state(&self, now: Time, state: State) {
        let entry = &self.0.entry;
        let before = entry.state.get();
        if before == state || entry.closed.get().is_some() {
            return;
        }
        let mut inner = self.0.registry.inner.borrow_mut();
        inner.remove(entry);
        entry.state.set(state);
        entry.since.set(now);
        inner.insert(entry);
        if before != State::Silent {
            return;
        }
        inner.active += 1;
        if inner.active > inner.limits.active {
            // This one may be closed itself.
            inner.close_active();
        }
    }

    /// Records that an endpoint serves the request in progress.
    pub fn set_served(&self) {
        let entry = &self.0.entry;
        if entry.state.get() == State::Busy {
            entry.is_served.set(true);
        }
    }

    /// Records whether the peer leaves unread what is written to it. If too many do, the one that has
    /// done so for longest is closed, unless all have begun to just now.
    pub fn set_stalled(&self, now: Time, is_stalled: bool) {
        let entry = &self.0.entry;
        if entry.stalled.get().is_some() == is_stalled || entry.closed.get().is_some() {
            return;
        }
        let mut inner = self.0.registry.inner.borrow_mut();
        inner.remove(entry);
        if !is_stalled {
            inner.clear_stall(entry);
            entry.since.set(now);
            inner.insert(entry);
            return;
        }
        let turn = inner.next_turn();
        entry.stalled.set(Some((turn, now)));
        inner.stalled.insert(turn, entry.clone());
        inner.close_excess_stalled(now);
    }

    /// Records that the connection is closed because its peer reads nothing.
    pub fn record_stall_timeout(&self) {
        let mut inner = self.0.registry.inner.borrow_mut();
        inner.close(&self.0.entry, Reason::Stalled);
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) -> Reason {
        loop {
            if let Some(reason) = self.0.entry.closed.get() {
                return reason;
            }
            self.0.entry.notify.notified().await;
        }
    }
}
