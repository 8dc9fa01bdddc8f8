//! Says from the logs of any number of gateway nodes where requests were lost,
//! and why: by route, by window of time and by endpoint.
//!
//! * [`mod@line`]: one line of a log, decoded.
//! * [`clock`]: hosts' clocks, put side by side.
//! * [`request`]: what became of one request.
//! * [`report`]: sums of all requests.
//! * [`mod@write`]: a report as tables.
//! * [`plot`]: a report as a picture.

pub mod clock;
pub mod line;
pub mod plot;
pub mod report;
pub mod request;
pub mod write;
