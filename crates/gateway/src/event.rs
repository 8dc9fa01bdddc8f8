//! Typed log events: one for each decision about a request and each change in the node's
//! knowledge. `docs/EVENTS.md` lists them. No event contains a key, a prompt or a body.

use serde::Serialize;

/// A log line, tagged with its event name.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// The name of the entry host.
        host: &'a str,
        /// The incarnation of the node, which changes with each start.
        incarnation: u64,
        /// The version of the program.
        version: &'a str,
    },
    /// A planned stop entered a phase.
    Stopping {
        /// The number of requests still held.
        held: usize,
        /// The number of connections that callers and nodes have sent something on.
        connections: usize,
        /// The number of connections of callers on which nothing has arrived yet.
        silent: usize,
        /// The phase: `leaving`, `closing` or `stopped`.
        phase: &'a str,
    },
    /// The process can't start yet.
    Waiting {
        /// The numbered result code of what it waits for.
        code: String,
        /// What it waits for.
        detail: &'a str,
        /// For how many milliseconds so far.
        waited_ms: u64,
    },
    /// The process ends. This is its last line.
    Ended {
        /// The exit status.
        status: u8,
        /// The numbered result code of the failure; empty after a planned stop.
        code: String,
        /// Why it ends.
        detail: &'a str,
    },
    /// A task panicked. The message is left out, since it may quote what a caller sent.
    Panicked {
        /// The place in the source.
        place: &'a str,
    },
    /// A task that runs for as long as the process ended and starts again.
    TaskEnded {
        /// The name of the task.
        task: &'a str,
        /// How it ended: `panicked` or `returned`.
        how: &'a str,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether the settings are in force, or what is wrong with them.
        outcome: &'a str,
    },
    /// The process stood still.
    Woke {
        /// For how many milliseconds.
        after_ms: u64,
        /// How much of that time the host was suspended, in milliseconds.
        suspended_ms: u64,
    },
    /// Requests that were held after a pause go on.
    Current {
        /// Whether what the node knows was `confirmed`, or could not be in time (`unconfirmed`).
        how: &'a str,
        /// How long requests were held, in milliseconds.
        held_ms: u64,
        /// The revision of the list of endpoints in force.
        list: u64,
        /// Whether that list is complete.
        settled: bool,
    },
    /// The node is late with its own work and limits new connections, or is on time again.
    Lateness {
        /// The state: `late` or `on-time`.
        state: &'a str,
        /// By how many milliseconds its timers fire late.
        delay_ms: u64,
        /// The connections declined since the start.
        declined: u64,
    },
    /// A configuration came into force.
    Configuration {
        /// The version of the configuration.
        version: u64,
        /// The previous version.
        before: u64,
        /// A digest of the content.
        digest: &'a str,
        /// The number of routes.
        routes: usize,
        /// The source: `platform` or the address of a node.
        from: &'a str,
        /// How the configuration was received: `read`, `watch` or `transfer`.
        way: &'a str,
        /// The platform's revision at which the configuration was written; 0 for a
        /// transfer.
        revision: u64,
        /// The platform's revision given in the response that held the configuration; 0 for
        /// a transfer.
        at: u64,
    },
    /// A list of endpoints came into force.
    Endpoints {
        /// The platform's era in which the list was read; 0 if the platform has no eras.
        era: u64,
        /// The revision of the list, comparable only within its era.
        revision: u64,
        /// Whether the list is complete.
        settled: bool,
        /// The endpoints that are in use although the list lacks them, separated by commas.
        #[serde(skip_serializing_if = "str::is_empty")]
        kept: &'a str,
        /// The number of endpoints that accept requests.
        ready: usize,
        /// The number of endpoints that are leaving.
        leaving: usize,
        /// The number of endpoints that report that they are cold.
        cold: usize,
        /// The evacuated data centres, separated by commas.
        evacuated: &'a str,
        /// The source: `platform` or the address of a node.
        from: &'a str,
    },
    /// The platform's list may lack endpoints that still run, for a while.
    Unsettled {
        /// Why: `started`, `outage` or `restored`.
        cause: &'a str,
        /// How long the platform gave no answer, in milliseconds.
        away_ms: u64,
        /// For how long the list counts as incomplete, in milliseconds.
        for_ms: u64,
    },
    /// The platform was restored from an older copy of data it had acknowledged. The node
    /// reads everything again and waits for the writes that are missing from the copy.
    Era {
        /// The platform's current era.
        era: u64,
        /// The previous era.
        before: u64,
    },
    /// A dependency of this node became unreachable or reachable again.
    Dependency {
        /// The dependency: `platform` or `node`.
        name: &'a str,
        /// Whether the dependency is reachable.
        reached: bool,
        /// What was observed, or the address of the node.
        detail: &'a str,
    },
    /// This node lost or regained its link to an endpoint.
    Link {
        /// The endpoint.
        endpoint: &'a str,
        /// Its service.
        service: &'a str,
        /// The state: `lost` or `regained`.
        state: &'a str,
        /// What put a lost link in doubt.
        #[serde(skip_serializing_if = "str::is_empty")]
        evidence: &'a str,
        /// How long a regained link was lost, in milliseconds.
        after_ms: u64,
        /// The number of lost links to open endpoints of the service.
        lost: usize,
        /// The number of open endpoints of the service.
        open: usize,
    },
    /// An endpoint may have started again with other software, or is still the start that is listed.
    EndpointStart {
        /// The endpoint.
        endpoint: &'a str,
        /// Its service.
        service: &'a str,
        /// The state: `doubted` or `confirmed`.
        state: &'a str,
        /// Why a start is in doubt.
        #[serde(skip_serializing_if = "str::is_empty")]
        cause: &'a str,
        /// How long a start was in doubt, in milliseconds.
        after_ms: u64,
    },
    /// A transfer of published documents between nodes ended.
    Transfer {
        /// The direction: `taken` by this node or `given` by it.
        direction: &'a str,
        /// The address of the other node.
        peer: &'a str,
        /// Whether the transfer was completed.
        whole: bool,
        /// Why the transfer broke off.
        detail: &'a str,
        /// The size of the documents in bytes; 0 if the transfer broke off.
        bytes: usize,
        /// The duration of the transfer in milliseconds.
        after_ms: u64,
        /// The number of transfers in this direction that were in progress on this node
        /// when this one ended, including this one.
        at_once: usize,
    },
    /// A full read found a change of which the platform had not notified this node.
    Missed {
        /// The document that changed.
        document: &'a str,
        /// The platform's revision of the change.
        revision: u64,
        /// The revision after which the node had waited for changes.
        waited_after: u64,
    },
    /// A published document, or a field of an endpoint's answer, could not be parsed.
    Unreadable {
        /// The document or the field.
        document: &'a str,
        /// The error.
        detail: &'a str,
    },
    /// A request was admitted and will be run.
    Accepted {
        /// The caller's id of the request.
        request: &'a str,
        /// A fingerprint of what the request asks for: the same for each attempt, on every
        /// node.
        fingerprint: &'a str,
        /// The route.
        route: &'a str,
        /// The service.
        service: &'a str,
        /// The customer; empty if there is none.
        customer: &'a str,
        /// The priority of the customer, or else of the route.
        priority: u8,
        /// The priority of the route.
        urgency: u8,
        /// The time left until the deadline, in milliseconds.
        left_ms: u64,
        /// The time limit in milliseconds within which the response, or its first event,
        /// meets the objective.
        objective_ms: u64,
        /// The longest pause between events, in milliseconds, that meets the objective; 0
        /// if unlimited.
        pause_limit_ms: u64,
        /// Whether the caller appears to retry a refused request.
        returning: bool,
        /// The number of prompt tokens, as given by the caller.
        prompt: u64,
        /// The maximum number of output tokens, as given by the caller.
        output: u64,
        /// The ids of the prompt's parts in order, in hexadecimal, separated by commas.
        #[serde(skip_serializing_if = "str::is_empty")]
        parts: &'a str,
        /// The request whose stream the caller takes up, as it names it; empty if it does not.
        #[serde(skip_serializing_if = "str::is_empty")]
        resumes: &'a str,
        /// The last event that the caller has of that stream; empty if it takes none up.
        #[serde(skip_serializing_if = "str::is_empty")]
        last_event: &'a str,
        /// Who charged the customer's quota: `none`, `here`, the owner's address, or `forwarder` for
        /// the node that forwarded the request.
        quota: &'a str,
        /// The node that forwarded the request; empty if a caller sent it.
        #[serde(skip_serializing_if = "str::is_empty")]
        forwarded_by: &'a str,
        /// The version of the configuration used for the decision.
        configuration: u64,
    },
    /// It was found out which software began the stream that a request takes up, or that nobody
    /// knows.
    TakenUp {
        /// The caller's id of the request.
        request: &'a str,
        /// The request that began the stream, as the caller names it; empty if it does not.
        #[serde(skip_serializing_if = "str::is_empty")]
        resumes: &'a str,
        /// The last event that the caller has.
        last_event: &'a str,
        /// The version of the software; empty if nobody knows.
        software: &'a str,
        /// How this node learnt it: `own` (its own record), `node` (the record of another), `sole`
        /// (no other version has served), `sole-at-node` (as seen by another); otherwise `nobody`
        /// or, if some did not answer, `unanswered`, or, if different versions were stated,
        /// `disputed`, or, if the endpoint may have started again, `doubted`.
        source: &'a str,
        /// That other node; empty if there is none.
        #[serde(skip_serializing_if = "str::is_empty")]
        node: &'a str,
        /// The age of the record in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
        /// How long it took in milliseconds.
        after_ms: u64,
        /// The nodes that were asked, each with its answer (`record`, `sole`, `several`, `unknown`,
        /// `disputed`, `doubted`, `none`) and for how many milliseconds its current start has been heard.
        #[serde(skip_serializing_if = "str::is_empty")]
        asked: &'a str,
    },
    /// A request matched no route, or its key belongs to no customer.
    Unmatched {
        /// The caller's id of the request.
        request: &'a str,
        /// What is missing: `route` or `customer`.
        what: &'a str,
        /// The version of the configuration used for the decision.
        configuration: u64,
        /// The digest of that configuration.
        digest: &'a str,
        /// How long that configuration has been in force, in milliseconds.
        in_force_ms: u64,
        /// The source of that configuration, as in `configuration`.
        from: &'a str,
        /// How that configuration was received, as in `configuration`.
        way: &'a str,
        /// The platform's revision at which the configuration was written, as in
        /// `configuration`.
        revision: u64,
        /// The platform's revision given in the response, as in `configuration`.
        at: u64,
        /// The time since the platform last answered this node, in milliseconds; none if it
        /// never did.
        platform_ms: Option<u64>,
        /// The nodes heard and their versions of the configuration, newest first, separated
        /// by commas.
        heard: &'a str,
    },
    /// A customer exceeded its limit.
    OverLimit {
        /// The caller's id of the request.
        request: &'a str,
        /// The route.
        route: &'a str,
        /// The customer.
        customer: &'a str,
        /// The number of units requested.
        asked: u64,
        /// The number of units in the bucket.
        level: i64,
        /// The capacity of the bucket in units.
        most: u64,
        /// The number of units reserved for more protected requests.
        kept: u64,
        /// Where the bucket is kept: `here` or the owner's address.
        quota: &'a str,
        /// The number of nodes that share the limit.
        nodes: usize,
        /// The number of these nodes whose usage is currently unknown.
        silent: usize,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// The caller's id of the request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The version of its software; empty if not known.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// The revision of the list of endpoints in force.
        list: u64,
        /// Whether that list is complete.
        settled: bool,
        /// The time in milliseconds that the request had waited.
        waited_ms: u64,
        /// The number of requests of this node in progress at the endpoint.
        running: u32,
        /// The number of requests of other nodes in progress at the endpoint, as last
        /// reported.
        others: u32,
        /// The age in milliseconds of the oldest status of another node.
        oldest_ms: u64,
        /// The estimated number of prompt tokens that the endpoint has to read.
        uncached: u64,
        /// The estimated number of prompt tokens of other requests that the endpoint has to
        /// read first.
        unread: u64,
        /// The endpoint's time for a call, or an engine's for a step, as a multiple of the
        /// typical one.
        pace: f64,
        /// The node that assigned the slot and supplied the values above: `here` or the
        /// owner's address.
        owner: &'a str,
        /// Whether an owner redirected the request to another.
        #[serde(skip_serializing_if = "Option::is_none")]
        redirected: Option<bool>,
        /// Whether its caller had claimed a booking; none if another owner decided and this node
        /// knows of no claim.
        #[serde(skip_serializing_if = "Option::is_none")]
        booked: Option<bool>,
        /// The endpoints passed over because they announced that they are leaving, separated by
        /// commas.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_leaving: &'a str,
        /// The endpoints passed over because they asked for a rest, separated by commas.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_resting: &'a str,
    },
    /// The record of a feature of requests during which endpoints crashed has changed.
    Suspect {
        /// The feature: the fingerprint of a request, or a number for a part of prompts.
        feature: &'a str,
        /// Whether the feature is a `request` or a `part`.
        kind: &'a str,
        /// What changed the record: `charged`, `heard`, `cleared` or `trial`.
        what: &'a str,
        /// The number of endpoints that crashed while running requests with the feature since it
        /// was last cleared.
        ends: usize,
        /// Whether requests with the feature are no longer run.
        barred: bool,
    },
    /// A request was refused because endpoints crashed while running the same request, or others
    /// with a part of its prompt.
    Barred {
        /// The caller's id of the request.
        request: &'a str,
        /// The features for which it was refused, separated by commas.
        features: &'a str,
        /// The ids of the parts that these stand for, in hexadecimal, separated by commas.
        #[serde(skip_serializing_if = "str::is_empty")]
        parts: &'a str,
        /// The number of endpoints that crashed while running requests with these features since
        /// they were last cleared.
        ends: usize,
        /// The number of trials since then.
        trials: u8,
    },
    /// An attempt ended.
    Attempt {
        /// The caller's id of the request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The version of its software; empty if not known.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// How the attempt ended.
        end: &'a str,
        /// The next step: `again` if the request is retried, `over` if it has ended, or why it
        /// is not retried.
        next: &'a str,
        /// The status or the connection error.
        detail: &'a str,
        /// What marks the end of the answer's body: `length`, `chunks` or `connection`; empty if
        /// none was relayed.
        #[serde(skip_serializing_if = "str::is_empty")]
        framing: &'a str,
        /// How that body ended: `stated`, `closed`, `connection-broke`, `inside-event`,
        /// `no-event` or `sender-ended`.
        #[serde(skip_serializing_if = "str::is_empty")]
        body: &'a str,
        /// The time in milliseconds since the request was sent.
        after_ms: u64,
    },
    /// A request was forwarded to another node, which reaches the endpoints.
    Forwarded {
        /// The caller's id of the request.
        request: &'a str,
        /// The other node.
        node: &'a str,
        /// The time in milliseconds since the request arrived.
        after_ms: u64,
    },
    /// A forwarded request returned from the other node.
    ForwardEnded {
        /// The caller's id of the request.
        request: &'a str,
        /// The other node.
        node: &'a str,
        /// How it ended: `answered`, `declined`, `not-sent` or `lost`.
        end: &'a str,
        /// The next step, as in `attempt`.
        next: &'a str,
        /// The status, the result code or the connection error.
        detail: &'a str,
        /// The time in milliseconds since the request was forwarded.
        after_ms: u64,
    },
    /// The known condition of an endpoint, which it announces in its responses, has
    /// changed.
    Notice {
        /// The caller's id of the request whose response announced the change; empty if it
        /// has another cause.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The condition: `cold`, `rate-limit`, `leaving` or `rest`.
        what: &'a str,
        /// The current value: a duration, requests per second, `yes`, `over` or `none`.
        now: &'a str,
        /// The previous value.
        before: &'a str,
    },
    /// A request got its final answer.
    Answered {
        /// The caller's id of the request.
        request: &'a str,
        /// The HTTP status.
        status: u16,
        /// The numbered result code; empty for an endpoint's own response.
        code: &'a str,
        /// Whether the request has run, as reported to the caller: `ran`, `not-run` or
        /// `unknown`.
        outcome: &'a str,
        /// The time in milliseconds since the request arrived.
        after_ms: u64,
        /// When the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// The expected wait in milliseconds, if it decided the answer.
        wait_ms: u64,
        /// Who refused the request: `here` or the address of the node that owns the slots;
        /// empty for an endpoint's response.
        owner: &'a str,
        /// The version of the software that wrote the end of an endpoint's response; empty if it is
        /// not known.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// The number of events of a stream passed on to the caller.
        events: u32,
        /// The time in milliseconds from arrival to the first event; 0 if there was none.
        first_ms: u64,
        /// The longest pause between two events in milliseconds.
        pause_ms: u64,
        /// The version of the configuration used for the decision; 0 if there was none.
        configuration: u64,
        /// Whether an owner redirected the request to another; none if nothing was
        /// decided.
        #[serde(skip_serializing_if = "Option::is_none")]
        redirected: Option<bool>,
        /// Whether its caller had claimed a booking; none if another owner decided and this node
        /// knows of no claim.
        #[serde(skip_serializing_if = "Option::is_none")]
        booked: Option<bool>,
        /// When the caller is to return to the place that was booked for it, in milliseconds; 0 if
        /// none was booked, none if another owner refused the request or an endpoint answered.
        #[serde(skip_serializing_if = "Option::is_none")]
        booking_ms: Option<u64>,
        /// The endpoints passed over because they announced that they are leaving, if this node
        /// refused the request.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_leaving: &'a str,
        /// The endpoints passed over because they asked for a rest, if this node refused the
        /// request.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_resting: &'a str,
        /// The number of endpoints that this node sends nothing to because of failures, by the kind
        /// of failure, if this node refused the request.
        #[serde(skip_serializing_if = "str::is_empty")]
        unusable: &'a str,
        /// The node that ran or refused the request, if it was forwarded there.
        #[serde(skip_serializing_if = "str::is_empty")]
        forwarded_to: &'a str,
        /// The node that forwarded the request; empty if a caller sent it.
        #[serde(skip_serializing_if = "str::is_empty")]
        forwarded_by: &'a str,
    },
    /// A caller disconnected before its answer was complete.
    Left {
        /// The caller's id of the request.
        request: &'a str,
        /// The time in milliseconds since the request arrived.
        after_ms: u64,
    },
    /// An answer broke off after its head had been sent.
    Cut {
        /// The caller's id of the request.
        request: &'a str,
        /// The cause.
        detail: &'a str,
        /// The time in milliseconds since the request arrived.
        after_ms: u64,
    },
    /// Connections that others had opened to this node were closed.
    ConnectionsClosed {
        /// Where they were opened: `callers`, `ready`, `metrics` or `nodes`.
        listener: &'a str,
        /// Why they were closed.
        reason: &'a str,
        /// The number of connections closed since the last such event.
        connections: u64,
        /// The number of connections that are open there.
        open: usize,
    },
    /// Log lines were dropped to limit the volume.
    LeftOut {
        /// The number of lines dropped since the last such event.
        lines: u64,
    },
}

impl Event<'_> {
    /// Whether the event explains a failure; such lines are dropped last.
    pub fn is_failure(&self) -> bool {
        match self {
            Event::Accepted { .. } | Event::Sent { .. } | Event::Forwarded { .. } => false,
            Event::ForwardEnded { end, .. } => *end != "answered",
            Event::Attempt { end, .. } => *end != "whole",
            Event::Answered { status, .. } => *status >= 400,
            _ => true,
        }
    }
}
