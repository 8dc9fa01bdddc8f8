//! Finds lost requests and their causes in the logs of any number of gateway
//! nodes, grouped by route, time window and endpoint.
//!
//! * [`mod@line`]: parses log lines.
//! * [`clock`]: aligns the clocks of hosts.
//! * [`request`]: the outcome of one request and its cause.
//! * [`report`]: aggregates all requests.
//! * [`mod@write`]: prints a report as tables or JSON.
//! * [`plot`]: draws a report as an SVG chart.

pub mod clock;
pub mod line;
pub mod plot;
pub mod report;
pub mod request;
pub mod write;
