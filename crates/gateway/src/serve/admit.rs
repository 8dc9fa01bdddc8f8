//! Which route and customer a request has, and until when it is of use.

use hyper::header;
use hyper::http::request::Parts;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::History;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::region::Constraint;
use woadstage_dispatch::region::Regions;
use woadstage_dispatch::table::Table;
use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::headers::Headers;
use crate::headers::text;

/// A request that was let in.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The caller's id of it, or nothing where it gave none.
    pub request: String,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub target: id::Target,
    /// Its customer, if any.
    pub customer: Option<Customer>,
    /// When it came.
    pub arrived: Time,
    /// When its caller gives it up.
    pub caller_deadline: Time,
    /// When it gets its last answer: its caller's deadline or its route's.
    pub deadline: Time,
    /// The version of the configuration that decided it.
    pub version: u64,
    /// Largest body.
    pub body: Size,
}

/// How long a caller waits that does not say.
pub const LEFT_USUAL: Span = Span::from_secs(60);

/// Time kept for the answer's way to the caller.
const WAY_BACK: Span = Span::from_millis(10);

/// Finds the route and customer of a request.
///
/// # Errors
/// [`Code::NotReady`] without a configuration, [`Code::RouteUnknown`],
/// [`Code::CustomerUnknown`], or [`Code::HeaderInvalid`].
pub fn admit(
    table: Option<&Table>,
    headers: &Headers,
    head: &Parts,
    arrived: Time,
) -> Result<Admitted, Code> {
    let table = table.ok_or(Code::NotReady)?;
    let host = text(&head.headers, &header::HOST);
    let host = host.or_else(|| head.uri.authority().map(|authority| authority.as_str()));
    let host = host.ok_or(Code::HeaderInvalid)?;
    let key = text(&head.headers, &header::AUTHORIZATION).and_then(to_key);
    let found = table.find(host, head.uri.path(), key)?;
    let request = text(&head.headers, &headers.request).unwrap_or_default();
    let seed = hash::of(request.as_bytes());
    let target = found.route.target(seed).ok_or(Code::NoEndpoint)?;
    let said = headers.to_deadline_ms(&head.headers);
    let left = said.map_or(LEFT_USUAL, Span::from_millis);
    let caller_deadline = arrived + left;
    let deadline = caller_deadline.min(arrived + found.route.timeout);
    Ok(Admitted {
        request: request.to_owned(),
        route: found.route.clone(),
        target: target.clone(),
        customer: found.customer.cloned(),
        arrived,
        caller_deadline,
        deadline: deadline - WAY_BACK,
        version: table.configuration().version,
        body: table.configuration().limits.body,
    })
}

fn to_key(authorization: &str) -> Option<Key> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| Key::from_secret(key.trim()))
}

impl Admitted {
    /// The units that the request counts against its customer's quota.
    pub fn units(&self, headers: &Headers, head: &Parts) -> u64 {
        let quota = self.customer.as_ref().and_then(|customer| customer.quota);
        let Some(plain) = quota.and_then(|quota| quota.default_tokens) else {
            return 1;
        };
        let tokens = headers.to_tokens(&head.headers);
        tokens.map_or(plain, |(prompt, output)| prompt + output)
    }

    /// The request as it is put in line, whose caller has tried for so long.
    pub fn to_job(
        &self,
        headers: &Headers,
        head: &Parts,
        fingerprint: Fingerprint,
        since_first_try: Span,
    ) -> Job {
        let customer = self.customer.as_ref();
        let priority = customer.and_then(|customer| customer.priority);
        let prompt = match self.route.kind {
            Kind::Stream => headers.to_prompt(&head.headers),
            Kind::Repeatable | Kind::Once => Default::default(),
        };
        Job {
            fingerprint,
            target: self.target.clone(),
            route: self.route.name.clone(),
            rank: Rank {
                priority: priority.unwrap_or(self.route.priority),
                urgency: self.route.priority,
            },
            repeatable: self.route.may_repeat(),
            attempts: self.route.attempts,
            arrived: self.arrived,
            first_try: self.arrived - since_first_try,
            deadline: self.deadline,
            objective: self.route.objective,
            caller_timeout: self.route.caller_timeout,
            pause: self.route.pause,
            prompt,
            history: History::default(),
            origin: None,
            only_endpoint: None,
            avoided: Vec::new(),
            trial: false,
            constraint: Constraint {
                route: self.route.regions.clone(),
                customer: customer.map_or_else(Regions::default, |one| one.regions.clone()),
            },
        }
    }

    /// The customer's name, or nothing.
    pub fn customer_name(&self) -> &str {
        self.customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str())
    }
}
