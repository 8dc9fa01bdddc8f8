//! What happens in a world, in the order of its time.

use woadstage_core::message::Message;
use woadstage_core::node::Event;
use woadstage_core::pool::Peer;
use woadstage_types::id;

use super::CallId;
use super::World;
use super::serve;

/// A message on its way.
#[derive(Debug, Clone)]
pub(super) struct Mail {
    pub from: Peer,
    pub message: Message,
}

/// Something that happens in a world at a moment.
pub(super) enum Item {
    Event {
        node: usize,
        incarnation: id::Incarnation,
        event: Box<Event>,
    },
    Mail {
        node: usize,
        incarnation: id::Incarnation,
        mail: Box<Mail>,
    },
    Tick {
        node: usize,
        incarnation: id::Incarnation,
    },
    Reach(Box<serve::Reach>),
    Leave {
        endpoint: usize,
        call: CallId,
    },
    Step {
        endpoint: usize,
    },
    Served {
        endpoint: usize,
        call: CallId,
    },
    Script(Box<dyn FnOnce(&mut World)>),
}
