//! Acquires what a process needs from its host before it can run: its addresses. What another process may finish or release in a moment is waited for. Anything else
//! is an error at once.
//!
//! * [`failure`]: why a process ends although nobody told it to.
//! * [`retry`]: repeats what the host refuses for a moment.

pub mod failure;
pub mod retry;
