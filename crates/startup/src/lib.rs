//! Acquires what a process needs from its host before it can run.
//!
//! * [`failure`]: why a process ends although nobody told it to.

pub mod failure;
