//! The memory for request bodies. It is shared by all requests, and a body takes it as it arrives.
//!
//! If it runs short, the body that has held most of it for longest gives way while it arrives: its
//! request has not been sent anywhere yet. A part of the memory is left for short bodies, so that they
//! are not refused beside long ones.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::sync::Notify;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

/// The longest body that may use the part that is left for short ones.
const MAX_SHORT: Size = Size::from_kib(16);

/// Of four parts of the memory, those that long bodies may use.
const LONG_QUARTERS: u64 = 3;

/// The least that a body takes.
const MIN_RESERVED: Size = Size::from_kib(1);

/// The time for which a body may arrive before its age counts.
const GRACE_US: u64 = 50_000;

/// A body that arrives.
#[derive(Debug)]
struct Arriving {
    began: Time,
    buffer: RefCell<BytesMut>,
    reserved: Cell<u64>,
    has_given_way: Cell<bool>,
    notify: Notify,
}

impl Arriving {
    /// How much memory the body has held for how long.
    fn weight(&self, now: Time) -> u128 {
        let age = now.since(self.began).0 + GRACE_US;
        u128::from(self.reserved.get()) * u128::from(age)
    }
}

#[derive(Debug, Default)]
struct Inner {
    total: u64,
    used: Cell<u64>,
    next: Cell<u64>,
    arriving: RefCell<BTreeMap<u64, Rc<Arriving>>>,
    gave_way: Cell<u64>,
}

/// The memory for bodies.
#[derive(Debug, Clone)]
pub struct BodyMemory(Rc<Inner>);

impl BodyMemory {
    /// Creates a memory of this size.
    pub fn new(total: Size) -> BodyMemory {
        BodyMemory(Rc::new(Inner {
            total: total.0,
            ..Inner::default()
        }))
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Size {
        Size(self.0.used.get())
    }

    /// Returns how many bodies gave way so far.
    pub fn gave_way(&self) -> u64 {
        self.0.gave_way.get()
    }

    /// Begins to read a body.
    pub fn begin(&self, now: Time) -> Reading {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let body = Rc::new(Arriving {
            began: now,
            buffer: RefCell::default(),
            reserved: Cell::new(0),
            has_given_way: Cell::new(false),
            notify: Notify::new(),
        });
        self.0.arriving.borrow_mut().insert(number, body.clone());
        Reading {
            memory: self.clone(),
            number,
            body,
        }
    }

    /// Reserves memory that stays until the result is dropped.
    ///
    /// # Errors
    /// Returns [`Code::NodeBusy`] if too little is left.
    pub fn reserve(&self, now: Time, size: Size) -> Result<Reservation, Code> {
        let reading = self.begin(now);
        reading.grow(now, size.0)?;
        Ok(reading.finish().1)
    }

    /// Returns the body with the greatest weight.
    fn heaviest_opt(&self, now: Time) -> Option<Rc<Arriving>> {
        let arriving = self.0.arriving.borrow();
        arriving
            .values()
            .max_by_key(|body| body.weight(now))
            .cloned()
    }

    fn release(&self, bytes: u64) {
        self.0.used.set(self.0.used.get() - bytes);
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct Reading {
    memory: BodyMemory,
    number: u64,
    body: Rc<Arriving>,
}

impl Reading {
    /// Appends bytes that arrived.
    ///
    /// # Errors
    /// Returns [`Code::NodeBusy`] if the body has to give way.
    pub fn append(&self, now: Time, bytes: &[u8], max: u64) -> Result<(), Code> {
        if self.body.has_given_way.get() {
            return Err(Code::NodeBusy);
        }
        let needed = (self.arrived() + bytes.len()) as u64;
        if needed > self.body.reserved.get() {
            let doubled = (self.body.reserved.get() * 2).min(max);
            let reserved = needed.max(doubled).max(MIN_RESERVED.0);
            self.grow(now, reserved)?;
            let mut grown = BytesMut::with_capacity(reserved as usize);
            let mut buffer = self.body.buffer.borrow_mut();
            grown.extend_from_slice(&buffer);
            *buffer = grown;
        }
        self.body.buffer.borrow_mut().extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the number of bytes that have arrived.
    pub fn arrived(&self) -> usize {
        self.body.buffer.borrow().len()
    }

    /// Waits until the body has to give way.
    pub async fn gives_way(&self) {
        while !self.body.has_given_way.get() {
            self.body.notify.notified().await;
        }
    }

    /// Returns the bytes and the memory that they take. They don't give way any more.
    pub fn finish(self) -> (BytesMut, Reservation) {
        let reservation = Reservation {
            memory: self.memory.clone(),
            bytes: self.body.reserved.take(),
        };
        (self.body.buffer.take(), reservation)
    }

    fn grow(&self, now: Time, reserved: u64) -> Result<(), Code> {
        let inner = &self.memory.0;
        let limit = match reserved <= MAX_SHORT.0 {
            true => inner.total,
            false => inner.total / 4 * LONG_QUARTERS,
        };
        let before = self.body.reserved.replace(reserved);
        inner.used.set(inner.used.get() + reserved - before);
        while inner.used.get() > limit && !self.body.has_given_way.get() {
            let heaviest = self.memory.heaviest_opt(now);
            let Some(heaviest) = heaviest.filter(|body| body.reserved.get() > 0) else {
                break;
            };
            self.memory.release(heaviest.reserved.take());
            heaviest.buffer.take();
            heaviest.has_given_way.set(true);
            heaviest.notify.notify_one();
            inner.gave_way.set(inner.gave_way.get() + 1);
        }
        match self.body.has_given_way.get() {
            true => Err(Code::NodeBusy),
            false => Ok(()),
        }
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.memory.0.arriving.borrow_mut().remove(&self.number);
        self.memory.release(self.body.reserved.take());
    }
}

/// Memory of a body that has arrived, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}
