//! Reads a document and reports every fault in it.

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

/// Parses a whole document and checks its confirmation.
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

/// Parses the part after the confirmation.
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
        for (name, sub) in reader.take_named_tables(field) {
            let target = target(&name, kind, sub, &mut faults);
            targets.insert(target.name.clone(), Arc::new(target));
        }
    }
    let mut classes = HashMap::new();
    for (name, sub) in reader.take_named_tables("classes") {
        let class = class(&name, sub, &tiers, &targets, &mut faults);
        classes.insert(class.name.clone(), Arc::new(class));
    }
    for target in targets.values() {
        let place = format!("{}.default_class", target.name);
        match classes.get(&target.default_class) {
            Some(class) if class.target == target.name => {}
            _ => faults.add(
                &place,
                Code::NameUnknown,
                "Name a class declared for this target.",
            ),
        }
    }
    let mut customers = HashMap::new();
    for (name, sub) in reader.take_named_tables("customers") {
        let (token, customer) = customer(&name, sub, &classes, &mut faults);
        if customers.insert(token, Arc::new(customer)).is_some() {
            let place = format!("customers.{name}.token_sha256");
            faults.add(
                &place,
                Code::NameTwice,
                "Give each customer a token of its own.",
            );
        }
    }
    let mut events = Vec::new();
    for (name, sub) in reader.take_named_tables("events") {
        events.push(event(&name, sub, &tiers, &mut faults));
    }
    let mut all = reader.finish();
    all.0.append(&mut faults.0);
    let confirmation = Default::default();
    all.into_result(Config {
        confirmation,
        tiers,
        customers,
        classes,
        targets,
        events,
    })
}

fn tier(sub: &mut Reader, field: &str, tiers: &[Arc<str>]) -> Tier {
    let name: String = sub.take(field);
    match tiers.iter().position(|tier| **tier == *name) {
        Some(index) => index as Tier,
        None => {
            sub.add_fault(field, Code::NameUnknown, "Name one of `tiers`.");
            0
        }
    }
}

fn end(sub: Reader, faults: &mut Faults) {
    faults.0.append(&mut sub.finish().0);
}

fn target(name: &str, kind: Kind, mut sub: Reader, faults: &mut Faults) -> Target {
    let step = match kind {
        Kind::Model => Span::from_millis(10),
        Kind::Service => Span::from_millis(20),
    };
    let found = Target {
        name: id::Target::new(name),
        kind,
        version: sub.take_or("version", String::new()),
        default_class: id::Class::new(&sub.take::<String>("default_class")),
        slots: sub.take_or("slots", 16),
        prefill: sub.take_or("prefill", Rate(10_000)),
        step: sub.take_or("step", step),
        cache: sub.take_or("cache", Tokens(100_000)),
        checks_keys: sub.take_or("checks_keys", false),
        priority: sub.take_or("priority", false),
    };
    if found.slots == 0 || found.slots > 4_096 {
        sub.add_fault(
            "slots",
            Code::SettingsValue,
            "Give a number from 1 to 4096.",
        );
    }
    if found.prefill.0 == 0 {
        sub.add_fault("prefill", Code::SettingsValue, "Give a rate above zero.");
    }
    if found.step == Span::ZERO {
        sub.add_fault("step", Code::SettingsValue, "Give a time above zero.");
    }
    end(sub, faults);
    found
}

fn class(
    name: &str,
    mut sub: Reader,
    tiers: &[Arc<str>],
    targets: &HashMap<id::Target, Arc<Target>>,
    faults: &mut Faults,
) -> Class {
    let found = Class {
        name: id::Class::new(name),
        tier: tier(&mut sub, "tier", tiers),
        target: id::Target::new(&sub.take::<String>("target")),
        repeatable: sub.take("repeatable"),
        plain_keys: sub.take_or("plain_keys", false),
        timeout: sub.take_or("timeout", Span::from_secs(30)),
        output: sub.take_or("output", Tokens(64)),
    };
    if !targets.contains_key(&found.target) {
        sub.add_fault(
            "target",
            Code::NameUnknown,
            "Name a declared model or service.",
        );
    }
    if found.timeout == Span::ZERO {
        sub.add_fault("timeout", Code::SettingsValue, "Give a time above zero.");
    }
    end(sub, faults);
    found
}

fn customer(
    name: &str,
    mut sub: Reader,
    classes: &HashMap<id::Class, Arc<Class>>,
    faults: &mut Faults,
) -> ([u8; 32], Customer) {
    let token = token(&mut sub);
    let allowed: Option<Vec<id::Class>> = sub.take_opt("classes");
    for class in allowed.iter().flatten() {
        if !classes.contains_key(class) {
            sub.add_fault(
                "classes",
                Code::NameUnknown,
                format!("Declare \"{class}\" or drop it."),
            );
        }
    }
    let found = Customer {
        name: id::Customer::new(name),
        limit: sub.take_or("limit", Rate(100)),
        weight: sub.take_or("weight", 1),
        classes: allowed,
    };
    if found.weight == 0 || found.limit.0 == 0 {
        sub.add_fault(
            "weight",
            Code::SettingsValue,
            "Give weight and limit above zero.",
        );
    }
    end(sub, faults);
    (token, found)
}

fn token(sub: &mut Reader) -> [u8; 32] {
    let text: String = sub.take("token_sha256");
    let mut bytes = [0; 32];
    let digits: Option<Vec<u8>> = (text.is_ascii() && text.len() == 64)
        .then(|| {
            (0..32)
                .map(|at| u8::from_str_radix(&text[at * 2..at * 2 + 2], 16).ok())
                .collect()
        })
        .flatten();
    match digits {
        Some(digits) => bytes.copy_from_slice(&digits),
        None => {
            let mend = "Give the SHA-256 of the bearer token as 64 hex digits.";
            sub.add_fault("token_sha256", Code::SettingsValue, mend);
        }
    }
    bytes
}

fn event(name: &str, mut sub: Reader, tiers: &[Arc<str>], faults: &mut Faults) -> Event {
    let start = time(&mut sub, "start");
    let end_time = time(&mut sub, "end");
    if end_time <= start {
        sub.add_fault(
            "end",
            Code::SettingsValue,
            "Let the event end after its start.",
        );
    }
    let found = Event {
        name: name.into(),
        start,
        end: end_time,
        protect: tier(&mut sub, "protect", tiers),
        reserve: sub.take_or("reserve", 25),
    };
    if found.reserve > 90 {
        sub.add_fault(
            "reserve",
            Code::SettingsValue,
            "Reserve at most 90 in a hundred.",
        );
    }
    end(sub, faults);
    found
}

fn time(sub: &mut Reader, field: &str) -> Time {
    match sub.take_opt::<Datetime>(field).as_ref().and_then(to_time) {
        Some(time) => time,
        None => {
            let mend = "Give a UTC time such as 2026-12-04T17:00:00Z.";
            sub.add_fault(field, Code::SettingsValue, mend);
            Time(0)
        }
    }
}

/// Days from the epoch by Howard Hinnant's `days_from_civil`.
fn days(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468
}

fn to_time(at: &Datetime) -> Option<Time> {
    let (date, time, offset) = (at.date?, at.time?, at.offset?);
    let minutes = match offset {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days(date.year.into(), date.month.into(), date.day.into());
    let second = i64::from(time.second.unwrap_or(0));
    let secs = days * 86_400 + i64::from(time.hour) * 3_600 + i64::from(time.minute) * 60 + second;
    u64::try_from(secs - minutes * 60)
        .ok()
        .map(|secs| Time(secs * 1_000_000))
}
