//! Tests of what a process waits for when it starts.

mod retry;
mod settings_file;
