//! What is logged: one typed event for each decision that touches a request or
//! changes what the process believes. `docs/EVENTS.md` lists them. No event
//! holds a key, a prompt or a body.

use serde::Serialize;

/// One line of the log.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process runs.
    Started {
        /// The entry host.
        host: &'a str,
        /// This life of the node.
        incarnation: u64,
        /// The version of the program.
        version: &'a str,
    },
    /// A planned stop began, or ended with requests still held.
    Stopping {
        /// Requests held.
        held: usize,
        /// What the stop has come to.
        phase: &'a str,
    },
    /// Settings were read again.
    Reloaded {
        /// Whether they are in force, or what is wrong with them.
        outcome: &'a str,
    },
    /// The process seems to have been paused.
    Woke {
        /// For how long, in milliseconds.
        after_ms: u64,
    },
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
        /// Names its content.
        digest: &'a str,
        /// Its routes.
        routes: usize,
        /// From where it came: `platform` or the address of a node.
        from: &'a str,
        /// The way it came: `read`, `watch` or `transfer`.
        way: &'a str,
        /// The platform's revision at which it was written; 0 for a transfer.
        revision: u64,
        /// The platform's revision as the answer says it that held it; 0 for a transfer.
        at: u64,
    },
    /// A list of endpoints came into force.
    Endpoints {
        /// The platform's era in which it was read; 0 where the platform counts none.
        era: u64,
        /// Its revision, which tells its place within its era alone.
        revision: u64,
        /// Endpoints that take work.
        ready: usize,
        /// Endpoints that are leaving.
        leaving: usize,
        /// Endpoints that say they are cold.
        cold: usize,
        /// Data centres that are evacuated, with commas between.
        evacuated: &'a str,
        /// From where it came.
        from: &'a str,
    },
    /// The platform came back with an older copy of what it had acknowledged: all is
    /// read anew, and what was written since is awaited.
    Era {
        /// The platform's era now.
        era: u64,
        /// The era before.
        before: u64,
    },
    /// Something this node depends on was lost or regained.
    Dependency {
        /// What it is.
        name: &'a str,
        /// True where it is there.
        reached: bool,
        /// What was seen.
        detail: &'a str,
    },
    /// A transfer of published documents between nodes ended.
    Transfer {
        /// `taken` by this node or `given` by it.
        direction: &'a str,
        /// The other node.
        peer: &'a str,
        /// True where all of it went over.
        whole: bool,
        /// What was seen where it broke off.
        detail: &'a str,
        /// Bytes of the documents; 0 where it broke off.
        bytes: usize,
        /// Milliseconds since it began.
        after_ms: u64,
        /// Transfers in this direction that were under way on this node as it
        /// ended, this one among them.
        at_once: usize,
    },
    /// A change was missed that the platform should have told of: a read anew brought it.
    Missed {
        /// Of which document.
        document: &'a str,
        /// The platform's revision of the change.
        revision: u64,
        /// The revision after which the node had waited for changes.
        waited_after: u64,
    },
    /// Something that was published could not be understood.
    Unreadable {
        /// Which document.
        document: &'a str,
        /// What is wrong.
        detail: &'a str,
    },
    /// A request was let in and is to be run.
    Accepted {
        /// The caller's id of it.
        request: &'a str,
        /// What it asks for: the same for each attempt, on every node.
        fingerprint: &'a str,
        /// Its route.
        route: &'a str,
        /// Its service.
        service: &'a str,
        /// Its customer, if any.
        customer: &'a str,
        /// Its customer's priority, or its route's.
        priority: u8,
        /// Its route's priority.
        urgency: u8,
        /// Milliseconds left.
        left_ms: u64,
        /// Within how many milliseconds the answer, or its first event, is in time.
        objective_ms: u64,
        /// The longest pause between events that is in time; 0 for no bound.
        pause_limit_ms: u64,
        /// True where its caller seems to have been refused before.
        returning: bool,
        /// Prompt tokens, as the caller says.
        prompt: u64,
        /// The most tokens of the answer, as the caller says.
        output: u64,
        /// Who charged its customer's quota: none, here, or the owner's address.
        quota: &'a str,
        /// The version of the configuration that decided it.
        configuration: u64,
    },
    /// A request has no route, or no customer holds its key.
    Unmatched {
        /// The caller's id of it.
        request: &'a str,
        /// What is missing: `route` or `customer`.
        what: &'a str,
        /// The version of the configuration by which it was judged.
        configuration: u64,
        /// Names the content of that.
        digest: &'a str,
        /// For how long it has been in force, in milliseconds.
        in_force_ms: u64,
        /// From where it came, and the way, as in `configuration`.
        from: &'a str,
        /// The way.
        way: &'a str,
        /// The platform's revisions, as in `configuration`.
        revision: u64,
        /// The one that the answer says.
        at: u64,
        /// How long ago the platform last answered this node, in milliseconds; none where
        /// it never did.
        platform_ms: Option<u64>,
        /// The nodes heard and their versions of the configuration, the newest first,
        /// with commas between.
        heard: &'a str,
    },
    /// A customer is over its limit.
    OverLimit {
        /// The caller's id of the request.
        request: &'a str,
        /// Its route.
        route: &'a str,
        /// The customer.
        customer: &'a str,
        /// Units asked for.
        asked: u64,
        /// Units in the bucket.
        level: i64,
        /// Units in a full bucket.
        most: u64,
        /// Units of it that are kept for more protected requests.
        kept: u64,
        /// Whose bucket it is: here, or the owner's address.
        quota: &'a str,
        /// Nodes that share the limit.
        nodes: usize,
        /// Of them, those whose use is not known now.
        silent: usize,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// The caller's id of it.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// Milliseconds it had waited.
        waited_ms: u64,
        /// Requests of this node in progress there.
        running: u32,
        /// Requests of other nodes in progress there, as last heard.
        others: u32,
        /// The age of the oldest word of another node, in milliseconds.
        oldest_ms: u64,
        /// Prompt tokens it was taken to have to read.
        uncached: u64,
        /// Prompt tokens that it was taken to have to read before.
        unread: u64,
        /// Its pace, as a multiple of the usual.
        pace: f64,
        /// Who gave the slot, and knew all of the above: here, or the owner's
        /// address.
        owner: &'a str,
        /// Endpoints that were passed over as they said that they leave, with commas
        /// between.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_leaving: &'a str,
        /// Endpoints that were passed over as they rest for this node.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_resting: &'a str,
    },
    /// Something became known of a request that endpoints ended under.
    Suspect {
        /// What it asks for.
        fingerprint: &'a str,
        /// What became known: `charged`, `heard`, `cleared` or `trial`.
        what: &'a str,
        /// Endpoints that ended under it since it was last sound.
        ends: usize,
        /// True where it is not run any more.
        barred: bool,
    },
    /// A request is not run, as endpoints ended under what it asks for.
    Barred {
        /// The caller's id of it.
        request: &'a str,
        /// What it asks for.
        fingerprint: &'a str,
        /// Endpoints that ended under it since it was last sound.
        ends: usize,
        /// How often it was tried again since.
        trials: u8,
    },
    /// An attempt ended.
    Attempt {
        /// The caller's id of the request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// How it ended.
        end: &'a str,
        /// What follows.
        next: &'a str,
        /// What was seen: a status or a fault of the connection.
        detail: &'a str,
        /// Milliseconds since it was sent.
        after_ms: u64,
    },
    /// Something else is believed of an endpoint, by what it says of itself.
    Notice {
        /// The caller's id of the request whose answer said so; empty where no answer did.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// What it is about: `cold`, `rate-limit`, `leaving` or `rest`.
        what: &'a str,
        /// What is believed now: a time, requests a second, or `none`.
        now: &'a str,
        /// The same before.
        before: &'a str,
    },
    /// A request has its final answer.
    Answered {
        /// The caller's id of it.
        request: &'a str,
        /// The status.
        status: u16,
        /// The numbered result code, or nothing for an endpoint's own answer.
        code: &'a str,
        /// What the caller may believe: ran, not-run or unknown.
        outcome: &'a str,
        /// Milliseconds since it came.
        after_ms: u64,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
        /// The wait that was expected, where that decided it, in milliseconds.
        wait_ms: u64,
        /// Who refused it: here, or the address of the node that owns the slots; empty
        /// for an endpoint's answer.
        owner: &'a str,
        /// Events of a stream that were passed on.
        events: u32,
        /// Milliseconds from its arrival to its first event; 0 where none came.
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        pause_ms: u64,
        /// The version of the configuration that decided it; 0 for none.
        configuration: u64,
        /// Endpoints that were passed over where this node refused it, as in `sent`.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_leaving: &'a str,
        /// The same of those that rest.
        #[serde(skip_serializing_if = "str::is_empty")]
        passed_resting: &'a str,
    },
    /// A caller left before its answer was whole.
    Left {
        /// The caller's id of the request.
        request: &'a str,
        /// Milliseconds since it came.
        after_ms: u64,
    },
    /// An answer broke off after its head had gone out.
    Cut {
        /// The caller's id of the request.
        request: &'a str,
        /// Why.
        detail: &'a str,
        /// Milliseconds since it came.
        after_ms: u64,
    },
    /// Lines were left out to keep the volume bounded.
    LeftOut {
        /// How many since the last such line.
        lines: u64,
    },
}

impl Event<'_> {
    /// True for what explains a failure; such lines are left out last.
    pub fn is_failure(&self) -> bool {
        match self {
            Event::Accepted { .. } | Event::Sent { .. } => false,
            Event::Attempt { end, .. } => *end != "whole",
            Event::Answered { status, .. } => *status >= 400,
            _ => true,
        }
    }
}
