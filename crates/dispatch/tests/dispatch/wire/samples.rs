//! Sample messages: one of every kind, with every field in use.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use woadstage_dispatch::binding;
use woadstage_dispatch::booking;
use woadstage_dispatch::cold;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Limits;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Reason;
use woadstage_dispatch::dispatcher::Refusal;
use woadstage_dispatch::edition::Edition;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::lease;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::lease::Details;
use woadstage_dispatch::lease::Event;
use woadstage_dispatch::lease::Observation;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Load;
use woadstage_dispatch::message::LostLinks;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::message::Release;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Reserved;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Unavailability;
use woadstage_dispatch::message::Usage;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::message::Versions;
use woadstage_dispatch::message::Waiting;
use woadstage_dispatch::notice;
use woadstage_dispatch::notice::Condition;
use woadstage_dispatch::parts;
use woadstage_dispatch::protocol::Protocol;
use woadstage_dispatch::quarantine::Finding;
use woadstage_dispatch::queue_report;
use woadstage_dispatch::quota::Denied;
use woadstage_dispatch::rate_limit;
use woadstage_dispatch::rate_limit::Limit;
use woadstage_dispatch::region::Regions;
use woadstage_dispatch::section;
use woadstage_dispatch::section::Difference;
use woadstage_dispatch::stated_load;
use woadstage_dispatch::statement;
use woadstage_dispatch::tolerance;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, last), 7_600)
}

fn edition() -> Edition {
    Edition {
        era: Era(3),
        revision: 1_234,
        settled: true,
    }
}

fn finding() -> Finding {
    Finding {
        feature: Fingerprint(0xfeed_beef).into(),
        cleared: 1,
        ends: vec![7, 9],
        trials: 2,
        age_s: 11,
    }
}

fn status() -> Status {
    let load = |endpoint, unavailability| Load {
        endpoint,
        running: 5,
        pending_tokens: 2_890,
        unavailability,
    };
    Status {
        incarnation: 42,
        sequence: 77,
        configuration: 12,
        endpoints: edition(),
        data_centre: 0xabcd,
        leaving: true,
        platform_unreachable: true,
        loads: vec![
            load(1, None),
            load(2, Some(Unavailability::Failing)),
            load(3, Some(Unavailability::Unreachable)),
            load(4, Some(Unavailability::Gone)),
        ],
        waiting: vec![Waiting {
            service: 8,
            rank: rank(),
            count: 3,
        }],
        usage: vec![Usage {
            customer: 99,
            units: 1 << 33,
        }],
        members: vec![address(1), address(2)],
        quarantine_digest: 0x1234,
        findings: vec![finding()],
        protocol: Protocol::CURRENT,
        rate_limits: vec![
            limit_announcement(5, Some("2.75")),
            limit_announcement(6, None),
        ],
        notices: vec![
            notice(7, Condition::Leaving),
            notice(8, Condition::Rest { left_ms: 2_500 }),
        ],
        lost_links: vec![LostLinks {
            service: 9,
            percent: 92,
        }],
        uptime: Some(Span::from_millis(900)),
        is_late: true,
        tolerances: vec![tolerance(10, Some("12"), 3), tolerance(11, None, 0)],
    }
}

fn tolerance(endpoint: u32, text: Option<&str>, rejections: u16) -> tolerance::Announcement {
    tolerance::Announcement {
        statement: statement::Announcement {
            endpoint,
            value: text.map(|text| text.parse().expect("a tolerance")),
            age_ms: 400,
        },
        rejections,
    }
}

fn notice(endpoint: u32, condition: Condition) -> notice::Announcement {
    notice::Announcement {
        endpoint,
        condition,
    }
}

fn limit_announcement(endpoint: u32, limit: Option<&str>) -> rate_limit::Announcement {
    rate_limit::Announcement {
        endpoint,
        value: limit.map(to_limit),
        age_ms: 1_300,
    }
}

fn to_limit(text: &str) -> Limit {
    text.parse().expect("a limit")
}

fn rank() -> Rank {
    Rank {
        priority: 1,
        urgency: 2,
    }
}

fn lease_request() -> lease::Request {
    lease::Request {
        incarnation: 42,
        number: 5,
        fingerprint: Fingerprint(6),
        service: 8,
        endpoint: Some(3),
        spare: true,
        rank: rank(),
        since_first_try: Span::from_millis(10),
        age: Span::from_millis(20),
        time_limit: Span::from_millis(4_000),
        objective: Span::from_millis(800),
        caller_timeout: Span::from_millis(3_200),
        pause: Some(Span::from_millis(600)),
        prompt: Prompt {
            tokens: 1_460,
            output: 80,
            output_hint: Some(40),
            parts: vec![Part {
                id: 0x5c1e_07a2,
                tokens: 800,
            }],
            further_parts: Vec::new(),
        },
        tried: vec![1, 2],
        avoided: vec![3, 300],
        details: Details {
            customer: Some(77),
            redirected: true,
        },
        software: Some(id::Software::new("1.1")),
    }
}

fn statement() -> binding::Statement {
    binding::Statement {
        key: binding::Key(0x1234_5678_9abc),
        service: 8,
        software: id::Software::new("1.1"),
        valid_for: Span::from_millis(14_000),
    }
}

fn doubt() -> binding::Doubt {
    binding::Doubt {
        endpoint: id::Endpoint::new("e-1"),
        started_at: 1_700_000_000_000,
        settled_in: Span::from_millis(1_500),
    }
}

fn question() -> binding::Question {
    binding::Question {
        number: 6,
        key: statement().key,
        service: 8,
        lifetime: Span::from_secs(30),
    }
}

fn known() -> binding::Answer {
    binding::Answer::Known {
        software: statement().software,
        age: Span::from_millis(250),
    }
}

fn binding_reply(answer: binding::Answer) -> Message {
    Message::BindingReply(binding::Reply { number: 6, answer })
}

fn queue_report() -> queue_report::Report {
    queue_report::Report {
        service: 8,
        endpoint: Some(3),
        free_slots: 2,
        waits: vec![queue_report::Wait {
            rank: rank(),
            wait: Span::from_millis(120),
        }],
    }
}

fn bookings() -> booking::Announcement {
    booking::Announcement {
        service: 8,
        made: vec![booking::Booking {
            fingerprint: Fingerprint(6),
            rank: rank(),
            since_first_try: Span::from_millis(10),
            due_in: Span::from_millis(700),
        }],
        claimed: vec![Fingerprint(9)],
    }
}

fn reason() -> Reason {
    Reason {
        waited: Span::from_millis(1),
        running: 2,
        others: 3,
        uncached: 4,
        unread: 5,
        pace: 1.5,
        oldest: Span::from_millis(6),
    }
}

fn refusal(code: Code) -> Refusal {
    Refusal {
        code,
        retry_after: Some(Span::from_millis(300)),
        wait: Some(Span::from_millis(900)),
        owner: Some(address(3)),
    }
}

/// Returns every kind of datagram, by name.
pub fn messages() -> Vec<(&'static str, Message)> {
    let reserved = |verdict| Message::Reserved(Reserved { number: 4, verdict });
    let leased = |answer| Message::Leased(lease::Reply { number: 5, answer });
    let report = |event| {
        Message::Report(lease::Report {
            number: 5,
            event,
            load: None,
        })
    };
    let with_load = Message::Report(lease::Report {
        number: 5,
        event: Event::First,
        load: Some(stated_load::Load {
            running: 3,
            waiting: 1,
            slots: 6,
            slowness: Some(250),
        }),
    });
    let redirected = Answer::Redirected {
        owner: address(4),
        endpoint: Some(3),
    };
    let limited = |limit: Option<&str>| Event::RateLimit {
        limit: limit.map(to_limit),
    };
    let denied = Denied {
        wait: Span::from_millis(70),
        level: 1.25,
        capacity: 80.0,
        reserved: 3.5,
    };
    let ended = Event::Ended {
        end: End::Whole,
        seen: Observation {
            events: 9,
            step: Some(6_120),
            took: Some(Span::from_millis(64)),
        },
    };
    let reserve = Reserve {
        number: 4,
        customer: 99,
        units: 1_500,
        relative_priority: 50,
        backlogged: true,
    };
    let release = Release {
        customer: 99,
        units: 1_500,
    };
    let granted = Answer::Granted {
        endpoint: 3,
        reason: reason(),
    };
    let cold = Event::Cold {
        cold_for: Span::from_secs(2),
    };
    vec![
        ("status", Message::Status(Box::new(status()))),
        ("reserve", Message::Reserve(reserve)),
        ("reserved-granted", reserved(Verdict::Granted)),
        ("reserved-denied", reserved(Verdict::Denied(denied))),
        ("reserved-unknown", reserved(Verdict::Unknown)),
        ("release", Message::Release(release)),
        ("lease", Message::Lease(Box::new(lease_request()))),
        ("leased-waiting", leased(Answer::Waiting)),
        ("leased-granted", leased(granted)),
        (
            "leased-refused",
            leased(Answer::Refused(refusal(Code::TooLate))),
        ),
        ("leased-denied", leased(Answer::Denied)),
        ("report-held", report(Event::Held)),
        ("report-first", report(Event::First)),
        ("report-progress", report(Event::Progress)),
        ("report-cold", report(cold)),
        ("report-ended", report(ended)),
        ("report-rate-limit", report(limited(Some("0.4")))),
        ("report-rate-limit-ended", report(limited(None))),
        ("check", Message::Check(lease::Check { number: 5 })),
        ("findings", Message::Findings(vec![finding()])),
        ("leased-redirected", leased(redirected)),
        ("report-load", with_load),
        ("queue-report", Message::QueueReport(queue_report())),
        ("bookings", Message::Bookings(bookings())),
        ("bindings", Message::Bindings(vec![statement()])),
        (
            "bindings-kept",
            Message::BindingsKept(vec![statement().key]),
        ),
        ("binding-question", Message::BindingQuestion(question())),
        ("binding-reply-known", binding_reply(known())),
        (
            "binding-reply-sole",
            binding_reply(binding::Answer::Sole(statement().software)),
        ),
        (
            "binding-reply-unknown",
            binding_reply(binding::Answer::Unknown),
        ),
        (
            "binding-reply-disputed",
            binding_reply(binding::Answer::Disputed),
        ),
        (
            "binding-reply-several",
            binding_reply(binding::Answer::Several),
        ),
        (
            "binding-reply-doubted",
            binding_reply(binding::Answer::Doubted {
                settled_in: doubt().settled_in,
            }),
        ),
        (
            "doubted-bindings",
            Message::DoubtedBindings(vec![binding::Doubted {
                statement: statement(),
                doubt: doubt(),
            }]),
        ),
    ]
}

/// Returns a refusal with each code, by name.
pub fn refusals() -> Vec<(String, Message)> {
    let refused = |code: &Code| {
        let answer = Answer::Refused(refusal(*code));
        let message = Message::Leased(lease::Reply { number: 5, answer });
        (format!("refused-{code}"), message)
    };
    Code::ALL.iter().map(refused).collect()
}

fn list() -> List {
    let endpoint = |name: &str, leaving| Endpoint {
        name: id::Endpoint::new(name),
        started_at: 1_700_000_000_123,
        service: id::Target::new("service"),
        address: address(4),
        data_centre: id::DataCentre::new("a"),
        slots: 6,
        leaving,
        cold_for: Span::from_millis(1_500),
        software: Some(id::Software::new(if leaving { "1.1" } else { "1" })),
    };
    List {
        era: Era(3),
        revision: 1_234,
        settled: true,
        evacuated: vec![id::DataCentre::new("b")],
        endpoints: vec![endpoint("e-1", false), endpoint("e-2", true)],
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 12,
        routes: vec![Route {
            name: "route".into(),
            host: "host.example".into(),
            prefix: "/a/".into(),
            targets: vec![(id::Target::new("service"), 3)],
            kind: Kind::Stream,
            timeout: Span::from_secs(4),
            objective: Span::from_millis(800),
            caller_timeout: Span::from_secs(4),
            pause: Some(Span::from_millis(600)),
            attempts: 2,
            priority: 1,
            anonymous: true,
            resumable: true,
            regions: Regions::new([id::Region::new("north"), id::Region::new("south")]),
        }],
        services: vec![Service {
            name: id::Target::new("service"),
            connections: 2_100,
            engine: true,
            cold: Some(cold::Bound {
                interval: Span::from_millis(100),
                duration: Span::from_secs(5),
            }),
            health_path: Some("/health".to_owned()),
        }],
        limits: Limits {
            head: Size::from_kib(16),
            body: Size::from_mib(4),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        },
        customers: Some(vec![Customer {
            name: id::Customer::new("customer"),
            keys: vec![Key::from_secret("secret")],
            priority: Some(1),
            quota: Some(Quota {
                per_second: 20.5,
                burst: 40.0,
                default_tokens: Some(100),
            }),
            regions: Regions::new([id::Region::new("north")]),
        }]),
    }
}

/// Returns every request for documents, by name.
pub fn pulls() -> Vec<(&'static str, Pull)> {
    let held = vec![parts::Part::default().to_digest()];
    let known = Versions {
        configuration: 12,
        endpoints: edition(),
    };
    let pull = Pull {
        known,
        held,
        sections: section::Index::new(&list()),
        protocol: Protocol::CURRENT,
    };
    vec![("pull", pull)]
}

/// Returns every frame of a snapshot, by name.
pub fn frames() -> Vec<(&'static str, Frame)> {
    let configuration = configuration();
    let index = parts::Index::new(&configuration);
    let list = list();
    let sections = section::Index::new(&list);
    let difference = Difference::new(&list, &sections, &section::Index::default());
    let mut frames = vec![
        ("frame-busy", Frame::Busy),
        ("frame-endpoints", Frame::Endpoints(difference)),
        (
            "frame-head",
            Frame::Manifest(index.to_manifest(&configuration)),
        ),
    ];
    let missing = index.to_missing_parts(&configuration, &Default::default());
    let names = ["frame-part-1", "frame-part-2", "frame-part-3"];
    let parts = names.into_iter().zip(missing);
    frames.extend(parts.map(|(name, part)| (name, Frame::Part(part))));
    frames
}
