//! What one process is told about itself, in TOML. Every fault of a file is
//! reported at once.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_config::fault::Faults;
use woadstage_config::read::Reader;
use woadstage_dispatch::budget;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::quota;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use crate::headers::Headers;
use crate::policy;
use crate::policy::number;

/// The settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the entry host.
    pub host: id::Host,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The region of each data centre. Requests that are bound to regions run in none
    /// that is not named here.
    pub regions: HashMap<id::DataCentre, id::Region>,
    /// How long a planned stop may last.
    pub stop_within: Span,
    /// Memory that the process may use.
    pub memory: Size,
    /// Where callers are served.
    pub callers: SocketAddrV4,
    /// Where readiness is asked for.
    pub ready: SocketAddrV4,
    /// The path at which readiness is asked for.
    pub ready_path: String,
    /// Where metrics are served.
    pub metrics: SocketAddrV4,
    /// Where other nodes are met, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// Other nodes that may be there; all use one port.
    pub seeds: Vec<SocketAddrV4>,
    /// Where the platform publishes.
    pub platform: SocketAddrV4,
    /// How long after a fault of the way to the platform all that it published has to be
    /// in force.
    pub regained_within: Span,
    /// How far quotas may be exceeded.
    pub quota: quota::Options,
    /// What may be sent again.
    pub budget: budget::Options,
    /// Bounds and weights of the policy.
    pub policy: Policy,
    /// Header names.
    pub headers: Headers,
}

const UNSET: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);

/// The usual time after a fault of the way to the platform until all is in force.
const REGAINED_WITHIN: Span = Span::from_secs(3);

/// Least memory that a process can be told to do with.
const MEMORY_LEAST: Size = Size::from_mib(32);

/// Parses the settings of one node.
///
/// # Errors
/// Every fault found, each with its place and code.
pub fn parse(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::parse(text)?;
    let mut node = reader.take_table("node");
    let regions = reader.take_or("regions", HashMap::new());
    let mut listen = reader.take_table("listen");
    let mut peers = reader.take_table("peers");
    let mut platform = reader.take_table("platform");
    let mut quota = reader.take_table("quota");
    let mut retry = reader.take_table("retry");
    let mut policy = reader.take_table("policy");
    let mut headers = reader.take_table("headers");
    let settings = Settings {
        host: id::Host::new(&name(&mut node, "host")),
        data_centre: id::DataCentre::new(&name(&mut node, "data_centre")),
        regions,
        stop_within: node.take_or("stop_within", Span::from_secs(8)),
        memory: node.take_or("memory", Size::from_mib(128)),
        callers: address(&mut listen, "callers"),
        ready: address(&mut listen, "ready"),
        ready_path: listen.take_or("ready_path", "/readyz".to_owned()),
        metrics: address(&mut listen, "metrics"),
        peers: address(&mut peers, "address"),
        seeds: seeds(&mut peers),
        platform: address(&mut platform, "address"),
        regained_within: platform.take_or("regained_within", REGAINED_WITHIN),
        quota: read_quota(&mut quota),
        budget: read_budget(&mut retry),
        policy: policy::read(&mut policy),
        headers: Headers::read(&mut headers),
    };
    if settings.memory < MEMORY_LEAST {
        node.add_fault("memory", Code::SettingsValue, "Give at least 32MiB.");
    }
    let mut faults = reader.finish();
    for sub in [node, listen, peers, platform, quota, retry, policy, headers] {
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

fn address(sub: &mut Reader, field: &str) -> SocketAddrV4 {
    let text: String = sub.take(field);
    text.parse().unwrap_or_else(|_| {
        let mend = "Give an address such as \"10.0.0.1:8080\".";
        sub.add_fault(field, Code::SettingsValue, mend);
        UNSET
    })
}

/// Seeds name hosts; the port is that of this node's own peers' address, since
/// all nodes of a fleet use one.
fn seeds(peers: &mut Reader) -> Vec<SocketAddrV4> {
    let texts: Vec<String> = peers.take_or("seeds", Vec::new());
    let port = peers.take_opt::<u16>("seed_port");
    let mut found = Vec::new();
    for text in texts {
        match text.parse::<SocketAddrV4>() {
            Ok(seed) => found.push(SocketAddrV4::new(*seed.ip(), port.unwrap_or(seed.port()))),
            Err(_) => peers.add_fault(
                "seeds",
                Code::SettingsValue,
                "Give addresses such as [\"10.0.0.1:7600\"].",
            ),
        }
    }
    found
}

fn read_quota(sub: &mut Reader) -> quota::Options {
    let usual = quota::Options::default();
    quota::Options {
        overrun: number(sub, "overrun", usual.overrun),
        slack: number(sub, "slack", usual.slack),
        part: number(sub, "part", usual.part),
        part_in_cells: number(sub, "part_in_cells", usual.part_in_cells),
        initial: number(sub, "initial", usual.initial),
        window: sub.take_or("window", usual.window),
        ..usual
    }
}

fn read_budget(sub: &mut Reader) -> budget::Options {
    let usual = budget::Options::default();
    budget::Options {
        ratio: number(sub, "ratio", usual.ratio),
        extra: number(sub, "extra", usual.extra),
        window: sub.take_or("window", usual.window),
        ..usual
    }
}
