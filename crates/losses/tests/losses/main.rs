//! Tests of loss reports on hand-written logs with known results.

mod causes;
mod logs;
mod support;
