//! What a node sends to others, by kind.

use std::cell::Cell;

use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Message;

/// What is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Statuses within the cell.
    StatusInCell,
    /// Statuses to all other nodes.
    StatusBeyond,
    /// Slots.
    Lease,
    /// Units of quotas.
    Quota,
    /// Requests under which endpoints ended.
    Findings,
    /// Configurations and parts of them.
    Configuration,
    /// Sections of lists of endpoints.
    Endpoints,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 7] = [
        Kind::StatusInCell,
        Kind::StatusBeyond,
        Kind::Lease,
        Kind::Quota,
        Kind::Findings,
        Kind::Configuration,
        Kind::Endpoints,
    ];

    /// The word for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::StatusInCell => "status-in-cell",
            Kind::StatusBeyond => "status-beyond",
            Kind::Lease => "lease",
            Kind::Quota => "quota",
            Kind::Findings => "findings",
            Kind::Configuration => "configuration",
            Kind::Endpoints => "endpoints",
        }
    }

    /// The kind of a message; a status counts as one beyond the cell.
    pub fn of(message: &Message) -> Kind {
        match message {
            Message::Status(_) => Kind::StatusBeyond,
            Message::Reserve(_) | Message::Reserved(_) | Message::Release(_) => Kind::Quota,
            Message::Lease(_) | Message::Leased(_) | Message::Report(_) | Message::Check(_) => {
                Kind::Lease
            }
            Message::Findings(_) => Kind::Findings,
        }
    }

    /// The kind of a piece of a document.
    pub fn of_frame(frame: &Frame) -> Kind {
        match frame {
            Frame::Endpoints(_) => Kind::Endpoints,
            Frame::Busy | Frame::Manifest(_) | Frame::Part(_) => Kind::Configuration,
        }
    }
}

/// Messages and bytes that were sent, without the headers of the network.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

/// All that was sent since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Cell<Count>; Kind::ALL.len()],
}

impl Traffic {
    /// Counts a message.
    pub fn note(&self, kind: Kind, bytes: usize) {
        let cell = &self.counts[kind as usize];
        let count = cell.get();
        cell.set(Count {
            messages: count.messages + 1,
            bytes: count.bytes + bytes as u64,
        });
    }

    /// What was sent of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (Kind, Count)> + '_ {
        let counts = self.counts.iter().map(Cell::get);
        Kind::ALL.into_iter().zip(counts)
    }
}
