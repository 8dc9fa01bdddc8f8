//! Workers come back under their ids with newer software while the store is down.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Worker;

/// The nodes, and the clients at each of them.
const NODES: usize = 3;
const CLIENTS: usize = 13;

/// The workers, of which one crashes: a share of 0.25.
const WORKERS: usize = 4;

/// How long clients wait for the next event: the longest of two seconds, four times the objective
/// and eight times the pause of the route.
const PATIENCE: Duration = Duration::from_secs(2);

/// Runs the case and returns whether the rule held.
pub fn run(program: &Path, folder: &Path, record: &Arc<Record>, trouble: &str) -> io::Result<bool> {
    let mut fleet = Fleet::start(folder)?;
    fleet.configure(&fleet::stream_configuration())?;
    let runs = folder.join("runs.log");
    let mut described = Vec::new();
    for number in 0..WORKERS {
        described.push(Worker {
            id: format!("i-{number}"),
            address: format!("127.0.2.{}:{}", number + 1, fleet::free_port()?),
            service: "huvo11a".to_owned(),
            version: "v1".to_owned(),
            slots: 10,
            store: fleet.store_address.clone(),
            log: runs.to_string_lossy().into_owned(),
            events: 24,
            work: Duration::from_millis(60),
        });
    }
    let mut workers = Vec::new();
    for worker in &described {
        workers.push(fleet.start_worker(worker)?);
    }
    fleet.start_nodes(program, NODES)?;
    thread::sleep(Duration::from_secs(3));
    record.line("the nodes are ready");
    let start = Instant::now();
    let until = start + Duration::from_secs(14);
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..NODES * CLIENTS {
        let (address, record, mixed) = (fleet.front(client % NODES), record.clone(), mixed.clone());
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let attempt = format!("{:016x}", 0x9c41_0000_0000_0000 + client * 1000 + number);
                let request = client::stream_request("/pufi791/2f", &attempt, 12_000, None);
                record.line(&format!("client {client} sends {attempt} to {address}"));
                let seen = client::send(&address, &request, PATIENCE, None);
                let versions = versions(&seen.body);
                record.line(&format!(
                    "client {client} got {} for {attempt}, whole {}, events of {versions:?}: {}",
                    seen.status,
                    seen.is_whole,
                    String::from_utf8_lossy(&seen.body).replace('\n', " ")
                ));
                if versions.len() > 1 {
                    mixed.lock().expect("the list").push(attempt);
                }
                thread::sleep(Duration::from_millis(40 + 31 * client as u64 % 190));
            }
        }));
    }
    let at = |seconds: f64| {
        let due = start + Duration::from_millis((seconds * 1_000.0) as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let is_down = trouble == "1";
    let crashes = trouble != "0";
    at(2.0);
    if is_down {
        record.line("the store is down");
        fleet.store.signal("STOP")?;
    }
    at(2.1);
    if crashes {
        record.line("worker i-0 crashes");
        workers[0].kill();
    }
    at(4.1);
    if crashes {
        described[0].version = "v2".to_owned();
        record.line("worker i-0 is back with software v2");
        workers[0] = fleet.start_worker(&described[0])?;
    }
    at(8.0);
    if crashes {
        record.line("worker i-0 crashes again");
        workers[0].kill();
    }
    at(8.3);
    if is_down {
        record.line("the store is back");
        fleet.store.signal("CONT")?;
    }
    at(10.0);
    if crashes {
        workers[0] = fleet.start_worker(&described[0])?;
        record.line("worker i-0 is back with software v2");
    }
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    record.add_file(&runs);
    let mixed = mixed.lock().expect("the list");
    record.line(&format!("streams with events of two versions: {mixed:?}"));
    Ok(mixed.len() <= 2)
}

/// Returns the versions that wrote the events of a stream.
fn versions(body: &[u8]) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(body);
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split(' ').next().map(str::to_owned))
        .collect()
}
