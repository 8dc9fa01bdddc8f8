//! Losses told from hand-written logs whose answer is known.

mod causes;
mod logs;
mod support;
