//! The names under which callers and endpoints speak of requests. They come
//! from the settings, since each platform has its own.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use woadstage_config::read::Reader;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;
use woadstage_types::code::Code;

/// Header names. An empty name in the settings means that there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Names one attempt of a caller; endpoints echo it.
    pub request: HeaderName,
    /// Milliseconds for which the caller, then the endpoint, has use for it.
    pub deadline: HeaderName,
    /// Tells an endpoint which customer asks.
    pub customer: HeaderName,
    /// Tells an endpoint which one is meant.
    pub instance: HeaderName,
    /// An endpoint's word that it did not run the request.
    pub not_run: HeaderName,
    /// Prompt tokens and the most tokens of the answer, with a comma between.
    pub tokens: HeaderName,
    /// The prompt's parts as `ID:TOKENS`, with commas between.
    pub parts: HeaderName,
    /// The caller's estimate of the tokens of the answer.
    pub output_hint: HeaderName,
    /// The last event that arrived, when a stream goes on.
    pub last_event: HeaderName,
    /// Milliseconds for which an endpoint says that it stays cold.
    pub cold: HeaderName,
    /// Requests a second that an endpoint says it takes from all nodes together.
    pub rate_limit: HeaderName,
    /// An endpoint's word that it leaves.
    pub leaving: HeaderName,
    /// Seconds for which an endpoint that turns a request away wants nothing from this
    /// node.
    pub rest: HeaderName,
    /// Fields by which the system gives orders to endpoints. What a caller
    /// sends under these names is dropped.
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
            cold: HeaderName::from_static("woadstage-cold-ms"),
            rate_limit: HeaderName::from_static("woadstage-rate-limit"),
            leaving: HeaderName::from_static("woadstage-leaving"),
            rest: header::RETRY_AFTER,
            reserved: Vec::new(),
        }
    }
}

impl Headers {
    /// Reads the names that the settings give; others keep their defaults.
    pub fn read(reader: &mut Reader) -> Headers {
        let mut headers = Headers::default();
        let fields: [(&str, &mut HeaderName); 13] = [
            ("request", &mut headers.request),
            ("deadline", &mut headers.deadline),
            ("customer", &mut headers.customer),
            ("instance", &mut headers.instance),
            ("not_run", &mut headers.not_run),
            ("tokens", &mut headers.tokens),
            ("parts", &mut headers.parts),
            ("output_hint", &mut headers.output_hint),
            ("last_event", &mut headers.last_event),
            ("cold", &mut headers.cold),
            ("rate_limit", &mut headers.rate_limit),
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

    /// What a caller says of the prompt.
    pub fn to_prompt(&self, headers: &HeaderMap) -> Prompt {
        let (tokens, output) = self.to_tokens(headers).unwrap_or_default();
        let hint = text(headers, &self.output_hint);
        Prompt {
            tokens,
            output,
            output_hint: hint.and_then(|hint| hint.trim().parse().ok()),
            parts: text(headers, &self.parts).map_or_else(Vec::new, parse_parts),
        }
    }

    /// Prompt tokens and the most tokens of the answer, where both are said.
    pub fn to_tokens(&self, headers: &HeaderMap) -> Option<(u64, u64)> {
        let (prompt, output) = text(headers, &self.tokens)?.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    }

    /// The milliseconds that a caller will wait, where it says so.
    pub fn to_deadline_ms(&self, headers: &HeaderMap) -> Option<u64> {
        text(headers, &self.deadline)?.trim().parse().ok()
    }
}

/// A header's name from the settings, or a fault of the `field` that holds it.
fn parse_name(reader: &mut Reader, field: &str, text: &str) -> Option<HeaderName> {
    let name = text.parse().ok();
    if name.is_none() {
        reader.add_fault(field, Code::SettingsValue, "Give the name of a header.");
    }
    name
}

/// A header's value, where it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parts of a prompt that are read; later ones are never shared.
const PARTS_MOST: usize = 32;

fn parse_parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').take(PARTS_MOST).map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}
