//! How what the platform publishes reaches the node. An adapter reads the
//! platform in whatever way that speaks and sends typed updates.

use std::sync::Arc;

use tokio::sync::mpsc;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::endpoint::List;

/// Which of the published documents is spoken of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Document {
    /// The configuration.
    Configuration,
    /// The list of endpoints.
    Endpoints,
}

impl Document {
    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Document::Configuration => "configuration",
            Document::Endpoints => "endpoints",
        }
    }
}

/// What an adapter has to say.
#[derive(Debug, Clone)]
pub enum Update {
    /// A configuration was read.
    Configuration(Arc<Configuration>),
    /// The endpoints were read, whole.
    Endpoints(Arc<List>),
    /// The platform was reached again.
    Reached(Document),
    /// The platform could not be reached or answered with a fault.
    Unreachable(Document, String),
    /// Something that was published could not be understood and is left out.
    Unreadable(Document, String),
}

/// Where an adapter sends its updates.
pub type Sender = mpsc::UnboundedSender<Update>;

/// Where a node takes updates from.
pub type Receiver = mpsc::UnboundedReceiver<Update>;

/// A pair of both ends.
pub fn channel() -> (Sender, Receiver) {
    mpsc::unbounded_channel()
}
