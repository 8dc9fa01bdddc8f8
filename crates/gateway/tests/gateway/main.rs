//! Tests of the gateway over real sockets, with scripted endpoints.

mod answers;
mod attempts;
mod callers;
mod catch_up;
mod crash;
mod crash_part;
mod ending;
mod explain;
mod fingerprint;
mod hop;
mod keep;
mod links;
mod log;
mod notice;
mod peers;
mod rate_limit;
mod requests;
mod reserved;
mod settings;
mod software;
mod stop;
mod streams;
mod support;
mod suspend;
mod tolerance;
mod unmatched;
