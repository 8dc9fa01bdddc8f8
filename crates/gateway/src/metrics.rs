//! Metrics of a node. Label values are bounded: routes and services come from the
//! configuration, and at most [`MAX_ROUTES`] routes are distinguished.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use woadstage_dispatch::booking::Start;
use woadstage_dispatch::dispatcher::Evidence;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Verdict;
use woadstage_types::unit::Span;

/// The maximum number of routes that get a label of their own; all others share the label
/// `other`.
pub const MAX_ROUTES: usize = 64;

const BUCKETS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Bookings are claimed from 0.1 s before to 0.5 s after they are due.
const BOOKING_ERROR_BUCKETS_SECONDS: &[f64] =
    &[-0.1, -0.05, 0.0, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5];

/// The metrics of a node.
pub struct Metrics {
    registry: Registry,
    routes: RefCell<HashSet<String>>,
    answer_time: HistogramVec,
    first_byte_time: HistogramVec,
    queue_time: HistogramVec,
    apply_time: HistogramVec,
    booking_error: Histogram,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    forwards: IntCounterVec,
    take_ups: IntCounterVec,
    invalid_fields: IntCounterVec,
    state_changes: IntCounterVec,
    reservations: IntCounterVec,
    lease_messages: IntCounterVec,
    transfers: IntCounterVec,
    suspect_changes: IntCounterVec,
    /// The number of requests held.
    pub held_requests: IntGauge,
    /// The number of requests in progress that other nodes forwarded to this one.
    pub forwarded_requests: IntGauge,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// How long that configuration has been in force, in milliseconds.
    pub configuration_age: IntGauge,
    /// The time since the platform last answered this node, in milliseconds; -1 if it never
    /// did.
    pub platform_answer_age: IntGauge,
    /// The revision of the list of endpoints in force.
    pub endpoints_revision: IntGauge,
    /// How long that list has been in force, in milliseconds.
    pub endpoints_age: IntGauge,
    /// The number of endpoints in force that the platform's list lacks.
    pub endpoints_kept: IntGauge,
    /// The platform's era in which that list was read.
    pub endpoints_era: IntGauge,
    /// The number of nodes that share fleet-wide limits, including this one.
    pub nodes: IntGauge,
    /// The number of these nodes that are silent.
    pub silent_nodes: IntGauge,
    /// The number of other nodes heard, by protocol.
    pub peers_by_protocol: IntGaugeVec,
    /// The number of messages sent to other nodes, by kind.
    pub sent_messages: IntGaugeVec,
    /// The number of bytes sent to other nodes, by kind.
    pub sent_bytes: IntGaugeVec,
    /// By how many milliseconds the node's timers fire late.
    pub delay: IntGauge,
    /// The number of new connections declined because the node was late.
    pub declined_connections: IntGauge,
    /// The number of connections that others opened to this node, by listener.
    pub connections: IntGaugeVec,
    /// The number of such connections that this node closed, by listener and reason.
    pub closed_connections: IntGaugeVec,
    /// How often something that a peer asked for was delayed, by what it was.
    pub delayed: IntGaugeVec,
    /// The memory that request bodies take, in bytes.
    pub body_memory: IntGauge,
    /// The number of bodies that gave way to others while they arrived.
    pub bodies_cut: IntGauge,
    /// The number of log lines dropped.
    pub dropped_log_lines: IntGauge,
    /// The number of features of requests during which endpoints crashed since they were last
    /// cleared.
    pub suspects: IntGauge,
    /// The number of whole requests, by fingerprint, that are barred.
    pub barred_requests: IntGauge,
    /// The number of parts of prompts that are barred.
    pub barred_parts: IntGauge,
    /// The counts of each service, such as waiting and running requests, usable endpoints and
    /// remaining retries, by kind.
    pub services: IntGaugeVec,
    /// The listed endpoints of each service by the version of their software.
    pub endpoints_by_software: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics, starting from zero.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
            let metric = HistogramVec::new(options, &[label])?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let booking_error = HistogramOpts::new(
            "woadstage_booking_error_seconds",
            "Time from when a booking was due until its request started.",
        );
        let booking_error = booking_error.buckets(BOOKING_ERROR_BUCKETS_SECONDS.to_vec());
        let booking_error = Histogram::with_opts(booking_error)?;
        registry.register(Box::new(booking_error.clone()))?;
        let services = Opts::new("woadstage_service", "What each service has, by kind.");
        let services = IntGaugeVec::new(services, &["service", "kind"])?;
        registry.register(Box::new(services.clone()))?;
        let endpoints_by_software = Opts::new(
            "woadstage_endpoints",
            "Listed endpoints by the version of their software.",
        );
        let endpoints_by_software =
            IntGaugeVec::new(endpoints_by_software, &["service", "software"])?;
        registry.register(Box::new(endpoints_by_software.clone()))?;
        let by_kind = |name: &str, help: &str| {
            let metric = IntGaugeVec::new(Opts::new(name, help), &["kind"])?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let sent_messages = by_kind("woadstage_sent_messages", "Messages to other nodes.")?;
        let sent_bytes = by_kind("woadstage_sent_bytes", "Bytes sent to other nodes.")?;
        let peers_by_protocol =
            Opts::new("woadstage_nodes_heard", "Other nodes heard, by protocol.");
        let peers_by_protocol = IntGaugeVec::new(peers_by_protocol, &["protocol"])?;
        registry.register(Box::new(peers_by_protocol.clone()))?;
        let connections = Opts::new(
            "woadstage_connections",
            "Open connections that others opened to this node, by listener.",
        );
        let connections = IntGaugeVec::new(connections, &["listener"])?;
        registry.register(Box::new(connections.clone()))?;
        let closed_connections = Opts::new(
            "woadstage_connections_closed",
            "Connections that others opened to this node and that it closed.",
        );
        let closed_connections = IntGaugeVec::new(closed_connections, &["listener", "reason"])?;
        registry.register(Box::new(closed_connections.clone()))?;
        let delayed = Opts::new(
            "woadstage_delayed",
            "How often small pieces of bodies and requests sent ahead were delayed.",
        );
        let delayed = IntGaugeVec::new(delayed, &["what"])?;
        registry.register(Box::new(delayed.clone()))?;
        Ok(Metrics {
            answer_time: histogram(
                "woadstage_answer_seconds",
                "Time to the whole answer.",
                "route",
            )?,
            first_byte_time: histogram(
                "woadstage_first_byte_seconds",
                "Time to the answer's first byte.",
                "route",
            )?,
            queue_time: histogram(
                "woadstage_queue_seconds",
                "Time until a request was sent.",
                "route",
            )?,
            apply_time: histogram(
                "woadstage_configuration_apply_seconds",
                "Time from the platform's answer until its configuration is in force, by call.",
                "call",
            )?,
            answers: counter(
                "woadstage_answers_total",
                "Final answers.",
                &["route", "status", "code"],
            )?,
            attempts: counter(
                "woadstage_attempts_total",
                "Attempts by how they ended.",
                &["service", "end"],
            )?,
            forwards: counter(
                "woadstage_forwards_total",
                "Requests forwarded to other nodes, by how they ended.",
                &["service", "end"],
            )?,
            take_ups: counter(
                "woadstage_take_ups_total",
                "Requests that take a stream up, by how the software that began it was found out.",
                &["service", "source"],
            )?,
            invalid_fields: counter(
                "woadstage_invalid_fields_total",
                "Header fields of answers that could not be parsed and were ignored.",
                &["field"],
            )?,
            state_changes: counter(
                "woadstage_changes_total",
                "Changes of what the node believes.",
                &["what"],
            )?,
            reservations: counter(
                "woadstage_reservations_total",
                "Questions to owners of quotas, by answer.",
                &["answer"],
            )?,
            lease_messages: counter(
                "woadstage_lease_messages_total",
                "Messages about slots that were sent, by kind.",
                &["kind"],
            )?,
            transfers: counter(
                "woadstage_transfers_total",
                "Transfers of published documents between nodes.",
                &["direction", "end"],
            )?,
            suspect_changes: counter(
                "woadstage_suspect_changes_total",
                "What became known of requests that endpoints ended under, by kind.",
                &["what"],
            )?,
            suspects: gauge(
                "woadstage_suspects",
                "Fingerprints of requests, and parts of prompts, that endpoints ended under.",
            )?,
            barred_requests: gauge(
                "woadstage_barred",
                "Fingerprints of requests that are not run any more.",
            )?,
            barred_parts: gauge(
                "woadstage_barred_parts",
                "Parts of prompts that are not run any more.",
            )?,
            held_requests: gauge("woadstage_held", "Requests held.")?,
            forwarded_requests: gauge(
                "woadstage_forwarded_here",
                "Requests in progress that other nodes forwarded to this one.",
            )?,
            configuration_version: gauge(
                "woadstage_configuration_version",
                "The version in force.",
            )?,
            configuration_age: gauge(
                "woadstage_configuration_age_milliseconds",
                "For how long the version in force has been.",
            )?,
            platform_answer_age: gauge(
                "woadstage_platform_answer_age_milliseconds",
                "How long ago the platform last answered this node; -1 if it never did.",
            )?,
            endpoints_revision: gauge("woadstage_endpoints_revision", "The revision in force.")?,
            endpoints_age: gauge(
                "woadstage_endpoints_age_milliseconds",
                "For how long the list of endpoints in force has been.",
            )?,
            endpoints_kept: gauge(
                "woadstage_endpoints_kept",
                "Endpoints in force that the platform's list lacks, since it may be incomplete.",
            )?,
            endpoints_era: gauge(
                "woadstage_endpoints_era",
                "The platform's era in which the list in force was read.",
            )?,
            nodes: gauge("woadstage_nodes", "Nodes that count.")?,
            silent_nodes: gauge("woadstage_silent_nodes", "Nodes that are silent.")?,
            delay: gauge(
                "woadstage_delay_ms",
                "By how many milliseconds the node's timers fire late.",
            )?,
            declined_connections: gauge(
                "woadstage_declined_connections",
                "New connections declined because the node was late.",
            )?,
            dropped_log_lines: gauge("woadstage_log_lines_left_out", "Log lines left out.")?,
            booking_error,
            services,
            endpoints_by_software,
            peers_by_protocol,
            sent_messages,
            sent_bytes,
            connections,
            closed_connections,
            delayed,
            body_memory: gauge("woadstage_body_memory_bytes", "Memory taken by bodies.")?,
            bodies_cut: gauge(
                "woadstage_bodies_cut",
                "Bodies that gave way to others while they arrived.",
            )?,
            routes: RefCell::default(),
            registry,
        })
    }

    fn route_label<'a>(&self, route: &'a str) -> &'a str {
        let mut routes = self.routes.borrow_mut();
        if routes.contains(route) {
            return route;
        }
        if routes.len() >= MAX_ROUTES {
            return "other";
        }
        routes.insert(route.to_owned());
        route
    }

    /// Counts a lease message that is sent.
    pub fn record_lease_message(&self, message: &Message) {
        let kind = match message {
            Message::Lease(request) if request.spare => "asked-spare",
            Message::Lease(_) => "asked",
            Message::Leased(reply) => match reply.answer {
                Answer::Waiting => "waiting",
                Answer::Granted { .. } => "granted",
                Answer::Refused(_) => "refused",
                Answer::Denied => "denied",
                Answer::Redirected { .. } => "redirected",
            },
            Message::Report(_) => "report",
            Message::Check(_) => "check",
            _ => return,
        };
        self.lease_messages.with_label_values(&[kind]).inc();
    }

    /// Records a final answer and the time until it was complete.
    pub fn record_answer(&self, route: &str, status: u16, code: &str, after: Span) {
        let route = self.route_label(route);
        let status = status.to_string();
        self.answers
            .with_label_values(&[route, status.as_str(), code])
            .inc();
        self.answer_time
            .with_label_values(&[route])
            .observe(after.as_secs_f64());
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, route: &str, after: Span) {
        let route = self.route_label(route);
        self.first_byte_time
            .with_label_values(&[route])
            .observe(after.as_secs_f64());
    }

    /// Records how long a request waited before it was sent.
    pub fn record_queue_time(&self, route: &str, waited: Span) {
        let route = self.route_label(route);
        self.queue_time
            .with_label_values(&[route])
            .observe(waited.as_secs_f64());
    }

    /// Records the time from the platform's response to `call` until the configuration in
    /// it was in force.
    pub fn record_configuration_applied(&self, call: &str, after: Span) {
        self.apply_time
            .with_label_values(&[call])
            .observe(after.as_secs_f64());
    }

    /// Records the start of a request whose caller had a booking.
    pub fn record_booked_start(&self, start: Start) {
        self.booking_error.observe(start.error_seconds());
    }

    /// Counts an attempt that ended.
    pub fn record_attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a request that was forwarded to another node and has returned.
    pub fn record_forward(&self, service: &str, end: &str) {
        self.forwards.with_label_values(&[service, end]).inc();
    }

    /// Counts a request that takes a stream up, by how the software that began it was found out.
    pub fn record_take_up(&self, service: &str, source: &str) {
        self.take_ups.with_label_values(&[service, source]).inc();
    }

    /// Counts a header field of an answer that could not be parsed.
    pub fn record_invalid_field(&self, field: &str) {
        self.invalid_fields.with_label_values(&[field]).inc();
    }

    /// Counts a change in the record of a request during which endpoints crashed.
    pub fn record_suspect_change(&self, what: Evidence) {
        self.suspect_changes
            .with_label_values(&[what.as_str()])
            .inc();
    }

    /// Counts a change in the node's knowledge.
    pub fn record_state_change(&self, what: &str) {
        self.state_changes.with_label_values(&[what]).inc();
    }

    /// Counts a request to the owner of a quota; `verdict` is none if the owner did not
    /// answer.
    pub fn record_reservation(&self, verdict: Option<&Verdict>) {
        let answer = match verdict {
            Some(Verdict::Granted) => "granted",
            Some(Verdict::Denied(_)) => "denied",
            Some(Verdict::Unknown) => "unknown",
            None => "none",
        };
        self.reservations.with_label_values(&[answer]).inc();
    }

    /// Counts a transfer of documents that ended.
    pub fn record_transfer(&self, direction: &str, whole: bool) {
        let end = if whole { "whole" } else { "broken" };
        self.transfers.with_label_values(&[direction, end]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail; a metric that cannot be encoded is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
