//! Tests of the decisions, without sockets or clocks.

mod budget;
mod cold;
mod duration;
mod evacuate;
mod first_try;
mod fleet;
mod lease;
mod members;
mod order;
mod outcomes;
mod parts;
mod predict;
mod publish;
mod quarantine;
mod quota;
mod quota_fleet;
mod retry;
mod section;
mod share;
mod support;
mod suspect;
mod table;
mod turnaround;
mod warm;
mod worker;
