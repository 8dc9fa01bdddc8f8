//! End-to-end tests: the binary runs as separate processes on real sockets, driven
//! by operators, callers and the platform.

mod commands;
mod end;
mod failure;
mod input;
mod path;
mod process;
mod start;
mod stop;
mod support;
