//! Admission of a request: its route, customer and deadline.

use hyper::header;
use hyper::http::request::Parts;
use woadstage_dispatch::binding;
use woadstage_dispatch::binding::Binding;
use woadstage_dispatch::binding::Stream;
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

/// An admitted request.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The id that the caller gave the request; empty if none.
    pub request_id: String,
    /// The route of the request.
    pub route: Route,
    /// The service that the request is for.
    pub target: id::Target,
    /// The customer that sent the request, if any.
    pub customer: Option<Customer>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the caller gives up.
    pub caller_deadline: Time,
    /// When the final answer is due: the earlier of the caller's and the route's deadline,
    /// less [`ANSWER_MARGIN`].
    pub deadline: Time,
    /// The version of the configuration by which the request was admitted.
    pub configuration_version: u64,
    /// The maximum size of the request's body.
    pub max_body: Size,
}

/// How long a caller is assumed to wait if it gives no timeout.
pub const DEFAULT_CALLER_TIMEOUT: Span = Span::from_secs(60);

/// The time reserved for sending the final answer to the caller.
const ANSWER_MARGIN: Span = Span::from_millis(10);

/// Finds the route and customer of a request.
///
/// # Errors
/// Returns [`Code::NotReady`] without a configuration, [`Code::RouteUnknown`],
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
    let matched = table.find(host, head.uri.path(), key)?;
    let request_id = text(&head.headers, &headers.request).unwrap_or_default();
    // A stream that is taken up goes on at the service that began it.
    let seed = hash::of(begun_by(headers, head).unwrap_or(request_id).as_bytes());
    let target = matched.route.target(seed).ok_or(Code::NoEndpoint)?;
    let given_ms = headers.to_deadline_ms(&head.headers);
    let caller_timeout = given_ms.map_or(DEFAULT_CALLER_TIMEOUT, Span::from_millis);
    let caller_deadline = arrived + caller_timeout;
    let deadline = caller_deadline.min(arrived + matched.route.timeout);
    Ok(Admitted {
        request_id: request_id.to_owned(),
        route: matched.route.clone(),
        target: target.clone(),
        customer: matched.customer.cloned(),
        arrived,
        caller_deadline,
        deadline: deadline - ANSWER_MARGIN,
        configuration_version: table.configuration().version,
        max_body: table.configuration().limits.body,
    })
}

/// Returns the id of the request that began the stream which this one takes up, if it names it.
fn begun_by<'a>(headers: &Headers, head: &'a Parts) -> Option<&'a str> {
    let resumes = text(&head.headers, &headers.resumes);
    resumes.filter(|_| head.headers.contains_key(&headers.last_event))
}

fn to_key(authorization: &str) -> Option<Key> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| Key::from_secret(key.trim()))
}

impl Admitted {
    /// Returns the units that the request is charged to its customer's quota.
    pub fn units(&self, headers: &Headers, head: &Parts) -> u64 {
        let quota = self.customer.as_ref().and_then(|customer| customer.quota);
        let Some(default_tokens) = quota.and_then(|quota| quota.default_tokens) else {
            return 1;
        };
        let tokens = headers.to_tokens(&head.headers);
        tokens.map_or(default_tokens, |(prompt, output)| {
            prompt.saturating_add(output)
        })
    }

    /// Returns the job for the dispatcher. `since_first_try` is the time that the caller has
    /// spent on earlier attempts.
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
                customer: customer
                    .map_or_else(Regions::default, |customer| customer.regions.clone()),
            },
            customer: customer.map(|customer| customer.name.to_number()),
            is_booked: false,
            is_redirected: false,
            is_forwarded: false,
            declined_by: Vec::new(),
            stream: self.to_stream_opt(headers, head),
            binding: self.to_binding(headers, head),
        }
    }

    /// Returns the stream that the request begins or takes up, if it can be resumed.
    fn to_stream_opt(&self, headers: &Headers, head: &Parts) -> Option<Stream> {
        self.is_resumable().then(|| Stream {
            key: self.to_stream_key(begun_by(headers, head).unwrap_or(&self.request_id)),
            until: self.caller_deadline,
        })
    }

    /// Returns the binding of a request whose caller takes a stream up, as far as its head tells.
    fn to_binding(&self, headers: &Headers, head: &Parts) -> Binding {
        if !self.is_resumable() || !head.headers.contains_key(&headers.last_event) {
            return Binding::Free;
        }
        Binding::TakesUp(begun_by(headers, head).map(|id| self.to_stream_key(id)))
    }

    fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream && self.route.resumable
    }

    fn to_stream_key(&self, request_id: &str) -> binding::Key {
        let customer = self.customer.as_ref();
        binding::Key::new(
            customer.map(|customer| customer.name.to_number()),
            request_id,
        )
    }

    /// Returns the customer's name, or an empty string if there is none.
    pub fn customer_name(&self) -> &str {
        self.customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str())
    }
}
