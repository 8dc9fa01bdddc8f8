//! What is counted. Labels are bounded: routes and services come from the
//! configuration, of which at most [`ROUTES_MOST`] are told apart.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use woadstage_dispatch::dispatcher::Evidence;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Verdict;
use woadstage_types::unit::Span;

/// Routes that are told apart; requests of others count as `other`.
pub const ROUTES_MOST: usize = 64;

const SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// What is counted.
pub struct Metrics {
    registry: Registry,
    routes: RefCell<HashSet<String>>,
    answered: HistogramVec,
    first_event: HistogramVec,
    waited: HistogramVec,
    applied: HistogramVec,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    beliefs: IntCounterVec,
    reservations: IntCounterVec,
    leases: IntCounterVec,
    transfers: IntCounterVec,
    suspects: IntCounterVec,
    /// Requests held.
    pub held: IntGauge,
    /// The version of the configuration in force.
    pub configuration: IntGauge,
    /// For how long it has been in force, in milliseconds.
    pub configuration_age: IntGauge,
    /// How long ago the platform last answered this node, in milliseconds; -1 where it
    /// never did.
    pub platform_age: IntGauge,
    /// The revision of the list of endpoints in force.
    pub endpoints: IntGauge,
    /// The platform's era in which that list was read.
    pub era: IntGauge,
    /// Nodes that count, this one among them.
    pub nodes: IntGauge,
    /// Of them, those that are silent.
    pub silent_nodes: IntGauge,
    /// Other nodes that are heard, by the protocol that they speak.
    pub heard: IntGaugeVec,
    /// Messages to other nodes, by kind.
    pub sent_messages: IntGaugeVec,
    /// Their bytes, by kind.
    pub sent_bytes: IntGaugeVec,
    /// Log lines left out.
    pub lines_left_out: IntGauge,
    /// Requests that endpoints ended under since they were last sound, by fingerprint.
    pub suspected: IntGauge,
    /// Of them, those that are not run any more.
    pub barred: IntGauge,
    /// For each service what waits, runs and may be sent again.
    pub services: IntGaugeVec,
}

impl Metrics {
    /// Nothing counted yet.
    ///
    /// # Errors
    /// Only if two names were the same.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
            let made = HistogramVec::new(options, &[label])?;
            registry.register(Box::new(made.clone()))?;
            prometheus::Result::Ok(made)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(made.clone()))?;
            prometheus::Result::Ok(made)
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help)?;
            registry.register(Box::new(made.clone()))?;
            prometheus::Result::Ok(made)
        };
        let services = Opts::new("woadstage_service", "What each service has, by kind.");
        let services = IntGaugeVec::new(services, &["service", "kind"])?;
        registry.register(Box::new(services.clone()))?;
        let by_kind = |name: &str, help: &str| {
            let made = IntGaugeVec::new(Opts::new(name, help), &["kind"])?;
            registry.register(Box::new(made.clone()))?;
            prometheus::Result::Ok(made)
        };
        let sent_messages = by_kind("woadstage_sent_messages", "Messages to other nodes.")?;
        let sent_bytes = by_kind("woadstage_sent_bytes", "Bytes sent to other nodes.")?;
        let heard = Opts::new("woadstage_nodes_heard", "Other nodes heard, by protocol.");
        let heard = IntGaugeVec::new(heard, &["protocol"])?;
        registry.register(Box::new(heard.clone()))?;
        Ok(Metrics {
            answered: histogram(
                "woadstage_answer_seconds",
                "Time to the whole answer.",
                "route",
            )?,
            first_event: histogram(
                "woadstage_first_byte_seconds",
                "Time to the answer's first byte.",
                "route",
            )?,
            waited: histogram(
                "woadstage_queue_seconds",
                "Time until a request was sent.",
                "route",
            )?,
            applied: histogram(
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
            beliefs: counter(
                "woadstage_changes_total",
                "Changes of what the node believes.",
                &["what"],
            )?,
            reservations: counter(
                "woadstage_reservations_total",
                "Questions to owners of quotas, by answer.",
                &["answer"],
            )?,
            leases: counter(
                "woadstage_lease_messages_total",
                "Messages about slots that were sent, by kind.",
                &["kind"],
            )?,
            transfers: counter(
                "woadstage_transfers_total",
                "Transfers of published documents between nodes.",
                &["direction", "end"],
            )?,
            suspects: counter(
                "woadstage_suspect_changes_total",
                "What became known of requests that endpoints ended under, by kind.",
                &["what"],
            )?,
            suspected: gauge(
                "woadstage_suspects",
                "Fingerprints of requests that endpoints ended under.",
            )?,
            barred: gauge(
                "woadstage_barred",
                "Fingerprints of requests that are not run any more.",
            )?,
            held: gauge("woadstage_held", "Requests held.")?,
            configuration: gauge("woadstage_configuration_version", "The version in force.")?,
            configuration_age: gauge(
                "woadstage_configuration_age_milliseconds",
                "For how long the version in force has been.",
            )?,
            platform_age: gauge(
                "woadstage_platform_answer_age_milliseconds",
                "How long ago the platform last answered this node; -1 if it never did.",
            )?,
            endpoints: gauge("woadstage_endpoints_revision", "The revision in force.")?,
            era: gauge(
                "woadstage_endpoints_era",
                "The platform's era in which the list in force was read.",
            )?,
            nodes: gauge("woadstage_nodes", "Nodes that count.")?,
            silent_nodes: gauge("woadstage_silent_nodes", "Nodes that are silent.")?,
            lines_left_out: gauge("woadstage_log_lines_left_out", "Log lines left out.")?,
            services,
            heard,
            sent_messages,
            sent_bytes,
            routes: RefCell::default(),
            registry,
        })
    }

    fn label<'a>(&self, route: &'a str) -> &'a str {
        let mut routes = self.routes.borrow_mut();
        if routes.contains(route) {
            return route;
        }
        if routes.len() >= ROUTES_MOST {
            return "other";
        }
        routes.insert(route.to_owned());
        route
    }

    /// Counts a message about a slot that is sent.
    pub fn lease(&self, message: &Message) {
        let kind = match message {
            Message::Lease(request) if request.spare => "asked-spare",
            Message::Lease(_) => "asked",
            Message::Leased(reply) => match reply.answer {
                Answer::Waiting => "waiting",
                Answer::Granted { .. } => "granted",
                Answer::Refused(_) => "refused",
                Answer::Denied => "denied",
            },
            Message::Report(_) => "report",
            Message::Check(_) => "check",
            _ => return,
        };
        self.leases.with_label_values(&[kind]).inc();
    }

    /// Counts a final answer.
    pub fn answer(&self, route: &str, status: u16, code: &str, after: Span) {
        let route = self.label(route);
        let status = status.to_string();
        self.answers
            .with_label_values(&[route, status.as_str(), code])
            .inc();
        self.answered
            .with_label_values(&[route])
            .observe(after.as_secs_f64());
    }

    /// Counts the first byte of an answer.
    pub fn first(&self, route: &str, after: Span) {
        let route = self.label(route);
        self.first_event
            .with_label_values(&[route])
            .observe(after.as_secs_f64());
    }

    /// Counts a request that was sent after it had waited.
    pub fn sent(&self, route: &str, waited: Span) {
        let route = self.label(route);
        self.waited
            .with_label_values(&[route])
            .observe(waited.as_secs_f64());
    }

    /// Counts a configuration that came into force, so long after the answer to a call
    /// that held it.
    pub fn applied(&self, call: &str, after: Span) {
        self.applied
            .with_label_values(&[call])
            .observe(after.as_secs_f64());
    }

    /// Counts an attempt that ended.
    pub fn attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts what became known of a request that endpoints ended under.
    pub fn suspect(&self, what: Evidence) {
        self.suspects.with_label_values(&[what.as_str()]).inc();
    }

    /// Counts a change of what the node believes.
    pub fn change(&self, what: &str) {
        self.beliefs.with_label_values(&[what]).inc();
    }

    /// Counts a question to the owner of a quota, or none where it was not
    /// answered.
    pub fn reserved(&self, verdict: Option<&Verdict>) {
        let answer = match verdict {
            Some(Verdict::Granted) => "granted",
            Some(Verdict::Denied(_)) => "denied",
            Some(Verdict::Unknown) => "unknown",
            None => "none",
        };
        self.reservations.with_label_values(&[answer]).inc();
    }

    /// Counts a transfer of documents that ended.
    pub fn transfer(&self, direction: &str, whole: bool) {
        let end = if whole { "whole" } else { "broken" };
        self.transfers.with_label_values(&[direction, end]).inc();
    }

    /// All figures, in the text form of Prometheus.
    pub fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail; a figure that cannot be written is
        // left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
