//! Numbered result codes, each with its HTTP status and the outcome of
//! the request that it states to the caller. A test compares `docs/CODES.md` with this table.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether an endpoint ran a request, as stated to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// An endpoint ran the request and this is its response.
    Ran,
    /// A guarantee that the request was not sent to any endpoint and will not be.
    NotRun,
    /// This node cannot determine whether the request ran.
    Unknown,
    /// The code does not describe the execution of a request; most such codes describe
    /// faults in settings or configuration.
    None,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::None => "-",
        })
    }
}

/// Declares [`Code`] from one table of number, HTTP status, outcome and meaning.
macro_rules! define_codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// A numbered result code. A number is never reused for another meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes, in the order of their declaration.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the HTTP status of a response with this code, or 0 if no caller receives it.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status),* }
            }

            /// Returns whether the request ran, as stated to the caller.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome),* }
            }

            /// Returns the meaning of the code in one sentence.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text),* }
            }
        }
    };
}

define_codes! {
    Ran = 0, 200, Ran, "The request ran and this is the endpoint's answer.";

    BodyTooLarge = 1001, 413, NotRun, "The body is larger than this node takes.";
    BodyNotJson = 1002, 400, NotRun, "The body is not a JSON request of the expected form.";
    CustomerUnknown = 1003, 401, NotRun, "The bearer token names no customer.";
    ClassUnknown = 1004, 400, NotRun, "The class is not declared for this target and customer.";
    ModelUnknown = 1005, 404, NotRun, "No such model is declared.";
    KeyMissing = 1006, 400, NotRun, "A class that is not repeatable needs an Idempotency-Key.";
    HeaderInvalid = 1007, 400, NotRun, "A request header has the wrong form.";
    ServiceUnknown = 1008, 404, NotRun, "No such service is declared.";
    BodyTooSlow = 1009, 408, NotRun, "The body did not arrive in time.";
    TicketNeeded = 1010, 428, NotRun, "This endpoint does not check keys: send the request with the ticket given here as its Idempotency-Key.";
    TicketInvalid = 1011, 400, NotRun, "This ticket was never issued to this customer.";
    BodyCutOff = 1012, 400, NotRun, "The body ended before its announced length.";
    PathUnknown = 1013, 404, NotRun, "There is nothing at this path.";
    RouteUnknown = 1014, 404, NotRun, "No route matches this host and path.";

    QueueFull = 2001, 503, NotRun, "Every place in the queue is held by work at least as protected.";
    TooLate = 2002, 503, NotRun, "The request could not have been finished in time.";
    CustomerLimit = 2003, 429, NotRun, "The customer is over its limit.";
    NoEndpoint = 2004, 503, NotRun, "No endpoint for this target is live.";
    Displaced = 2005, 503, NotRun, "More protected work took the place in the queue.";
    Stopping = 2006, 503, NotRun, "This node is stopping and takes no new work.";
    NotReady = 2007, 503, NotRun, "This node has no configuration in force yet.";
    EndpointRefused = 2008, 503, NotRun, "No endpoint could be connected to before anything was sent.";
    CallerGone = 2009, 499, NotRun, "The caller went away before the request was sent.";
    NodeBusy = 2010, 503, NotRun, "This node holds as many requests as its memory allows.";
    Barred = 2011, 503, NotRun, "Endpoints ended while they ran what this request asks for: it is not run again.";

    OwnerGone = 3001, 409, Unknown, "The node that this key names is not known here: it may have run the request.";
    OwnerLost = 3002, 502, Unknown, "The connection to the node that this key names broke.";
    EndpointLost = 3003, 502, Unknown, "The connection to the endpoint broke after the request was sent.";
    AnswerDropped = 3004, 409, Unknown, "The key was used before and its answer is no longer held.";
    AnswerLate = 3005, 504, Unknown, "Time ran out after the request was sent.";
    TicketExpired = 3006, 409, Unknown, "The ticket is older than this node remembers.";
    KeyTooOld = 3007, 409, Unknown, "This node cannot tell whether another was given this key.";
    StreamBroken = 3008, 502, Unknown, "The answer broke off; what was sent is not whole.";
    KeyInUse = 3009, 409, Unknown, "The key was used for another request than this one.";
    CallerLeft = 3010, 499, Unknown, "The caller went away after the request was sent.";

    EndpointFault = 4001, 502, Unknown, "The endpoint answered with a fault of its own.";

    SettingsSyntax = 5001, 0, None, "The file is not TOML of the expected form.";
    SettingsValue = 5002, 0, None, "A value has the wrong form or lies outside its range.";
    NameTwice = 5003, 0, None, "A name is declared twice.";
    NameUnknown = 5004, 0, None, "A name is used that is not declared.";
    DigestMismatch = 5005, 0, None, "The confirmation does not match the content.";
    BaseMismatch = 5006, 0, None, "The document was planned against another than the one in force.";
    RevisionOld = 5007, 0, None, "The document is not newer than the one in force.";
    DocumentTooLarge = 5008, 0, None, "The document is larger than the platform holds.";
    IntentInvalid = 5009, 0, None, "The intent cannot be laid over the document in force.";
    RequestUnknown = 5010, 0, None, "This node remembers no such request.";

    // Nodes exchange codes by their index in this list, so new codes are appended here.
    RegionClosed = 2012, 503, NotRun, "No endpoint is live in the regions where this request may run.";
    StreamUnknown = 2013, 503, NotRun, "No node knows which software version began the stream that this request takes up.";
    SoftwareGone = 2014, 503, NotRun, "No endpoint of the software version that began this stream is live.";
    PartBarred = 2015, 503, NotRun, "Endpoints ended while they ran requests with a part of this prompt: it is not run again.";
    SettingsMissing = 5011, 0, None, "The settings file is missing or incomplete.";
    AddressInUse = 5012, 0, None, "Another process uses this address.";
    HostRefused = 5013, 0, None, "The host refuses this address or file.";
    HostExhausted = 5014, 0, None, "The host has no descriptor, thread or memory left.";
    TaskFailed = 5015, 0, None, "A task of the process failed.";
}

impl Code {
    /// Returns the number, as sent in the `Woadstage-Code` header.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Whether a later attempt may succeed, so that the response carries `Retry-After`.
    pub fn is_transient(self) -> bool {
        matches!(
            self.number(),
            2001..=2008 | 2010 | 2011 | 2012 | 2014 | 2015
        )
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "W{:04}", self.number())
    }
}
