//! A worker spoils a few of its answers and sends a few twice, among them one to a health check.

use std::collections::HashMap;
use std::collections::HashSet;
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
use crate::time;
use crate::worker::Worker;

/// The nodes, and the clients at each of them.
const NODES: usize = 6;
const CLIENTS: usize = 5;

/// How long a worker is faulty (`for_s` of `garble`).
const FAULTY_MS: u64 = 5_000;

/// Runs the case and returns whether the rule held.
pub fn run(program: &Path, folder: &Path, record: &Arc<Record>, trouble: &str) -> io::Result<bool> {
    let mut fleet = Fleet::start(folder)?;
    // As in the sites; with more, a node sends the request to the next worker itself.
    let attempts = match trouble {
        "attempts" => 2,
        _ => 1,
    };
    fleet.configure(&fleet::plain_configuration("non_idempotent", attempts))?;
    let runs = folder.join("runs.log");
    let faulty_from = time::unix_ms() + 6_000;
    let mut workers = Vec::new();
    for number in 0..3 {
        let worker = Worker {
            id: format!("i-{number}"),
            address: format!("127.0.2.{}:{}", number + 1, fleet::free_port()?),
            service: "wuno96b".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            store: fleet.store_address.clone(),
            log: runs.to_string_lossy().into_owned(),
            events: 0,
            work: Duration::from_millis(15),
        };
        let faulty = match number == 0 && trouble != "0" {
            true => (faulty_from, faulty_from + FAULTY_MS),
            false => (0, 0),
        };
        workers.push(fleet.start_service(&worker, faulty)?);
    }
    fleet.start_nodes(program, NODES)?;
    let until = Instant::now() + Duration::from_secs(12);
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for client in 0..NODES * CLIENTS {
        let address = fleet.front(client % NODES);
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let attempt = format!("{:016x}", 0x9c41_0000_0000_0000 + client * 10_000 + number);
                let request = client::plain_request("/cufi504/2f", &attempt, 1_500);
                let seen = client::send(&address, &request, Duration::from_millis(1_600), None);
                let (status, is_whole) = (seen.status, seen.is_whole);
                record.line(&format!(
                    "client {client} sent {attempt} to {address}, got {status}, whole {is_whole}"
                ));
                answers.lock().expect("the answers").insert(attempt, status);
                thread::sleep(Duration::from_millis(2 + 7 * client as u64 % 11));
            }
        }));
    }
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    record.add_file(&runs);
    let text = std::fs::read_to_string(&runs)?;
    let runs = text.lines().filter_map(|line| line.split_once(" runs "));
    let (mut ran, mut twice) = (HashSet::new(), Vec::new());
    for (_, attempt) in runs {
        if !ran.insert(attempt) {
            twice.push(attempt);
        }
    }
    let answers = answers.lock().expect("the answers");
    let promised = answers
        .iter()
        .filter(|(_, status)| matches!(**status, 408 | 421 | 429 | 503));
    let mut broken: Vec<&String> = promised
        .map(|(attempt, _)| attempt)
        .filter(|attempt| ran.contains(attempt.as_str()))
        .collect();
    broken.sort();
    record.line(&format!("ran twice: {twice:?}"));
    let served = answers.values().filter(|status| **status == 200).count();
    record.line(&format!(
        "{served} of {} were served, ran although their clients were told not: {broken:?}",
        answers.len()
    ));
    if served * 2 < answers.len() {
        return Err(io::Error::other("too few were served"));
    }
    Ok(broken.is_empty() && twice.is_empty())
}
