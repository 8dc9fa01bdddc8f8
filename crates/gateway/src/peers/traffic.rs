//! Counts the messages that this node sends to other nodes, by kind.

use std::cell::Cell;

use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Message;

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Statuses within the cell.
    StatusInCell,
    /// Statuses to nodes outside the cell.
    StatusOutsideCell,
    /// Messages about slot leases: requests, replies, reports and checks.
    Lease,
    /// Reservations and releases of quota units.
    Quota,
    /// Findings about requests during which endpoints crashed.
    Findings,
    /// Queue reports and bookings, between owners of slots.
    SharedAdmission,
    /// Which software began streams: statements, questions and answers.
    Bindings,
    /// Configurations and parts of them.
    Configuration,
    /// Sections of endpoint lists.
    Endpoints,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Kind; 9] = [
        Kind::StatusInCell,
        Kind::StatusOutsideCell,
        Kind::Lease,
        Kind::Quota,
        Kind::Findings,
        Kind::SharedAdmission,
        Kind::Bindings,
        Kind::Configuration,
        Kind::Endpoints,
    ];

    /// Returns the label value of the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::StatusInCell => "status-in-cell",
            Kind::StatusOutsideCell => "status-beyond",
            Kind::Lease => "lease",
            Kind::Quota => "quota",
            Kind::Findings => "findings",
            Kind::SharedAdmission => "shared-admission",
            Kind::Bindings => "bindings",
            Kind::Configuration => "configuration",
            Kind::Endpoints => "endpoints",
        }
    }

    /// Returns the kind of a message. Every status is classified as
    /// [`Kind::StatusOutsideCell`].
    pub fn from_message(message: &Message) -> Kind {
        match message {
            Message::Status(_) => Kind::StatusOutsideCell,
            Message::Reserve(_) | Message::Reserved(_) | Message::Release(_) => Kind::Quota,
            Message::Lease(_) | Message::Leased(_) | Message::Report(_) | Message::Check(_) => {
                Kind::Lease
            }
            Message::Findings(_) => Kind::Findings,
            Message::QueueReport(_) | Message::Bookings(_) => Kind::SharedAdmission,
            Message::Bindings(_)
            | Message::DoubtedBindings(_)
            | Message::BindingsKept(_)
            | Message::BindingQuestion(_)
            | Message::BindingReply(_) => Kind::Bindings,
        }
    }

    /// Returns the kind of a frame of a transfer.
    pub fn from_frame(frame: &Frame) -> Kind {
        match frame {
            Frame::Endpoints(_) => Kind::Endpoints,
            Frame::Busy | Frame::Manifest(_) | Frame::Part(_) => Kind::Configuration,
        }
    }
}

/// The messages and bytes sent, without network headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// The number of messages.
    pub messages: u64,
    /// The number of bytes.
    pub bytes: u64,
}

/// Counts of what was sent since the process started.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Cell<Count>; Kind::ALL.len()],
}

impl Traffic {
    /// Counts a message.
    pub fn record(&self, kind: Kind, bytes: usize) {
        let cell = &self.counts[kind as usize];
        let count = cell.get();
        cell.set(Count {
            messages: count.messages + 1,
            bytes: count.bytes + bytes as u64,
        });
    }

    /// Returns the counts of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (Kind, Count)> + '_ {
        let counts = self.counts.iter().map(Cell::get);
        Kind::ALL.into_iter().zip(counts)
    }
}
