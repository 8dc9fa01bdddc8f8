//! The arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use woadstage_types::unit::Span;

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
            /// A gateway's settings.
            optional --gateway file: PathBuf
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
        /// Show what was decided for one request, by a running node or by logs.
        cmd explain {
            /// The operators' address of a node.
            optional --node addr: SocketAddr
            /// A gateway's log; may be given for each of several nodes.
            repeated --logs file: PathBuf
            /// The request's id.
            required request: String
            /// Print JSON.
            optional --json
        }
        /// Say from gateways' logs which requests were lost, and why.
        cmd losses {
            /// A gateway's log; may be given for each of several nodes.
            repeated --logs file: PathBuf
            /// The length of a window of time, such as 2s.
            optional --window span: Span
            /// Print JSON.
            optional --json
            /// Draw a picture (SVG) into this file.
            optional --plot file: PathBuf
        }
        /// Show the table of result codes.
        cmd codes {
            /// Print JSON.
            optional --json
        }
    }
}
