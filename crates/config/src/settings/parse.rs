//! Reads the settings and reports every fault in them.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use super::Identity;
use super::Limits;
use super::Settings;
use crate::fault::Faults;
use crate::read::Reader;

/// Shortest and longest waiting read. Longer ones would let a node's word for
/// the host list it read lapse between two reads.
const WAIT_LEAST: Span = Span::from_secs(1);
const WAIT_MOST: Span = Span::from_secs(30);

/// Largest sum of bodies.
const BODIES_MOST: Size = Size::from_mib(1_024);

const UNSET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Parses the settings of one node.
pub fn parse(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::parse(text)?;
    let mut node = reader.take_table("node");
    let mut listen = reader.take_table("listen");
    let mut platform = reader.take_table("platform");
    let mut identity = reader.take_table("identity");
    let mut limits = reader.take_table("limits");
    let settings = Settings {
        host: id::Host::new(&name(&mut node, "host")),
        data_centre: id::DataCentre::new(&name(&mut node, "data_centre")),
        heartbeat: node.take_or("heartbeat", Span::from_millis(100)),
        stop_within: node.take_or("stop_within", Span::from_secs(60)),
        callers: address(&mut listen, "callers"),
        peers: address(&mut listen, "peers"),
        operators: address(&mut listen, "operators"),
        platform: address(&mut platform, "address"),
        platform_wait: platform.take_or("wait", Span::from_secs(30)),
        identity: Identity {
            certificate: identity.take("certificate"),
            key: identity.take("key"),
            authority: identity.take("authority"),
        },
        limits: read_limits(&mut limits),
    };
    if settings.heartbeat < Span::from_millis(10) || settings.heartbeat > Span::from_secs(5) {
        node.add_fault(
            "heartbeat",
            Code::SettingsValue,
            "Give a time from 10ms to 5s.",
        );
    }
    if settings.platform_wait < WAIT_LEAST || settings.platform_wait > WAIT_MOST {
        platform.add_fault("wait", Code::SettingsValue, "Give a time from 1s to 30s.");
    }
    let mut faults = reader.finish();
    for sub in [node, listen, platform, identity, limits] {
        faults.0.append(&mut sub.finish().0);
    }
    faults.into_result(settings)
}

fn name(sub: &mut Reader, field: &str) -> String {
    let text: String = sub.take(field);
    if text.is_empty() {
        sub.add_fault(field, Code::SettingsValue, "Give a name.");
    }
    text
}

fn address(sub: &mut Reader, field: &str) -> SocketAddr {
    let text: String = sub.take(field);
    match text.parse() {
        Ok(address) => address,
        Err(_) => {
            sub.add_fault(
                field,
                Code::SettingsValue,
                "Give an address such as \"10.0.0.1:8080\".",
            );
            UNSET
        }
    }
}

fn read_limits(sub: &mut Reader) -> Limits {
    let usual = Limits::default();
    let found = Limits {
        body: sub.take_or("body", usual.body),
        bodies: sub.take_or("bodies", usual.bodies),
        receive_within: sub.take_or("receive_within", usual.receive_within),
        requests: sub.take_or("requests", usual.requests),
        answers: sub.take_or("answers", usual.answers),
    };
    if found.bodies < found.body || found.bodies > BODIES_MOST {
        let mend = "Give at least the size of one body and at most 1024MiB.";
        sub.add_fault("bodies", Code::SettingsValue, mend);
    }
    if found.requests == 0 {
        sub.add_fault("requests", Code::SettingsValue, "Give a number above zero.");
    }
    found
}
