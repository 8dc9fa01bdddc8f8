//! The arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use woadstage_types::id::Request;

xflags::xflags! {
    /// Request scheduler for unlike engines.
    cmd woadstage {
        /// Run a node on an entry host until SIGTERM.
        cmd serve {
            /// The node's settings.
            required --settings file: PathBuf
        }
        /// Run a node that forwards whole requests, until SIGTERM.
        cmd gateway {
            /// The node's settings.
            required --settings file: PathBuf
        }
        /// Check settings or a published configuration.
        cmd check {
            /// A node's settings.
            optional --settings file: PathBuf
            /// A published configuration.
            optional --config file: PathBuf
        }
        /// Show what an intent would change and write the document to publish.
        cmd plan {
            /// The operators' address of a node.
            required --node addr: SocketAddr
            /// The file with the intent.
            required intent: PathBuf
            /// Where the document goes.
            optional --output file: PathBuf
            /// Print JSON.
            optional --json
        }
        /// Show what a node knows and holds.
        cmd status {
            /// The operators' address of a node.
            required --node addr: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Show what was decided for one request.
        cmd explain {
            /// The operators' address of a node.
            required --node addr: SocketAddr
            /// The request's id.
            required request: Request
            /// Print JSON.
            optional --json
        }
        /// Show the table of result codes.
        cmd codes {
            /// Print JSON.
            optional --json
        }
    }
}
