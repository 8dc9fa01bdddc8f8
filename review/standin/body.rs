//! Clients send long bodies with requests that may be repeated: with a length, or in chunks.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client;
use crate::fleet;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::worker::Worker;

/// The requests that are sent with each method.
const REQUESTS: usize = 5;

/// The length of a body, of at most 4,194,304 bytes that the configuration allows.
const LENGTH: usize = 300_000;

/// The length of a chunk.
const CHUNK: usize = 16_000;

/// Runs the case and returns whether the rule held.
pub fn run(program: &Path, folder: &Path, record: &Arc<Record>, trouble: &str) -> io::Result<bool> {
    let mut fleet = Fleet::start(folder)?;
    fleet.configure(&fleet::plain_configuration("idempotent", 2))?;
    let runs = folder.join("runs.log");
    let mut workers = Vec::new();
    for number in 0..3 {
        workers.push(fleet.start_worker(&Worker {
            id: format!("i-{number}"),
            address: format!("127.0.2.{}:{}", number + 1, fleet::free_port()?),
            service: "wuno96b".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            store: fleet.store_address.clone(),
            log: runs.to_string_lossy().into_owned(),
            events: 0,
            work: Duration::from_millis(15),
        })?);
    }
    fleet.start_nodes(program, 2)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut sent = HashMap::new();
    let mut served = 0;
    for number in 0..2 * REQUESTS {
        let method = ["GET", "PUT"][number % 2];
        let attempt = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number as u64);
        let bytes = (0..LENGTH).map(|at| b'a' + ((at * 7 + number) % 26) as u8);
        let body: Vec<u8> = bytes.collect();
        let sum = http::checksum(&body);
        sent.insert(attempt.clone(), (LENGTH, sum));
        let is_chunked = trouble != "0";
        record.line(&format!(
            "sends {attempt}, {method} with {LENGTH} bytes, sum {sum:016x}, in chunks {is_chunked}"
        ));
        let request = to_request(method, &attempt, &body, is_chunked);
        let seen = client::send(
            &fleet.front(number % 2),
            &request,
            Duration::from_secs(3),
            None,
        );
        record.line(&format!(
            "got {} for {attempt}, whole {}",
            seen.status, seen.is_whole
        ));
        served += usize::from(seen.status == 200);
    }
    record.add_file(&runs);
    let mut changed = 0;
    for line in std::fs::read_to_string(&runs)?.lines() {
        let words: Vec<&str> = line.split([' ', ',']).collect();
        let Some((length, sum)) = words.get(4).and_then(|attempt| sent.get(*attempt)) else {
            continue;
        };
        let is_same = line.ends_with(&format!("with {length} bytes, sum {sum:016x}"));
        changed += usize::from(!is_same);
    }
    record.line(&format!(
        "{served} of {} were served, {changed} runs had another body than was sent",
        2 * REQUESTS
    ));
    if served == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(changed == 0)
}

fn to_request(method: &str, attempt: &str, body: &[u8], is_chunked: bool) -> String {
    let (host, key) = (fleet::HOST, fleet::KEY);
    let head = format!(
        "{method} /cufi504/fi50/2f HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n"
    );
    let text = String::from_utf8_lossy(body);
    if !is_chunked {
        let length = body.len();
        return format!("{head}Content-Length: {length}\r\n\r\n{text}");
    }
    let chunks = body.chunks(CHUNK);
    let chunks = chunks.map(|chunk| {
        let length = chunk.len();
        format!("{length:x}\r\n{}\r\n", String::from_utf8_lossy(chunk))
    });
    let chunks: String = chunks.collect();
    format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}
