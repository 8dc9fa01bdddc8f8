//! The names of the HTTP headers that callers and endpoints use. They are configurable because
//! each platform has its own.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use woadstage_config::read::Reader;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;
use woadstage_types::code::Code;

/// The names of HTTP headers. An empty name is not valid in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Identifies one attempt of a caller. Endpoints echo it.
    pub request: HeaderName,
    /// The time left for the request, in milliseconds: as stated by the caller, and as sent to
    /// the endpoint.
    pub deadline: HeaderName,
    /// Tells an endpoint which customer sent the request.
    pub customer: HeaderName,
    /// Names the endpoint that the request is meant for.
    pub instance: HeaderName,
    /// States that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// The prompt tokens and the maximum tokens of the answer, separated by a comma.
    pub tokens: HeaderName,
    /// The parts of the prompt as `ID:TOKENS`, separated by commas.
    pub parts: HeaderName,
    /// The caller's estimate of the number of tokens of the answer.
    pub output_hint: HeaderName,
    /// The last event of a stream that was received: as stated by a caller who takes the stream up,
    /// and as sent to the endpoint that resumes it.
    pub last_event: HeaderName,
    /// The id of the caller's attempt that received the first event of the stream that the caller
    /// takes up.
    pub resumes: HeaderName,
    /// The time for which an endpoint states that it stays cold, in milliseconds.
    pub cold: HeaderName,
    /// The rate limit that an endpoint states, in requests a second from all nodes together.
    pub rate_limit: HeaderName,
    /// The number of rejections within a second that an endpoint states it tolerates.
    pub tolerance: HeaderName,
    /// The load that an endpoint states: the requests that run and wait there, its slots and how
    /// long work takes there at present, separated by commas.
    pub load: HeaderName,
    /// States that the endpoint is leaving.
    pub leaving: HeaderName,
    /// The time, in seconds, for which an endpoint that rejects a request asks this node to send
    /// it no other requests.
    pub rest: HeaderName,
    /// Headers that control endpoints and that only the system may set. They are removed from
    /// callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for Headers {
    fn default() -> Headers {
        Headers {
            request: HeaderName::from_static("woadstage-request"),
            deadline: HeaderName::from_static("woadstage-timeout-ms"),
            customer: HeaderName::from_static("woadstage-customer"),
            instance: HeaderName::from_static("woadstage-endpoint"),
            not_run: HeaderName::from_static("woadstage-not-run"),
            tokens: HeaderName::from_static("woadstage-tokens"),
            parts: HeaderName::from_static("woadstage-prompt-parts"),
            output_hint: HeaderName::from_static("woadstage-output-hint"),
            last_event: HeaderName::from_static("last-event-id"),
            resumes: HeaderName::from_static("woadstage-resumes"),
            cold: HeaderName::from_static("woadstage-cold-ms"),
            rate_limit: HeaderName::from_static("woadstage-rate-limit"),
            tolerance: HeaderName::from_static("woadstage-tolerance"),
            load: HeaderName::from_static("woadstage-load"),
            leaving: HeaderName::from_static("woadstage-leaving"),
            rest: header::RETRY_AFTER,
            reserved: Vec::new(),
        }
    }
}

impl Headers {
    /// Reads the names from the settings. Those that the settings omit keep their defaults.
    pub fn read(reader: &mut Reader) -> Headers {
        let mut headers = Headers::default();
        let fields: [(&str, &mut HeaderName); 16] = [
            ("request", &mut headers.request),
            ("deadline", &mut headers.deadline),
            ("customer", &mut headers.customer),
            ("instance", &mut headers.instance),
            ("not_run", &mut headers.not_run),
            ("tokens", &mut headers.tokens),
            ("parts", &mut headers.parts),
            ("output_hint", &mut headers.output_hint),
            ("last_event", &mut headers.last_event),
            ("resumes", &mut headers.resumes),
            ("cold", &mut headers.cold),
            ("rate_limit", &mut headers.rate_limit),
            ("tolerance", &mut headers.tolerance),
            ("load", &mut headers.load),
            ("leaving", &mut headers.leaving),
            ("rest", &mut headers.rest),
        ];
        for (field, name) in fields {
            if let Some(text) = reader.take_opt::<String>(field)
                && let Some(parsed) = parse_name(reader, field, &text)
            {
                *name = parsed;
            }
        }
        let reserved: Vec<String> = reader.take_or("reserved", Vec::new());
        let reserved = reserved.iter();
        headers.reserved = reserved
            .filter_map(|text| parse_name(reader, "reserved", text))
            .collect();
        headers
    }

    /// Extracts what the caller states about the prompt.
    pub fn to_prompt(&self, headers: &HeaderMap) -> Prompt {
        let (tokens, output) = self.to_tokens(headers).unwrap_or_default();
        let hint = text(headers, &self.output_hint);
        let mut parts = text(headers, &self.parts).map_or_else(Vec::new, parse_parts);
        let further_parts = parts.split_off(parts.len().min(MAX_CACHED_PARTS));
        Prompt {
            tokens,
            output,
            output_hint: hint.and_then(|hint| hint.trim().parse().ok()),
            parts,
            further_parts: further_parts.into_iter().map(|part| part.id).collect(),
        }
    }

    /// Returns the prompt tokens and the maximum tokens of the answer, or `None` unless both are
    /// stated.
    pub fn to_tokens(&self, headers: &HeaderMap) -> Option<(u64, u64)> {
        let (prompt, output) = text(headers, &self.tokens)?.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    }

    /// Returns how long the caller will wait, in milliseconds, or `None` if it does not state it.
    pub fn to_deadline_ms(&self, headers: &HeaderMap) -> Option<u64> {
        text(headers, &self.deadline)?.trim().parse().ok()
    }
}

/// Parses the name of a header. Records a fault of `field` if it is invalid.
fn parse_name(reader: &mut Reader, field: &str, text: &str) -> Option<HeaderName> {
    let name = text.parse().ok();
    if name.is_none() {
        reader.add_fault(field, Code::SettingsValue, "Give the name of a header.");
    }
    name
}

/// Returns the value of a header, or `None` if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The maximum number of parts of a prompt that are read.
const MAX_PARTS: usize = 512;

/// The maximum number of parts that are matched against cached prefixes.
const MAX_CACHED_PARTS: usize = 32;

fn parse_parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').take(MAX_PARTS).map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}
