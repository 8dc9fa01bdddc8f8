//! Scheduling decisions of a node that forwards whole requests without parsing them: the route
//! of a request, the endpoint that runs it and when, what waits, what is rejected and what may
//! be retried.
//!
//! The crate uses no sockets, no clock and no global randomness. A [`dispatcher::Dispatcher`]
//! takes the time with each command and returns its decisions, so that every failure can be
//! replayed in a test. Every node decides on its own, and learns the load that other nodes
//! create from their [`message::Status`].
//!
//! * [`activation`]: the services that a part of the scheduling policy applies to.
//! * [`binding`]: streams bound to the version of the software that began them.
//! * [`booking`]: places in the queue kept for callers that were refused.
//! * [`configuration`]: routes, services, customers and limits in force.
//! * [`table`]: indexes of the configuration for look-ups.
//! * [`region`]: regions in which requests may run.
//! * [`parts`]: division of a configuration into parts for transfer between nodes.
//! * [`duration`]: estimates of how long whole answers take.
//! * [`endpoint`]: endpoints as published by the platform.
//! * [`edition`]: order of lists of endpoints by recency.
//! * [`restore`]: corrections after the platform is restored from an older copy.
//! * [`section`]: division of a list of endpoints into sections for transfer between nodes.
//! * [`cold`]: limits on the load of endpoints that have just started.
//! * [`worker`]: what was measured of one endpoint.
//! * [`slot_depth`]: requests that an endpoint is given beyond its slots, by the load it states.
//! * [`start`]: whether an endpoint is still the start that the platform lists.
//! * [`stated_load`]: the load that endpoints state in answers.
//! * [`statement`]: what endpoints state in all their answers, passed on between nodes.
//! * [`turnaround`]: the idle time of slots between two requests.
//! * [`prefix_cache`]: which endpoint has which prompt in its cache.
//! * [`fair_share`]: fair queuing among the customers of one rank.
//! * [`first_try`]: callers that have tried before.
//! * [`job`]: one request, from its arrival to its final answer.
//! * [`lease`]: slots that one node grants to another.
//! * [`lateness`]: how late this node is with its own work.
//! * [`leaving`]: endpoints that stated in an answer that they are leaving.
//! * [`rest`]: endpoints that asked to be sent nothing for a while.
//! * [`link`]: this node's own links to endpoints.
//! * [`length`]: estimates of the number of events of a stream.
//! * [`quarantine`]: requests that are not run any more because endpoints ended under them.
//! * [`queue_report`]: how long requests wait at the other owners of a service's slots.
//! * [`queue`]: requests that wait for an endpoint.
//! * [`quota`]: usage limits of customers across all nodes.
//! * [`notice`]: notices that endpoints send in answers.
//! * [`rate_limit`]: the request rates that endpoints state they accept.
//! * [`tolerance`]: endpoints that fail if they have to reject too many requests.
//! * [`budget`]: the retry budget across all nodes.
//! * [`pause`]: pauses of this node, after which it confirms what it knows.
//! * [`map`]: hashed maps whose order is the same in each run.
//! * [`member`]: the other nodes of the fleet.
//! * [`message`]: messages between nodes.
//! * [`protocol`]: versions of the protocol between nodes.
//! * [`wire`]: encoding and decoding of messages.
//! * [`dispatcher`]: the state of one node, with its commands and queries.

pub mod activation;
pub mod binding;
pub mod booking;
pub mod budget;
pub mod cold;
pub mod configuration;
pub mod dispatcher;
pub mod duration;
pub mod edition;
pub mod endpoint;
pub mod fair_share;
pub mod first_try;
pub mod job;
pub mod lateness;
pub mod lease;
pub mod leaving;
pub mod length;
pub mod link;
pub mod map;
pub mod member;
pub mod message;
pub mod notice;
pub mod parts;
pub mod pause;
pub mod prefix_cache;
pub mod protocol;
pub mod quarantine;
pub mod queue;
pub mod queue_report;
pub mod quota;
pub mod rate_limit;
pub mod region;
pub mod rest;
pub mod restore;
pub mod section;
pub mod slot_depth;
pub mod start;
pub mod stated_load;
pub mod statement;
pub mod table;
pub mod tolerance;
pub mod turnaround;
pub mod wire;
pub mod worker;
