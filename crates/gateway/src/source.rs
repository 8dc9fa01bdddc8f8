//! The interface between the node and the adapter that reads the platform. The adapter
//! implements the platform's protocol and sends typed updates.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::edition::Edition;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::member::Role;
pub use woadstage_dispatch::message::Document;
use woadstage_dispatch::pause::Generation;

/// The kind of call that returned a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A full read.
    Read,
    /// A long poll for changes.
    Watch,
}

impl Call {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Call::Read => "read",
            Call::Watch => "watch",
        }
    }
}

/// The platform's answer that contained a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The kind of call that it answers.
    pub call: Call,
    /// The platform's revision at which the document was written.
    pub revision: u64,
    /// The platform's revision that the answer states.
    pub answer_revision: u64,
    /// When the answer was complete, by the monotonic clock.
    pub received_at: Instant,
}

/// Why the platform's list of endpoints may be incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The node has just started and knows of no earlier list.
    Started,
    /// Entries may have expired while the platform was away.
    Outage,
    /// The platform was restored from an older copy.
    Restored,
}

impl Cause {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Started => "started",
            Cause::Outage => "outage",
            Cause::Restored => "restored",
        }
    }
}

/// An update from the adapter.
#[derive(Debug, Clone)]
pub enum Update {
    /// The platform answered.
    Answered,
    /// A configuration was read.
    Configuration(Arc<Configuration>, Answer),
    /// The full list of endpoints was read.
    Endpoints(Arc<List>),
    /// The platform's list may lack endpoints that still run, for this long from now on.
    Unsettled {
        /// Why.
        cause: Cause,
        /// How long the platform gave no answer.
        away: Duration,
        /// For how long.
        settles_in: Duration,
    },
    /// The platform is reachable again.
    Reached,
    /// The platform was restored from a copy that lacks data it had acknowledged, and is read
    /// again in full.
    Restored {
        /// The previous era.
        before: Era,
        /// The current era.
        era: Era,
    },
    /// The platform could not be reached or answered with an error; holds the cause.
    Unreachable(String),
    /// A repeated full read returned a change that is older than the revision from which this
    /// node had watched, and that the watch had not reported.
    Missed {
        /// The document that was changed.
        document: Document,
        /// The platform's revision at the change.
        revision: u64,
        /// The revision after which the node had watched for changes.
        waited_after: u64,
    },
    /// A call that began after this inquiry of the node has been answered, and what it returned was sent
    /// before this.
    Confirmed(Generation),
    /// A published entry could not be parsed and is ignored; holds the cause.
    Unreadable(Document, String),
}

/// The sending half of the channel of updates.
pub type Sender = mpsc::UnboundedSender<Update>;

/// A request to confirm what the node knows, with a call that begins now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inquiry {
    /// Identifies the inquiry.
    pub generation: Generation,
    /// The edition of the list of endpoints in force, from whichever source.
    pub endpoints: Edition,
}

/// The adapter's end of the channels.
pub struct Feed {
    /// Asks the adapter to confirm what the node knows.
    pub inquiries: watch::Receiver<Option<Inquiry>>,
    /// Sends updates to the node.
    pub updates: Sender,
    /// The node's role: whether it reads the platform itself or follows other nodes that do.
    pub role: watch::Receiver<Role>,
}

/// The node's end of a [`Feed`].
pub struct Source {
    /// Asks the adapter to confirm what the node knows.
    pub inquiries: watch::Sender<Option<Inquiry>>,
    /// Receives updates from the adapter.
    pub updates: mpsc::UnboundedReceiver<Update>,
    /// Tells the adapter the node's role.
    pub role: watch::Sender<Role>,
}

/// Creates the connected ends. The role is [`Role::Follower`] at first.
pub fn channel() -> (Feed, Source) {
    connect(watch::Sender::new(Role::Follower), watch::Sender::new(None))
}

/// Creates the connected ends of another adapter for a node that has told one its role and
/// inquiries. The last inquiry is asked again, since it may not have been answered.
pub fn connect(
    role: watch::Sender<Role>,
    inquiries: watch::Sender<Option<Inquiry>>,
) -> (Feed, Source) {
    let (sender, updates) = mpsc::unbounded_channel();
    let mut asked = inquiries.subscribe();
    asked.mark_changed();
    let feed = Feed {
        inquiries: asked,
        updates: sender,
        role: role.subscribe(),
    };
    let source = Source {
        inquiries,
        updates,
        role,
    };
    (feed, source)
}
