//! Parses the settings of a node and reports every fault in them.

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

/// The minimum duration of a long poll of the platform.
const MIN_PLATFORM_WAIT: Span = Span::from_secs(1);
/// The maximum duration of a long poll of the platform. With a longer one, a node's
/// confirmation that its host list is current would expire between two polls.
const MAX_PLATFORM_WAIT: Span = Span::from_secs(30);

/// The upper limit for the total size of the request bodies held at once.
const MAX_TOTAL_BODIES: Size = Size::from_mib(1_024);

/// The placeholder for an address that cannot be parsed; a fault is reported with it.
const INVALID_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Parses the settings of one node.
pub fn parse(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::parse(text)?;
    let mut node = reader.take_table("node");
    let mut listen = reader.take_table("listen");
    let mut platform = reader.take_table("platform");
    let mut identity = reader.take_table("identity");
    let mut limits = reader.take_table("limits");
    let settings = Settings {
        host: id::Host::new(&read_name(&mut node, "host")),
        data_centre: id::DataCentre::new(&read_name(&mut node, "data_centre")),
        heartbeat: node.take_or("heartbeat", Span::from_millis(100)),
        stop_within: node.take_or("stop_within", Span::from_secs(60)),
        callers: read_address(&mut listen, "callers"),
        peers: read_address(&mut listen, "peers"),
        operators: read_address(&mut listen, "operators"),
        platform: read_address(&mut platform, "address"),
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
    if settings.platform_wait < MIN_PLATFORM_WAIT || settings.platform_wait > MAX_PLATFORM_WAIT {
        platform.add_fault("wait", Code::SettingsValue, "Give a time from 1s to 30s.");
    }
    let mut faults = reader.finish();
    for table in [node, listen, platform, identity, limits] {
        faults.0.append(&mut table.finish().0);
    }
    faults.into_result(settings)
}

fn read_name(table: &mut Reader, field: &str) -> String {
    let text: String = table.take(field);
    if text.is_empty() {
        table.add_fault(field, Code::SettingsValue, "Give a name.");
    }
    text
}

fn read_address(table: &mut Reader, field: &str) -> SocketAddr {
    let text: String = table.take(field);
    match text.parse() {
        Ok(address) => address,
        Err(_) => {
            table.add_fault(
                field,
                Code::SettingsValue,
                "Give an address such as \"10.0.0.1:8080\".",
            );
            INVALID_ADDRESS
        }
    }
}

fn read_limits(table: &mut Reader) -> Limits {
    let defaults = Limits::default();
    let limits = Limits {
        body: table.take_or("body", defaults.body),
        bodies: table.take_or("bodies", defaults.bodies),
        receive_within: table.take_or("receive_within", defaults.receive_within),
        requests: table.take_or("requests", defaults.requests),
        answers: table.take_or("answers", defaults.answers),
    };
    if limits.bodies < limits.body || limits.bodies > MAX_TOTAL_BODIES {
        let remedy = "Give at least the size of one body and at most 1024MiB.";
        table.add_fault("bodies", Code::SettingsValue, remedy);
    }
    if limits.requests == 0 {
        table.add_fault("requests", Code::SettingsValue, "Give a number above zero.");
    }
    limits
}
