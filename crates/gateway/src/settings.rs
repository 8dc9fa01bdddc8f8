//! The settings of a node, read from a TOML file. All faults of a file are reported together.

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

use crate::connections::Capacity;
use crate::connections::Limits;
use crate::connections::capacity::descriptor_limit;
use crate::headers::Headers;
use crate::policy;
use crate::policy::take_number;

/// The settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the entry host.
    pub host: id::Host,
    /// The data centre of the host.
    pub data_centre: id::DataCentre,
    /// The region of each data centre. Requests that are restricted to regions never run in a
    /// data centre that is not listed here.
    pub regions: HashMap<id::DataCentre, id::Region>,
    /// The maximum duration of a graceful shutdown.
    pub stop_within: Span,
    /// The memory that the process may use.
    pub memory: Size,
    /// The number of descriptors that the process may have: at most as many as the host allows.
    pub descriptors: usize,
    /// The connections that it holds at most.
    pub capacity: Capacity,
    /// The address at which callers are served.
    pub callers: SocketAddrV4,
    /// The address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// The path of the readiness endpoint.
    pub ready_path: String,
    /// The address at which metrics are served.
    pub metrics: SocketAddrV4,
    /// The address for communication with other nodes, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// The addresses of nodes to contact first. All nodes use the same port.
    pub seeds: Vec<SocketAddrV4>,
    /// The address of the platform's store.
    pub platform: SocketAddrV4,
    /// The maximum time after a network fault towards the platform until everything that it
    /// published is in force.
    pub regained_within: Span,
    /// The interval at which endpoints write their entries to the platform.
    pub heartbeat: Span,
    /// The limits on exceeding quotas.
    pub quota: quota::Options,
    /// The retry budget.
    pub budget: budget::Options,
    /// The limits and weights of the scheduling policy.
    pub policy: Policy,
    /// The names of HTTP headers.
    pub headers: Headers,
}

/// Stands in for an address that is missing or invalid, which is a fault.
const UNSET_ADDRESS: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);

/// The default of [`Settings::regained_within`].
const DEFAULT_REGAINED_WITHIN: Span = Span::from_secs(3);

/// The default of [`Settings::heartbeat`].
const DEFAULT_HEARTBEAT: Span = Span::from_millis(1_200);

/// The default of [`Settings::descriptors`], and the smallest number that is accepted.
const DEFAULT_DESCRIPTORS: usize = 4_096;
const MIN_DESCRIPTORS: usize = 512;

/// The smallest memory for bodies that is accepted: two that are buffered.
const MIN_BODY_MEMORY: Size = Size::from_kib(512);

/// The smallest buffer of a socket that is accepted.
const MIN_BUFFER: Size = Size::from_kib(4);

/// The smallest memory limit that is accepted.
const MIN_MEMORY: Size = Size::from_mib(32);

/// Parses the settings of a node.
///
/// # Errors
/// Returns every fault, each with its place and code.
pub fn parse(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::parse(text)?;
    check_end(&mut reader);
    let mut node = reader.take_table("node");
    let regions = reader.take_or("regions", HashMap::new());
    let mut listen = reader.take_table("listen");
    let mut peers = reader.take_table("peers");
    let mut platform = reader.take_table("platform");
    let mut quota = reader.take_table("quota");
    let mut retry = reader.take_table("retry");
    let mut connections = reader.take_table("connections");
    let mut policy = reader.take_table("policy");
    let mut headers = reader.take_table("headers");
    let memory = node.take_or("memory", Size::from_mib(128));
    let descriptors = node.take_or("descriptors", DEFAULT_DESCRIPTORS);
    if descriptors < MIN_DESCRIPTORS {
        node.add_fault("descriptors", Code::SettingsValue, "Give at least 512.");
    }
    let descriptors = descriptors.min(descriptor_limit());
    let settings = Settings {
        host: id::Host::new(&read_name(&mut node, "host")),
        data_centre: id::DataCentre::new(&read_name(&mut node, "data_centre")),
        regions,
        stop_within: node.take_or("stop_within", Span::from_secs(8)),
        memory,
        descriptors,
        capacity: read_capacity(&mut connections, Capacity::new(memory, descriptors)),
        callers: read_address(&mut listen, "callers"),
        ready: read_address(&mut listen, "ready"),
        ready_path: listen.take_or("ready_path", "/readyz".to_owned()),
        metrics: read_address(&mut listen, "metrics"),
        peers: read_address(&mut peers, "address"),
        seeds: read_seeds(&mut peers),
        platform: read_address(&mut platform, "address"),
        regained_within: platform.take_or("regained_within", DEFAULT_REGAINED_WITHIN),
        heartbeat: platform.take_or("heartbeat", DEFAULT_HEARTBEAT),
        quota: read_quota(&mut quota),
        budget: read_budget(&mut retry),
        policy: policy::read(&mut policy),
        headers: Headers::read(&mut headers),
    };
    if settings.memory < MIN_MEMORY {
        node.add_fault("memory", Code::SettingsValue, "Give at least 32MiB.");
    }
    check_addresses(&settings, &mut listen, &mut peers);
    let mut faults = reader.finish();
    let tables = [
        node,
        listen,
        peers,
        platform,
        quota,
        retry,
        connections,
        policy,
        headers,
    ];
    for table in tables {
        faults.0.append(&mut table.finish().0);
    }
    faults.into_result(settings)
}

/// Reports that the file lacks the table with which it says at its start that it ends. Most settings
/// have defaults, so that a file which is cut at the end of a line would count as a whole one.
fn check_end(reader: &mut Reader) {
    let Some(name) = reader.take_opt::<String>("last_table") else {
        return;
    };
    if reader.take_opt::<toml::Table>(&name).is_none() {
        let hint = "The file ends before this table.";
        reader.add_fault(&name, Code::SettingsMissing, hint);
    }
}

/// Reports an address that is given to more than one listener.
fn check_addresses(settings: &Settings, listen: &mut Reader, peers: &mut Reader) {
    let mut taken = vec![settings.callers];
    let mut check = |table: &mut Reader, field: &str, address: SocketAddrV4| {
        // With port 0 the host picks a port for each.
        if address.port() != 0 && taken.contains(&address) {
            let hint = "Give each listener an address of its own.";
            table.add_fault(field, Code::SettingsValue, hint);
        }
        taken.push(address);
    };
    check(listen, "ready", settings.ready);
    check(listen, "metrics", settings.metrics);
    check(peers, "address", settings.peers);
}

fn read_name(table: &mut Reader, field: &str) -> String {
    let text: String = table.take(field);
    if text.is_empty() {
        table.add_fault(field, Code::SettingsValue, "Give a name.");
    }
    text
}

fn read_address(table: &mut Reader, field: &str) -> SocketAddrV4 {
    let text: String = table.take(field);
    text.parse().unwrap_or_else(|_| {
        let hint = "Give an address such as \"10.0.0.1:8080\".";
        table.add_fault(field, Code::SettingsValue, hint);
        UNSET_ADDRESS
    })
}

/// Reads the seeds. `seed_port`, if given, replaces the port of every seed, since all nodes of a
/// fleet use the same one.
fn read_seeds(peers: &mut Reader) -> Vec<SocketAddrV4> {
    let texts: Vec<String> = peers.take_or("seeds", Vec::new());
    let port = peers.take_opt::<u16>("seed_port");
    let mut addresses = Vec::new();
    for text in texts {
        match text.parse::<SocketAddrV4>() {
            Ok(seed) => addresses.push(SocketAddrV4::new(*seed.ip(), port.unwrap_or(seed.port()))),
            Err(_) => peers.add_fault(
                "seeds",
                Code::SettingsValue,
                "Give addresses such as [\"10.0.0.1:7600\"].",
            ),
        }
    }
    addresses
}

/// Reads the limits of connections.
fn read_capacity(table: &mut Reader, defaults: Capacity) -> Capacity {
    let mut take = |field: &str, default: usize| {
        let value = table.take_or(field, default);
        if value == 0 {
            table.add_fault(field, Code::SettingsValue, "Give a number from 1 on.");
        }
        value
    };
    let ahead = defaults.callers.requests_ahead_per_s as usize;
    let requests_ahead_per_s = take("requests_ahead_per_s", ahead) as u64;
    let small_pieces = take("small_pieces_per_s", defaults.small_pieces_per_s as usize);
    let capacity = Capacity {
        callers: Limits {
            open: take("callers", defaults.callers.open),
            active: take("callers_active", defaults.callers.active),
            stalled: take("callers_unread", defaults.callers.stalled),
            requests_ahead_per_s,
        },
        ready: Limits {
            open: take("ready", defaults.ready.open),
            requests_ahead_per_s,
            ..defaults.ready
        },
        metrics: Limits {
            open: take("metrics", defaults.metrics.open),
            requests_ahead_per_s,
            ..defaults.metrics
        },
        nodes: Limits {
            open: take("nodes", defaults.nodes.open),
            requests_ahead_per_s,
            ..defaults.nodes
        },
        idle_endpoints: take("idle_endpoints", defaults.idle_endpoints),
        small_pieces_per_s: small_pieces as u64,
        ..defaults
    };
    let mut take_size = |field: &str, default: Size, min: Size| {
        let size = table.take_or(field, default);
        if size < min {
            table.add_fault(field, Code::SettingsValue, format!("Give at least {min}."));
        }
        size
    };
    Capacity {
        body_memory: take_size("body_memory", capacity.body_memory, MIN_BODY_MEMORY),
        callers_buffer: take_size("callers_buffer", capacity.callers_buffer, MIN_BUFFER),
        endpoints_buffer: take_size("endpoints_buffer", capacity.endpoints_buffer, MIN_BUFFER),
        ..capacity
    }
}

fn read_quota(table: &mut Reader) -> quota::Options {
    let defaults = quota::Options::default();
    quota::Options {
        overrun: take_number(table, "overrun", defaults.overrun),
        slack: take_number(table, "slack", defaults.slack),
        part: take_number(table, "part", defaults.part),
        part_in_cells: take_number(table, "part_in_cells", defaults.part_in_cells),
        initial: take_number(table, "initial", defaults.initial),
        window: table.take_or("window", defaults.window),
        ..defaults
    }
}

fn read_budget(table: &mut Reader) -> budget::Options {
    let defaults = budget::Options::default();
    budget::Options {
        ratio: take_number(table, "ratio", defaults.ratio),
        extra: take_number(table, "extra", defaults.extra),
        window: table.take_or("window", defaults.window),
        ..defaults
    }
}
