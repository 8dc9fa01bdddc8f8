//! The node's metrics. Label values are bounded: classes and tiers come from
//! the configuration, and only the customers with the most requests are shown.

use std::collections::HashMap;
use std::sync::Mutex;

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use woadstage_core::node::Ended;
use woadstage_core::node::Waste;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

/// The maximum number of customers counted at once, by the space-saving
/// algorithm (Metwally et al. 2005).
const MAX_COUNTED_CUSTOMERS: usize = 64;

/// The number of customers shown.
const SHOWN_CUSTOMERS: usize = 8;

const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// The node's metrics.
pub struct Metrics {
    registry: Registry,
    latency: HistogramVec,
    first_token: HistogramVec,
    queue_wait: HistogramVec,
    ended: IntCounterVec,
    wasted: IntCounterVec,
    cached: IntCounterVec,
    customers: IntGaugeVec,
    customer_counts: Mutex<HashMap<String, u64>>,
    /// The number of requests that wait or run.
    pub requests: IntGauge,
    /// The revision of the configuration in force.
    pub revision: IntGauge,
    /// The bytes sent to other nodes on the open connections.
    pub peer_sent: IntGauge,
    /// The bytes received from other nodes on the open connections.
    pub peer_received: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics. Fails only if two have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| -> prometheus::Result<HistogramVec> {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
            let metric = HistogramVec::new(options, &["class"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
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
        let customers = IntGaugeVec::new(
            Opts::new(
                "woadstage_heaviest_customers",
                "Requests of the heaviest few customers.",
            ),
            &["customer"],
        )?;
        registry.register(Box::new(customers.clone()))?;
        Ok(Metrics {
            latency: histogram(
                "woadstage_latency_seconds",
                "From arrival to the whole answer.",
            )?,
            first_token: histogram(
                "woadstage_first_token_seconds",
                "From arrival to first token.",
            )?,
            queue_wait: histogram("woadstage_queue_wait_seconds", "From arrival to the call.")?,
            ended: counter(
                "woadstage_requests_total",
                "Requests ended, by tier and result code.",
                &["tier", "code", "outcome"],
            )?,
            wasted: counter(
                "woadstage_wasted_prefill_tokens_total",
                "Prompt tokens computed and thrown away, at most, by cause.",
                &["cause"],
            )?,
            cached: counter(
                "woadstage_cached_prompt_tokens_total",
                "Prompt tokens that engines confirm to have had in their cache.",
                &["class"],
            )?,
            requests: gauge("woadstage_requests", "Requests in progress.")?,
            revision: gauge("woadstage_config_revision", "The revision in force.")?,
            peer_sent: gauge(
                "woadstage_peer_sent_bytes",
                "Bytes sent on dialled connections.",
            )?,
            peer_received: gauge(
                "woadstage_peer_received_bytes",
                "Bytes received on dialled connections.",
            )?,
            customers,
            customer_counts: Mutex::new(HashMap::new()),
            registry,
        })
    }

    /// Counts a request that ended.
    pub fn record_ended(&self, ended: &Ended) {
        let class = [ended.class.as_str()];
        let tier = ended.tier.to_string();
        let code = ended.code.to_string();
        let outcome = ended.code.outcome().to_string();
        self.ended
            .with_label_values(&[tier.as_str(), &code, &outcome])
            .inc();
        let observe = |histogram: &HistogramVec, span: Span| {
            histogram
                .with_label_values(&class)
                .observe(span.as_secs_f64());
        };
        if ended.code == Code::Ran {
            observe(&self.latency, ended.latency);
        }
        if let Some(first) = ended.first {
            observe(&self.first_token, first);
        }
        if let Some(wait) = ended.wait {
            observe(&self.queue_wait, wait);
        }
        self.cached.with_label_values(&class).inc_by(ended.cached.0);
        self.count_customer(ended.customer.as_str());
    }

    fn count_customer(&self, customer: &str) {
        let Ok(mut counts) = self.customer_counts.lock() else {
            return;
        };
        if let Some(count) = counts.get_mut(customer) {
            *count += 1;
            return;
        }
        let mut count = 0;
        if counts.len() >= MAX_COUNTED_CUSTOMERS {
            let least = counts.iter().min_by_key(|(_, count)| **count);
            let Some((name, least)) = least.map(|(name, count)| (name.clone(), *count)) else {
                return;
            };
            counts.remove(&name);
            count = least;
        }
        counts.insert(customer.into(), count + 1);
    }

    /// Counts prompt tokens whose work was discarded.
    pub fn record_wasted(&self, tokens: Tokens, reason: Waste) {
        let cause = match reason {
            Waste::CallerGone => "caller-gone",
            Waste::DeadlinePassed => "late",
            Waste::EndpointLost => "endpoint-lost",
            Waste::Stalled => "stuck",
        };
        self.wasted.with_label_values(&[cause]).inc_by(tokens.0);
    }

    /// Returns all metrics in Prometheus's text format.
    pub fn to_text(&self) -> String {
        self.update_customer_gauge();
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }

    fn update_customer_gauge(&self) {
        let Ok(counts) = self.customer_counts.lock() else {
            return;
        };
        let mut all: Vec<(&String, &u64)> = counts.iter().collect();
        all.sort_by(|one, other| other.1.cmp(one.1).then(one.0.cmp(other.0)));
        self.customers.reset();
        for (name, count) in all.into_iter().take(SHOWN_CUSTOMERS) {
            self.customers
                .with_label_values(&[name.as_str()])
                .set(*count as i64);
        }
    }
}
