//! How what the platform publishes reaches the node. An adapter reads the
//! platform in whatever way that speaks and sends typed updates.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::member::Role;
pub use woadstage_dispatch::message::Document;

/// By which call an adapter came to a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A read of everything.
    Read,
    /// A wait for changes.
    Watch,
}

impl Call {
    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Call::Read => "read",
            Call::Watch => "watch",
        }
    }
}

/// The answer of the platform that held a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// To which call.
    pub call: Call,
    /// The platform's revision at which the document was written.
    pub revision: u64,
    /// The platform's revision as the answer says it.
    pub answer_revision: u64,
    /// When the answer was whole, by the steady clock.
    pub received_at: Instant,
}

/// What an adapter has to say.
#[derive(Debug, Clone)]
pub enum Update {
    /// The platform answered.
    Answered,
    /// A configuration was read.
    Configuration(Arc<Configuration>, Answer),
    /// The endpoints were read, whole.
    Endpoints(Arc<List>),
    /// The platform was reached again.
    Reached,
    /// The platform came back with an older copy of what it had acknowledged, and is
    /// read anew.
    Restored {
        /// The era before.
        before: Era,
        /// The era now.
        era: Era,
    },
    /// The platform could not be reached or answered with a fault.
    Unreachable(String),
    /// A read anew brought a change that lies before what this node had waited for, and
    /// that it did not have.
    Missed {
        /// Of which document.
        document: Document,
        /// The platform's revision of the change.
        revision: u64,
        /// The revision after which the node had waited for changes.
        waited_after: u64,
    },
    /// Something that was published could not be understood and is left out.
    Unreadable(Document, String),
}

/// Where an adapter sends its updates.
pub type Sender = mpsc::UnboundedSender<Update>;

/// What an adapter is given.
pub struct Feed {
    /// Where it sends its updates.
    pub updates: Sender,
    /// Whether it is to read now; others may read for this node.
    pub role: watch::Receiver<Role>,
}

/// The node's end of a [`Feed`].
pub struct Source {
    /// Where updates come from.
    pub updates: mpsc::UnboundedReceiver<Update>,
    /// Tells the adapter whether to read.
    pub role: watch::Sender<Role>,
}

/// A pair of both ends.
pub fn channel() -> (Feed, Source) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (tell, told) = watch::channel(Role::Follower);
    let feed = Feed {
        updates: sender,
        role: told,
    };
    let source = Source {
        updates: receiver,
        role: tell,
    };
    (feed, source)
}
