//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use woadstage_types::unit::Span;

xflags::xflags! {
    /// Request scheduler for unlike engines.
    cmd woadstage {
        /// Run a node on an entry host until SIGTERM.
        cmd serve {
            /// Settings file of the node.
            required --settings file: PathBuf
        }
        /// Run a gateway, a node that forwards whole requests, until SIGTERM.
        cmd gateway {
            /// Settings file of the node.
            required --settings file: PathBuf
        }
        /// Check settings or a published configuration.
        cmd check {
            /// Settings file of a node.
            optional --settings file: PathBuf
            /// File with a published configuration.
            optional --config file: PathBuf
            /// Settings file of a gateway.
            optional --gateway file: PathBuf
        }
        /// Show what an intent would change and write the document to publish.
        cmd plan {
            /// Operators' address of a node.
            required --node addr: SocketAddr
            /// File with the intent.
            required intent: PathBuf
            /// File to write the document to.
            optional --output file: PathBuf
            /// Print JSON.
            optional --json
        }
        /// Show the state of a node.
        cmd status {
            /// Operators' address of a node.
            required --node addr: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Show the decisions about one request, from a running node or from logs.
        cmd explain {
            /// Operators' address of a node.
            optional --node addr: SocketAddr
            /// Log file of a gateway; repeat the flag for several nodes.
            repeated --logs file: PathBuf
            /// Id of the request.
            required request: String
            /// Print JSON.
            optional --json
        }
        /// Report from the logs of gateways which requests were lost, and why.
        cmd losses {
            /// Log file of a gateway; repeat the flag for several nodes.
            repeated --logs file: PathBuf
            /// Length of a time window, such as 2s.
            optional --window span: Span
            /// Print JSON.
            optional --json
            /// Write a chart (SVG) to this file.
            optional --plot file: PathBuf
        }
        /// Show the table of result codes.
        cmd codes {
            /// Print JSON.
            optional --json
        }
    }
}
