//! Counts what is in progress, also where the task that does it panics.

use std::cell::Cell;

/// Counts something for as long as it exists.
pub struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    /// Adds one to a count until this is dropped.
    pub fn new(count: &'a Cell<usize>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
