//! Starts and ends of gateways, each a process on real sockets.

mod end;
mod start;
mod support;
