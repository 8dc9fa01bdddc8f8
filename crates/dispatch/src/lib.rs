//! Decisions of a node that forwards whole requests unread: which route a
//! request takes, which endpoint runs it and when, what waits, what is refused
//! and what may be sent again.
//!
//! No sockets, no clock, no global randomness: a [`dispatcher::Dispatcher`]
//! takes the time with each command and gives its decisions back, so that every
//! failure can be replayed in a test. Every node decides on its own; what the
//! others run reaches it by their [`message::Status`].
//!
//! * [`configuration`]: routes, services, customers and limits in force.
//! * [`table`]: the configuration arranged for look-ups.
//! * [`region`]: in which regions requests may run.
//! * [`parts`]: a configuration in parts, for passing it on.
//! * [`duration`]: how long whole answers take.
//! * [`endpoint`]: what the platform says of endpoints.
//! * [`edition`]: how new a list of endpoints is.
//! * [`restore`]: what is kept of lists when the platform comes back with an older copy.
//! * [`section`]: a list of endpoints in sections, for passing it on.
//! * [`cold`]: endpoints that bear little, as they have just started.
//! * [`worker`]: what was learnt of one endpoint.
//! * [`turnaround`]: how long slots stand idle between two requests.
//! * [`prefix_cache`]: which endpoint has read which prompt.
//! * [`first_try`]: who has tried before.
//! * [`job`]: one request, from arrival to its final answer.
//! * [`lease`]: slots that one node gives another.
//! * [`leaving`]: endpoints that said in an answer that they leave.
//! * [`rest`]: endpoints that asked for rest.
//! * [`length`]: how many events a stream has.
//! * [`quarantine`]: requests that are not run any more, as endpoints ended under them.
//! * [`queue`]: what waits for an endpoint.
//! * [`quota`]: what customers may use, over all nodes.
//! * [`notice`]: what endpoints say of themselves in answers.
//! * [`rate_limit`]: how many requests a second endpoints say they take.
//! * [`budget`]: what may be sent again, over all nodes.
//! * [`member`]: which other nodes there are.
//! * [`message`]: what nodes tell each other.
//! * [`protocol`]: which protocol a build speaks.
//! * [`wire`]: how messages are written and read.
//! * [`dispatcher`]: one node's whole state, with its commands and queries.

pub mod budget;
pub mod cold;
pub mod configuration;
pub mod dispatcher;
pub mod duration;
pub mod edition;
pub mod endpoint;
pub mod first_try;
pub mod job;
pub mod lease;
pub mod leaving;
pub mod length;
pub mod member;
pub mod message;
pub mod notice;
pub mod parts;
pub mod prefix_cache;
pub mod protocol;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod region;
pub mod rest;
pub mod restore;
pub mod section;
pub mod table;
pub mod turnaround;
pub mod wire;
pub mod worker;
