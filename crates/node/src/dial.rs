//! Opens outgoing connections. The kernel picks their local ports, perhaps one that a node of this
//! host listens at. A listener may take it all the same, now and while the closed connection lingers.

use hyper_util::client::legacy::connect::HttpConnector;

/// Creates a connector for outgoing HTTP connections.
pub fn new_connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_reuse_address(true);
    connector
}
