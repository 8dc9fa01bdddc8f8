//! Tests of reading bodies and of their ends.

mod collect;
mod ending;
mod events;
mod framing;
