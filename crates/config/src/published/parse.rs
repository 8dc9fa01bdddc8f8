//! Parses a published configuration and reports every fault in it.

use std::collections::HashMap;
use std::sync::Arc;

use toml::value::Datetime;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Class;
use super::Config;
use super::Customer;
use super::Event;
use super::Kind;
use super::MAX_DOCUMENT_BYTES;
use super::Target;
use super::Tier;
use super::confirm;
use crate::fault::Faults;
use crate::read::Reader;

/// Parses a complete document and checks its confirmation.
pub fn parse(text: &str) -> Result<Config, Faults> {
    let mut faults = Faults::default();
    if text.len() > MAX_DOCUMENT_BYTES {
        faults.add(
            "file",
            Code::DocumentTooLarge,
            "Remove what is no longer used.",
        );
        return Err(faults);
    }
    let (confirmation, body) = confirm::split(text)?;
    let config = parse_body(body)?;
    Ok(Config {
        confirmation,
        ..config
    })
}

/// Parses the body of a document, without the confirmation.
pub fn parse_body(body: &str) -> Result<Config, Faults> {
    let mut reader = Reader::parse(body)?;
    let tiers: Vec<Arc<str>> = reader.take("tiers");
    if tiers.is_empty() || tiers.len() > usize::from(Tier::MAX) {
        reader.add_fault(
            "tiers",
            Code::SettingsValue,
            "Name between 1 and 255 tiers.",
        );
    }
    let mut faults = Faults::default();
    let mut targets = HashMap::new();
    for (field, kind) in [("models", Kind::Model), ("services", Kind::Service)] {
        for (name, table) in reader.take_named_tables(field) {
            let target = parse_target(&name, kind, table, &mut faults);
            targets.insert(target.name.clone(), Arc::new(target));
        }
    }
    let mut classes = HashMap::new();
    for (name, table) in reader.take_named_tables("classes") {
        let class = parse_class(&name, table, &tiers, &targets, &mut faults);
        classes.insert(class.name.clone(), Arc::new(class));
    }
    for target in targets.values() {
        let path = format!("{}.default_class", target.name);
        match classes.get(&target.default_class) {
            Some(class) if class.target == target.name => {}
            _ => faults.add(
                &path,
                Code::NameUnknown,
                "Name a class declared for this target.",
            ),
        }
    }
    let mut customers = HashMap::new();
    for (name, table) in reader.take_named_tables("customers") {
        let (token, customer) = parse_customer(&name, table, &classes, &mut faults);
        if customers.insert(token, Arc::new(customer)).is_some() {
            let path = format!("customers.{name}.token_sha256");
            faults.add(
                &path,
                Code::NameTwice,
                "Give each customer a token of its own.",
            );
        }
    }
    let mut events = Vec::new();
    for (name, table) in reader.take_named_tables("events") {
        events.push(parse_event(&name, table, &tiers, &mut faults));
    }
    let mut all_faults = reader.finish();
    all_faults.0.append(&mut faults.0);
    let confirmation = Default::default();
    all_faults.into_result(Config {
        confirmation,
        tiers,
        customers,
        classes,
        targets,
        events,
    })
}

fn parse_tier(table: &mut Reader, field: &str, tiers: &[Arc<str>]) -> Tier {
    let name: String = table.take(field);
    match tiers.iter().position(|tier| **tier == *name) {
        Some(index) => index as Tier,
        None => {
            table.add_fault(field, Code::NameUnknown, "Name one of `tiers`.");
            0
        }
    }
}

fn finish(table: Reader, faults: &mut Faults) {
    faults.0.append(&mut table.finish().0);
}

fn parse_target(name: &str, kind: Kind, mut table: Reader, faults: &mut Faults) -> Target {
    let step = match kind {
        Kind::Model => Span::from_millis(10),
        Kind::Service => Span::from_millis(20),
    };
    let target = Target {
        name: id::Target::new(name),
        kind,
        version: table.take_or("version", String::new()),
        default_class: id::Class::new(&table.take::<String>("default_class")),
        slots: table.take_or("slots", 16),
        prefill: table.take_or("prefill", Rate(10_000)),
        step: table.take_or("step", step),
        cache: table.take_or("cache", Tokens(100_000)),
        checks_keys: table.take_or("checks_keys", false),
        priority: table.take_or("priority", false),
    };
    if target.slots == 0 || target.slots > 4_096 {
        table.add_fault(
            "slots",
            Code::SettingsValue,
            "Give a number from 1 to 4096.",
        );
    }
    if target.prefill.0 == 0 {
        table.add_fault("prefill", Code::SettingsValue, "Give a rate above zero.");
    }
    if target.step == Span::ZERO {
        table.add_fault("step", Code::SettingsValue, "Give a time above zero.");
    }
    finish(table, faults);
    target
}

fn parse_class(
    name: &str,
    mut table: Reader,
    tiers: &[Arc<str>],
    targets: &HashMap<id::Target, Arc<Target>>,
    faults: &mut Faults,
) -> Class {
    let class = Class {
        name: id::Class::new(name),
        tier: parse_tier(&mut table, "tier", tiers),
        target: id::Target::new(&table.take::<String>("target")),
        repeatable: table.take("repeatable"),
        plain_keys: table.take_or("plain_keys", false),
        timeout: table.take_or("timeout", Span::from_secs(30)),
        output: table.take_or("output", Tokens(64)),
    };
    if !targets.contains_key(&class.target) {
        table.add_fault(
            "target",
            Code::NameUnknown,
            "Name a declared model or service.",
        );
    }
    if class.timeout == Span::ZERO {
        table.add_fault("timeout", Code::SettingsValue, "Give a time above zero.");
    }
    finish(table, faults);
    class
}

fn parse_customer(
    name: &str,
    mut table: Reader,
    classes: &HashMap<id::Class, Arc<Class>>,
    faults: &mut Faults,
) -> ([u8; 32], Customer) {
    let token = parse_token(&mut table);
    let allowed: Option<Vec<id::Class>> = table.take_opt("classes");
    for class in allowed.iter().flatten() {
        if !classes.contains_key(class) {
            table.add_fault(
                "classes",
                Code::NameUnknown,
                format!("Declare \"{class}\" or drop it."),
            );
        }
    }
    let customer = Customer {
        name: id::Customer::new(name),
        limit: table.take_or("limit", Rate(100)),
        weight: table.take_or("weight", 1),
        classes: allowed,
    };
    if customer.weight == 0 || customer.limit.0 == 0 {
        table.add_fault(
            "weight",
            Code::SettingsValue,
            "Give weight and limit above zero.",
        );
    }
    finish(table, faults);
    (token, customer)
}

fn parse_token(table: &mut Reader) -> [u8; 32] {
    let text: String = table.take("token_sha256");
    let mut bytes = [0; 32];
    let digits: Option<Vec<u8>> = (text.is_ascii() && text.len() == 64)
        .then(|| {
            (0..32)
                .map(|index| u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok())
                .collect()
        })
        .flatten();
    match digits {
        Some(digits) => bytes.copy_from_slice(&digits),
        None => {
            let remedy = "Give the SHA-256 of the bearer token as 64 hex digits.";
            table.add_fault("token_sha256", Code::SettingsValue, remedy);
        }
    }
    bytes
}

fn parse_event(name: &str, mut table: Reader, tiers: &[Arc<str>], faults: &mut Faults) -> Event {
    let start = parse_time(&mut table, "start");
    let end_time = parse_time(&mut table, "end");
    if end_time <= start {
        table.add_fault(
            "end",
            Code::SettingsValue,
            "Let the event end after its start.",
        );
    }
    let event = Event {
        name: name.into(),
        start,
        end: end_time,
        protect: parse_tier(&mut table, "protect", tiers),
        reserve: table.take_or("reserve", 25),
    };
    if event.reserve > 90 {
        table.add_fault(
            "reserve",
            Code::SettingsValue,
            "Reserve at most 90 in a hundred.",
        );
    }
    finish(table, faults);
    event
}

fn parse_time(table: &mut Reader, field: &str) -> Time {
    match table.take_opt::<Datetime>(field).as_ref().and_then(to_time) {
        Some(time) => time,
        None => {
            let remedy = "Give a UTC time such as 2026-12-04T17:00:00Z.";
            table.add_fault(field, Code::SettingsValue, remedy);
            Time(0)
        }
    }
}

/// Returns the days since the Unix epoch, by Howard Hinnant's `days_from_civil` algorithm.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468
}

fn to_time(datetime: &Datetime) -> Option<Time> {
    let (date, time, offset) = (datetime.date?, datetime.time?, datetime.offset?);
    let minutes = match offset {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_civil(date.year.into(), date.month.into(), date.day.into());
    let second = i64::from(time.second.unwrap_or(0));
    let secs = days * 86_400 + i64::from(time.hour) * 3_600 + i64::from(time.minute) * 60 + second;
    u64::try_from(secs - minutes * 60)
        .ok()
        .map(|secs| Time(secs * 1_000_000))
}
