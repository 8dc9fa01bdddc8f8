//! A node is killed after the others were stopped and started in turn: clients take its streams up.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Worker;

/// The nodes, as many as the site has. The first one is killed.
const NODES: usize = 6;

/// The streams at the node that is killed, and at each of the others.
const STREAMS: usize = 18;
const OTHER_STREAMS: usize = 4;

/// How long the node that is killed has run before the others are stopped in turn: longer than a
/// stream lasts over all tries of its client.
const WARM_UP: Duration = Duration::from_secs(26);

/// The pause between two stops (`gap_s` of `roll_term`).
const GAP: Duration = Duration::from_secs(1);

/// `ContactMs`, and some more.
const CONTACT: Duration = Duration::from_millis(3_200);

/// The events of a stream.
const EVENTS: u32 = 30;

/// How long clients wait for the next event.
const PATIENCE: Duration = Duration::from_secs(2);

/// The time that all streams have.
const DEADLINE: Duration = Duration::from_secs(12);

/// What became of the streams: how many were sent, and how many of these went well.
#[derive(Debug, Default)]
struct Counts {
    new: (usize, usize),
    taken_up: (usize, usize),
}

/// Runs the case and returns whether the rule held.
pub fn run(program: &Path, folder: &Path, record: &Arc<Record>, trouble: &str) -> io::Result<bool> {
    let mut fleet = Fleet::start(folder)?;
    fleet.configure(&fleet::stream_configuration())?;
    let runs = folder.join("runs.log");
    let mut workers = Vec::new();
    for number in 0..6 {
        workers.push(fleet.start_worker(&Worker {
            id: format!("i-{number}"),
            address: format!("127.0.2.{}:{}", number + 1, fleet::free_port()?),
            service: "huvo11a".to_owned(),
            version: "v1".to_owned(),
            slots: 10,
            store: fleet.store_address.clone(),
            log: runs.to_string_lossy().into_owned(),
            events: EVENTS,
            work: Duration::from_millis(150),
        })?);
    }
    fleet.start_nodes(program, NODES)?;
    record.line("the nodes are ready");
    thread::sleep(WARM_UP);
    if trouble == "1" {
        for node in 1..NODES {
            record.line(&format!("node {node} gets SIGTERM"));
            fleet.nodes[node].signal("TERM")?;
            let stopped = &mut fleet.nodes[node];
            fleet::wait_for(Duration::from_secs(8), || stopped.has_ended())?;
            thread::sleep(Duration::from_millis(200));
            fleet.restart_node(program, node)?;
            fleet.wait_until_ready(node)?;
            record.line(&format!("node {node} is ready again"));
            thread::sleep(GAP);
        }
    }
    let counts = Arc::new(Mutex::new(Counts::default()));
    let end = Instant::now() + CONTACT;
    let mut clients = Vec::new();
    for number in 0..STREAMS + (NODES - 1) * OTHER_STREAMS {
        let node = number.saturating_sub(STREAMS - 1).div_ceil(OTHER_STREAMS);
        let leaves = (node == 0 && trouble == "0").then_some(end);
        let client = Client {
            number,
            node,
            addresses: (0..NODES).map(|node| fleet.front(node)).collect(),
            record: record.clone(),
            counts: counts.clone(),
        };
        thread::sleep(Duration::from_millis(20));
        clients.push(client.start(leaves));
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    if trouble != "0" {
        record.line("node 0 is killed");
        fleet.nodes[0].kill();
    }
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    record.add_file(&runs);
    let counts = counts.lock().expect("the counts");
    let ((new, begun), (taken_up, went_on)) = (counts.new, counts.taken_up);
    record.line(&format!(
        "{begun} of {new} new streams began, {went_on} of {taken_up} that were taken up went on"
    ));
    if new == 0 || begun * 2 < new {
        return Err(io::Error::other("too few streams began"));
    }
    // Under half of the share of new streams that begin.
    let is_broken = taken_up >= 12 && went_on * new * 2 < begun * taken_up;
    Ok(!is_broken)
}

struct Client {
    number: usize,
    node: usize,
    addresses: Vec<String>,
    record: Arc<Record>,
    counts: Arc<Mutex<Counts>>,
}

impl Client {
    /// Sends a stream, and takes it up at another node if its connection breaks.
    fn start(self, leaves: Option<Instant>) -> JoinHandle<()> {
        thread::spawn(move || {
            let until = Instant::now() + DEADLINE;
            let first = format!("{:016x}", 0x9c41_0000_0000_0000 + 2 * self.number);
            let seen = self.send(self.node, &first, None, until, leaves);
            let ids = client::event_ids(&seen.body);
            let mut counts = self.counts.lock().expect("the counts");
            counts.new.0 += 1;
            counts.new.1 += usize::from(!ids.is_empty());
            drop(counts);
            let last = ids.last().copied().filter(|_| !seen.is_whole);
            let Some(last) = last else {
                return;
            };
            let second = format!("{:016x}", 0x9c41_0000_0000_0001 + 2 * self.number);
            let node = 1 + self.number % (NODES - 1);
            let seen = self.send(node, &second, Some((last, &first)), until, None);
            let ids = client::event_ids(&seen.body);
            let goes_on = ids.first() == Some(&(last + 1)) && ids.last() == Some(&(EVENTS - 1));
            let mut counts = self.counts.lock().expect("the counts");
            counts.taken_up.0 += 1;
            counts.taken_up.1 += usize::from(goes_on && seen.is_whole);
        })
    }

    fn send(
        &self,
        node: usize,
        attempt: &str,
        taken_up: Option<(u32, &str)>,
        until: Instant,
        leaves: Option<Instant>,
    ) -> client::Seen {
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let request = client::stream_request("/pufi791/2f", attempt, left, taken_up);
        let number = self.number;
        self.record.line(&format!(
            "client {number} sends {attempt} to node {node}, taking up {taken_up:?}"
        ));
        let seen = client::send(&self.addresses[node], &request, PATIENCE, leaves);
        let text = String::from_utf8_lossy(&seen.body).replace('\n', " ");
        let (status, is_whole) = (seen.status, seen.is_whole);
        self.record.line(&format!(
            "client {number} got {status} for {attempt}, whole {is_whole}: {text}"
        ));
        seen
    }
}
