//! Acquires what a process needs from its host before it can run: its settings file and its
//! addresses. What another process may finish or release in a moment is waited for. Anything else
//! is an error at once.
//!
//! * [`failure`]: why a process ends although nobody told it to.
//! * [`retry`]: repeats what the host refuses for a moment.
//! * [`settings_file`]: reads a settings file, which may be being written.
//! * [`stop`]: the signals that tell a process to stop.

pub mod failure;
pub mod retry;
pub mod settings_file;
pub mod stop;
