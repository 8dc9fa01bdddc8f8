//! Serves the readiness page for the platform and the metrics page for operators.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::quarantine::Feature;
use woadstage_types::unit::Time;

use crate::clock::Clock;
use crate::clock::to_duration;
use crate::connections::Reason;
use crate::connections::Registry;
use crate::connections::State;
use crate::connections::Stream;
use crate::connections::Tracker;
use crate::connections::listen::ACCEPT_RETRY_DELAY;
use crate::connections::stream::Switch;
use crate::connections::stream::read_first;
use crate::shell::Shell;

/// The status and text of a page.
pub type Page = (StatusCode, Vec<u8>);

/// The maximum size of the buffer for a request's head.
const MAX_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// How long a head may take, a connection may wait for its next request, and its peer may read
/// nothing.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Serves the pages that `page` returns for a path, on as many connections as `registry` allows.
pub async fn serve(
    listener: Rc<TcpListener>,
    clock: Clock,
    registry: Registry,
    page: impl Fn(&str) -> Page + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(tracker) = registry.try_open(clock.now()) {
            let serving = serve_connection(stream, clock.clone(), tracker, page.clone());
            tokio::task::spawn_local(serving);
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    clock: Clock,
    tracker: Tracker,
    page: impl Fn(&str) -> Page + 'static,
) {
    if let Some(first) = read_first(&stream, TIMEOUT, &tracker).await {
        // Boxed, so that the task takes little memory until then.
        Box::pin(serve_requests(stream, first, clock, tracker, page)).await;
    }
}

async fn serve_requests(
    stream: TcpStream,
    first: Bytes,
    clock: Clock,
    tracker: Tracker,
    page: impl Fn(&str) -> Page + 'static,
) {
    let switch = Switch::new(TIMEOUT);
    let stream = Stream::new(
        stream,
        first,
        clock.clone(),
        switch.clone(),
        tracker.clone(),
    );
    let page = Rc::new(page);
    let answered = tracker.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        answer(request, clock.clone(), answered.clone(), page.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(TIMEOUT)
        .max_buf_size(MAX_HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error only means that the client disconnected early.
        _ = connection => {}
        _ = tracker.closed() => switch.set(),
    }
}

async fn answer(
    request: Request<Incoming>,
    clock: Clock,
    tracker: Tracker,
    page: Rc<impl Fn(&str) -> Page>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if let Some(wait) = tracker.begin_request(clock.now()) {
        tokio::time::sleep(to_duration(wait)).await;
    }
    tracker.set_state(clock.now(), State::Busy);
    tracker.set_served();
    let (status, text) = page(request.uri().path());
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    tracker.set_state(clock.now(), State::Idle);
    Ok(response)
}

/// Returns the page that shows whether the node is ready for callers, or "not found" for any path
/// but `ready_path`.
pub fn readiness(shell: &Shell, path: &str, ready_path: &str) -> Page {
    if path != ready_path {
        return (StatusCode::NOT_FOUND, Vec::new());
    }
    match shell.query(|dispatcher, now| dispatcher.is_ready(now)) {
        true => (StatusCode::OK, b"ready\n".to_vec()),
        false => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
    }
}

/// Updates the metrics that are computed on demand, and returns all metrics of the node.
pub fn metrics(shell: &Shell) -> Page {
    let metrics = &shell.metrics;
    let (reach, held, configuration, endpoints, services) = shell.query(|dispatcher, now| {
        (
            dispatcher.reach(now),
            dispatcher.held(),
            dispatcher.configuration_version(),
            dispatcher.edition(),
            dispatcher.summaries(now),
        )
    });
    metrics.nodes.set(reach.nodes as i64);
    metrics.silent_nodes.set(reach.silent as i64);
    metrics.held_requests.set(held as i64);
    metrics.forwarded_requests.set(shell.forwarded.get() as i64);
    metrics.configuration_version.set(configuration as i64);
    let now = shell.now();
    let age = |since: Option<Time>| since.map_or(-1, |at| (now.since(at).0 / 1_000) as i64);
    let in_force_since = shell.active_configuration.get().map(|active| active.since);
    metrics.configuration_age.set(age(in_force_since));
    metrics
        .platform_answer_age
        .set(age(shell.platform_answered_at.get()));
    metrics.endpoints_revision.set(endpoints.revision as i64);
    metrics.endpoints_era.set(endpoints.era.0 as i64);
    let (age, kept) = shell.query(|dispatcher, now| {
        (
            dispatcher.endpoints_age(now),
            dispatcher.kept_endpoints().len(),
        )
    });
    metrics.endpoints_age.set((age.0 / 1_000) as i64);
    metrics.endpoints_kept.set(kept as i64);
    for (kind, count) in shell.peers.traffic.counts() {
        let labels = [kind.as_str()];
        let messages = metrics.sent_messages.with_label_values(&labels);
        messages.set(count.messages as i64);
        let bytes = metrics.sent_bytes.with_label_values(&labels);
        bytes.set(count.bytes as i64);
    }
    metrics.peers_by_protocol.reset();
    for (protocol, nodes) in shell.query(|dispatcher, now| dispatcher.peers_by_protocol(now)) {
        let labels = [protocol.to_string()];
        metrics
            .peers_by_protocol
            .with_label_values(&labels)
            .set(nodes);
    }
    let (suspects, barred, barred_parts) = shell.query(|dispatcher, now| {
        let suspects = dispatcher.quarantine().iter();
        let suspects: Vec<Feature> = suspects
            .filter(|(_, record)| !record.ends.is_empty())
            .map(|(feature, _)| feature)
            .collect();
        let barred = suspects.iter();
        let barred = barred.filter(|feature| dispatcher.is_barred(now, **feature));
        let (parts, whole): (Vec<&Feature>, Vec<&Feature>) =
            barred.partition(|feature| feature.is_part());
        (suspects.len(), whole.len(), parts.len())
    });
    metrics.suspects.set(suspects as i64);
    metrics.barred_requests.set(barred as i64);
    metrics.barred_parts.set(barred_parts as i64);
    let lateness = shell.query(|dispatcher, _| dispatcher.lateness());
    metrics.delay.set((lateness.delay.0 / 1_000) as i64);
    metrics.declined_connections.set(lateness.declined as i64);
    metrics
        .dropped_log_lines
        .set(shell.log.dropped_lines() as i64);
    metrics.body_memory.set(shell.body_memory.used().0 as i64);
    metrics.bodies_cut.set(shell.body_memory.gave_way() as i64);
    let delayed = |what, times: u64| {
        let delayed = metrics.delayed.with_label_values(&[what]);
        delayed.set(times as i64);
    };
    delayed("small-pieces", shell.piece_rate.delayed());
    let ahead = shell
        .registries
        .named()
        .map(|(_, registry)| registry.delayed());
    delayed("requests-ahead", ahead.iter().sum());
    for (listener, registry) in shell.registries.named() {
        let open = metrics.connections.with_label_values(&[listener]);
        open.set(registry.open() as i64);
        for reason in Reason::ALL {
            let labels = [listener, reason.as_str()];
            let closed = metrics.closed_connections.with_label_values(&labels);
            closed.set(registry.closed(reason) as i64);
        }
    }
    metrics.endpoints_by_software.reset();
    for service in services {
        for (software, count) in &service.software {
            let labels = [service.target.as_str(), software.as_str()];
            let endpoints = metrics.endpoints_by_software.with_label_values(&labels);
            endpoints.set(*count as i64);
        }
        let set = |kind, value: i64| {
            let labels = [service.target.as_str(), kind];
            metrics.services.with_label_values(&labels).set(value);
        };
        set("waiting", service.waiting as i64);
        set("running", i64::from(service.running));
        set("running-elsewhere", i64::from(service.running_elsewhere));
        set("endpoints", service.endpoints as i64);
        set("endpoints-usable", service.usable as i64);
        set("rate-limited", service.rate_limited as i64);
        set("cold", service.cold as i64);
        set("leaving", service.leaving as i64);
        set("resting", service.resting as i64);
        set("links-lost", service.lost_links as i64);
        set("forwarded", service.forwarded as i64);
        set("unreachable", service.unusable.unreachable as i64);
        set("failing", service.unusable.failing as i64);
        set("stalled", service.unusable.stalled as i64);
        set("reported-down", service.unusable.reported_down as i64);
        set("variable-capacity", i64::from(service.variable_capacity));
        set("slow", service.slow as i64);
        set("avoided-slow", service.avoided_slow as i64);
        set("sharing-customers", service.sharing_customers as i64);
        set("share-refunds", service.share_refunds as i64);
        set("share-excesses", service.share_excesses as i64);
        set("repeats-left", service.repeats_left as i64);
        set("redirected", service.redirects.redirected as i64);
        set("redirected-late", service.redirects.late as i64);
        set("redirected-refused", service.redirects.refused as i64);
        set("redirect-unfollowed", service.redirects.unfollowed as i64);
        set("isolated", service.redirects.isolated as i64);
        set("bookings-made", service.bookings.made as i64);
        set("bookings-claimed", service.bookings.claimed as i64);
        set("bookings-expired", service.bookings.expired as i64);
        set("bookings-refused", service.bookings.refused as i64);
        set(
            "predicted-wait-us",
            service.predicted_wait.0.min(i64::MAX as u64) as i64,
        );
        set("slot-depth", i64::from(service.depth));
        set("late", service.late as i64);
        set("held-late", service.held as i64);
        set("refused-by-forecast", service.refused as i64);
        set("dropped-late", service.dropped as i64);
    }
    (StatusCode::OK, metrics.to_text())
}
