//! What one item of each kind of state and message costs: memory by the growth
//! of the process, bytes on the wire by encoding, processor time by the clock.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Instant;

use anyhow::Context;
use woadstage_bench::fixture;
use woadstage_config::plan;
use woadstage_config::published;
use woadstage_core::ledger::Claim;
use woadstage_core::ledger::Claimant;
use woadstage_core::ledger::Key;
use woadstage_core::ledger::Ledger;
use woadstage_core::limit::Customers;
use woadstage_core::message::Heartbeat;
use woadstage_core::message::Message;
use woadstage_core::pool::Ask;
use woadstage_core::pool::End;
use woadstage_core::pool::Peer;
use woadstage_core::pool::Pool;
use woadstage_core::pool::prefix_cache::PrefixCache;
use woadstage_node::peers::wire;
use woadstage_standin::sample;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

const NOW: Time = Time(1_796_000_000_000_000);

/// Bytes of a page, as Linux counts resident memory here.
const PAGE: u64 = 4_096;

fn resident() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .context("no resident pages")?
        .parse()?;
    Ok(pages * PAGE)
}

/// Makes something, keeps it, and prints what one of `count` items took.
fn weigh<T>(what: &str, count: u64, make: impl FnOnce() -> T) -> anyhow::Result<T> {
    let before = resident()?;
    let start = Instant::now();
    let made = make();
    let nanos = start.elapsed().as_nanos() as u64 / count;
    let bytes = resident()?.saturating_sub(before) / count;
    println!("| {what} | {count} | {bytes} B | {nanos} ns |");
    Ok(made)
}

fn customers(count: u64) -> String {
    let mut text = sample::ROSTER.to_string();
    for at in 0..count {
        let digest =
            published::sha256(&at.to_string())
                .iter()
                .fold(String::new(), |mut hex, byte| {
                    let _ = write!(hex, "{byte:02x}");
                    hex
                });
        let _ = write!(
            text,
            "\n[[customers]]\nname = \"customer-{at}\"\ntoken_sha256 = \"{digest}\"\nlimit = \"50/s\"\n"
        );
    }
    text
}

fn peer() -> Peer {
    Peer {
        host: id::Host::new("entry-host-100"),
        incarnation: id::Incarnation(u128::MAX),
    }
}

fn ask(number: u64, blocks: u64) -> Ask {
    Ask {
        request: id::Request(u128::MAX - u128::from(number)),
        attempt: 1,
        class: id::Class::new("handover-summary"),
        tier: 1,
        customer: number % 30_000 + (1 << 60),
        weight: 1,
        prompt: Tokens(2_000),
        output: Tokens(160),
        output_limit: Some(Tokens(500)),
        left: Span::from_secs(3_000),
        blocks: (0..blocks)
            .map(|block| number * 64 + block + (1 << 60))
            .collect(),
        avoid: None,
    }
}

fn queued_pool(queued: u64) -> Pool {
    let mut pool = fixture::pool(1);
    for number in 0..queued {
        pool.ask(NOW, peer(), ask(number, 16));
    }
    pool
}

fn states() -> anyhow::Result<()> {
    println!("| state | items | memory an item | time an item |\n| --- | --- | --- | --- |");
    let body = customers(30_000);
    let bytes = customers(30_000).len() - customers(0).len();
    let _config = weigh("customer in a configuration, parsed", 30_000, || {
        published::parse_body(&body).expect("no faults")
    })?;
    let _pool = weigh("request in a queue", 10_000, || queued_pool(10_000))?;
    let _ledger = weigh("ticket issued", 65_536, || {
        let mut ledger = Ledger::new(id::Incarnation(1), NOW, Size::from_mib(4));
        (0..65_536).for_each(|_| {
            ledger.try_issue(7);
        });
        ledger
    })?;
    let _used = weigh("ticket used, answer recorded", 8_192, || {
        let mut ledger = Ledger::new(id::Incarnation(1), NOW, Size::from_mib(4));
        for number in 0..8_192u128 {
            let Some(ticket) = ledger.try_issue(7) else {
                continue;
            };
            let request = id::Request(number);
            let by = Claimant {
                request,
                customer: 7,
                fingerprint: 1,
                endpoint_checks: false,
            };
            if ledger.claim(NOW, &Key::Ticket(ticket), by) == Claim::First {
                ledger.record(request, Some(Size(512)));
            }
        }
        ledger
    })?;
    let _buckets = weigh("customer's bucket", 4_096, || {
        let mut buckets = Customers::default();
        (0..4_096).for_each(|customer| {
            buckets.admit(NOW, customer, Rate(50), 8);
        });
        buckets
    })?;
    let _hints = weigh("prefix hint", 20_000, || {
        let mut warm = PrefixCache::new(20_000);
        (0..20_000u64).for_each(|block| warm.record(&[block], (block % 32) as usize));
        warm
    })?;
    let _workers = weigh("endpoint in a pool", 3_100, || {
        let names: HashMap<u64, id::Endpoint> = (0..3_100)
            .map(|at| (at, id::Endpoint::new(&format!("endpoint-{at}"))))
            .collect();
        let workers: Vec<_> = names
            .values()
            .map(|name| woadstage_core::pool::worker::Worker::new(name.clone(), 1.0, 1.0, 16))
            .collect();
        (names, workers)
    })?;
    println!("\na customer in the document: {} B of text", bytes / 30_000);
    let held = sample::document();
    let start = Instant::now();
    let intent = "[[customers]]\nname = \"customer-2\"\nlimit = \"7/s\"\n";
    plan::build(&held, intent).map_err(|faults| anyhow::anyhow!("{faults}"))?;
    println!(
        "a plan over five customers: {} us",
        start.elapsed().as_micros()
    );
    Ok(())
}

fn messages() -> anyhow::Result<()> {
    let target = id::Target::new("roster-model");
    let request = id::Request(u128::MAX);
    let endpoint = id::Endpoint::new("cluj-a-engine-17");
    let whole = End::Whole {
        prompt: Tokens(2_000),
        cached: Tokens(512),
        output: Tokens(160),
    };
    let tokens = (endpoint.clone(), Tokens(40), Span::from_millis(400));
    let heartbeat = Heartbeat {
        revision: 4_000,
        index: 90_000,
        digest: u64::MAX,
        hosts_index: 90_000,
        hosts_confirmed: true,
        leaving: false,
        serves: vec![id::Incarnation(u128::MAX)],
    };
    let all = [
        ("heartbeat", Message::Heartbeat(heartbeat)),
        (
            "ask, 16 blocks",
            Message::Ask {
                target: target.clone(),
                ask: ask(1, 16),
            },
        ),
        (
            "grant",
            Message::Grant {
                target: target.clone(),
                request,
                attempt: 1,
                endpoint,
            },
        ),
        (
            "refuse",
            Message::Refuse {
                request,
                attempt: 1,
                code: Code::TooLate,
                retry_after: Span::from_secs(2),
            },
        ),
        (
            "first",
            Message::First {
                target: target.clone(),
                request,
            },
        ),
        (
            "done",
            Message::Done {
                target: target.clone(),
                request,
                attempt: 1,
                end: whole,
            },
        ),
        (
            "progress, one endpoint",
            Message::Progress {
                target,
                endpoints: vec![tokens],
            },
        ),
    ];
    println!("\n| message | bytes framed | time to encode and decode |\n| --- | --- | --- |");
    for (name, message) in all {
        let frame = wire::to_frame(&message)?;
        let turns = 10_000;
        let start = Instant::now();
        for _ in 0..turns {
            let bytes = wire::to_frame(&message)?;
            std::hint::black_box(wire::decode::<Message>(&bytes[4..])?);
        }
        let nanos = start.elapsed().as_nanos() / turns;
        println!("| {name} | {} | {nanos} ns |", frame.len());
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    states()?;
    messages()
}
