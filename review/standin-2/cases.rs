//! The cases.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::case::Case;
use crate::case::SLOTS;
use crate::case::route;
use crate::client;
use crate::client::Answer;
use crate::node::Node;
use crate::node::Process;
use crate::node::free_port;
use crate::proxy::Proxy;
use crate::worker;

/// Plays a case. Returns whether its rule was broken; `None` if there is no such case or it could
/// not run.
pub fn play(name: &str, folder: &Path) -> Option<bool> {
    match name {
        "stream-end" => stream_end(folder),
        "plain-end" => plain_end(folder),
        "version" => version(folder),
        "left" => left(folder),
        "take-up" => take_up(folder),
        "body" => body(folder),
        _ => None,
    }
}

fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port("127.0.0.1")))
}

/// Starts the workers that are left alone: a disruption strikes a quarter of the service.
fn others(case: &Case, framing: &str, slots: u32) -> Vec<Process> {
    let ids = ["w-2", "w-3", "w-4"];
    let started = ids.map(|id| {
        let address = local();
        case.start_worker_with(id, "v1", address, address, framing, slots)
    });
    started.into()
}

/// Sends requests at the same time, in turn to each node.
fn send_all(
    case: &Case,
    nodes: &[Node],
    name: &str,
    count: usize,
    path: &'static str,
    method: &'static str,
) -> Vec<(String, JoinHandle<Answer>)> {
    let requests = (0..count).map(|number| {
        let id = format!("{name}-{number}");
        let front = nodes[number % nodes.len()].front;
        case.note(&format!(
            "client sends {id} to node {}",
            number % nodes.len() + 1
        ));
        let sent = id.clone();
        let answer = std::thread::spawn(move || client::send(front, method, path, &sent, 15_000));
        (id, answer)
    });
    requests.collect()
}

/// Describes a stream: the numbers of its events in order, and the versions that wrote them.
fn events(answer: &Answer) -> (Vec<u32>, Vec<String>) {
    let text = answer.text();
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers = numbers.filter_map(|number| number.parse().ok()).collect();
    let versions = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let versions = versions.filter_map(|line| line.split(' ').next());
    let mut versions: Vec<String> = versions.map(str::to_owned).collect();
    versions.dedup();
    (numbers, versions)
}

/// ORDER: a worker crashes and starts again behind a cut of two seconds, while streams that end with
/// their connections are under way.
fn stream_end(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    case.configure(&route("/stream/", "streaming", 15_000, 600, 2, true));
    let first = local();
    let proxy = Proxy::start(first);
    let mut cut_worker = case.start_worker("w-1", "v1", first, proxy.address, "unframed");
    let _others = others(&case, "unframed", SLOTS);
    let nodes = Node::start_all(3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/stream/");
    let requests = send_all(&case, &nodes, "stream", 16, "/stream/a", "POST");
    sleep_ms(1_000);
    let mut reborn = None;
    if !case.is_calm {
        proxy.set_cut(true);
        case.note("worker w-1 is cut off from all nodes");
        sleep_ms(500);
        cut_worker.kill();
        case.note("worker w-1 crashes behind the cut");
        sleep_ms(300);
        reborn = Some(case.start_worker("w-1", "v1", first, proxy.address, "unframed"));
        sleep_ms(1_200);
        proxy.set_cut(false);
        case.note("the cut heals");
    }
    let mut broken = 0;
    for (id, answer) in requests {
        let answer = answer.join().ok()?;
        let (numbers, _) = events(&answer);
        let last = numbers.last().copied().unwrap_or(0);
        let is_broken = answer.status() == 200 && answer.is_complete && last < worker::EVENTS;
        broken += u32::from(is_broken);
        case.note(&format!(
            "client has {id}: status {}, seal {}, {} events, the last is {last}, {}{}",
            answer.status(),
            answer.seal(),
            numbers.len(),
            if answer.is_complete {
                "ended as complete"
            } else {
                "broken off"
            },
            if is_broken { ": ORDER broken" } else { "" },
        ));
    }
    drop((nodes, cut_worker, reborn));
    case.end();
    Some(broken > 0)
}

/// MIXED: a worker crashes while it writes answers that end with their connections.
fn plain_end(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    case.configure(&route("/plain/", "idempotent", 4_000, 600, 2, false));
    let first = local();
    let mut crashing = case.start_worker("w-1", "v1", first, first, "unframed");
    let _others = others(&case, "unframed", SLOTS);
    let nodes = Node::start_all(3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/plain/");
    let requests = send_all(&case, &nodes, "plain", 16, "/plain/a", "GET");
    sleep_ms(250);
    if !case.is_calm {
        crashing.kill();
        case.note("worker w-1 crashes");
    }
    let mut broken = 0;
    for (id, answer) in requests {
        let answer = answer.join().ok()?;
        let is_whole = answer.text() == worker::whole();
        let is_broken = answer.status() == 200 && answer.is_complete && !is_whole;
        broken += u32::from(is_broken);
        case.note(&format!(
            "client has {id}: status {}, seal {}, {} bytes of {}, {}{}",
            answer.status(),
            answer.seal(),
            answer.body.len(),
            worker::whole().len(),
            if answer.is_complete {
                "ended as complete"
            } else {
                "broken off"
            },
            if is_broken { ": MIXED broken" } else { "" },
        ));
    }
    drop((nodes, crashing));
    case.end();
    Some(broken > 0)
}

/// ORDER: a worker is started again under its id with another version of its software while the
/// store gives no answers, and crashes while it streams.
fn version(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    case.configure(&route("/stream/", "streaming", 15_000, 600, 2, true));
    let first = local();
    let mut changed = case.start_worker_with("w-1", "v1", first, first, "chunked", 14);
    let _others = others(&case, "chunked", 14);
    let nodes = Node::start_all(3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/stream/");
    sleep_ms(1_000);
    if !case.is_calm {
        case.store.set_silent(true);
        case.note("the store gives no answers");
        let store = case.clone();
        std::thread::spawn(move || {
            sleep_ms(4_500);
            store.store.set_silent(false);
            store.note("the store answers again");
        });
        sleep_ms(500);
        changed.kill();
        changed = case.start_worker_with("w-1", "v2", first, first, "chunked", 14);
        sleep_ms(200);
    }
    let requests = send_all(&case, &nodes, "stream", 36, "/stream/a", "POST");
    sleep_ms(1_500);
    if !case.is_calm {
        changed.kill();
        case.note("worker w-1 crashes");
        sleep_ms(500);
    }
    let mut broken = 0;
    for (id, answer) in requests {
        let answer = answer.join().ok()?;
        let (numbers, versions) = events(&answer);
        let is_broken = versions.len() > 1;
        broken += u32::from(is_broken);
        case.note(&format!(
            "client has {id}: status {}, seal {}, {} events, versions {}, {}{}",
            answer.status(),
            answer.seal(),
            numbers.len(),
            versions.join(" then "),
            if answer.is_complete {
                "ended as complete"
            } else {
                "broken off"
            },
            if is_broken {
                ": two versions in one answer"
            } else {
                ""
            },
        ));
    }
    drop((nodes, changed));
    case.end();
    Some(broken > 2)
}

/// The length of a body that a node doesn't buffer whole, and of one that it does.
const LONG_BYTES: usize = 400_000;
const SHORT_BYTES: usize = 200_000;

/// How long after they sent their requests some clients leave: half of the route's objective.
const LEAVE_AFTER_MS: u64 = 750;

/// GONE: clients with long bodies leave while their requests wait for a worker.
fn left(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    case.configure(&route("/plain/", "non_idempotent", 8_000, 1_500, 1, false));
    let (first, second) = (local(), local());
    let workers = [("w-1", first), ("w-2", second)]
        .map(|(id, address)| case.start_worker_with(id, "v1", address, address, "chunked", 2));
    let nodes = Node::start_all(3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/plain/");
    let busy = send_all(&case, &nodes, "stays", 54, "/plain/a", "POST");
    sleep_ms(50);
    let leaving = (0..22).map(|number| {
        let length = if number % 4 == 0 {
            SHORT_BYTES
        } else {
            LONG_BYTES
        };
        let id = format!("leaves-{number}");
        let front = nodes[number % nodes.len()].front;
        let stay_ms = if case.is_calm { 8_000 } else { LEAVE_AFTER_MS };
        let case = case.clone();
        std::thread::spawn(move || {
            case.note(&format!("client sends {id} with {length} bytes"));
            let answer = client::send_and_leave(front, "/plain/a", &id, length, 8_000, stay_ms);
            let status = answer.map_or(0, |answer| answer.status());
            case.note(&match status {
                0 => format!("client of {id} leaves"),
                status => format!("client has {id}: status {status}"),
            });
            (id, length, status, unix_ms())
        })
    });
    let leaving: Vec<_> = leaving.collect();
    let leaving: Vec<_> = leaving
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    for (id, answer) in busy {
        let answer = answer.join().ok()?;
        case.note(&format!("client has {id}: status {}", answer.status()));
    }
    sleep_ms(3_000);
    let log = std::fs::read_to_string(case.folder.join("workers.log")).unwrap_or_default();
    let mut broken = 0;
    for (id, length, status, left) in leaving {
        let line = log
            .lines()
            .find(|line| line.ends_with(&format!("receives {id}")));
        let arrived = line.and_then(|line| line.split(' ').next()?.parse::<u64>().ok());
        let after = arrived.map(|at| at as i64 - left as i64);
        let is_broken = status == 0 && after.is_some_and(|after| after > 500);
        broken += u32::from(is_broken);
        let arrival = match after {
            Some(after) => format!("reaches a worker {after} ms after that"),
            None => "reaches no worker".to_owned(),
        };
        let mark = if is_broken { ": too late" } else { "" };
        case.note(&format!("{id} with {length} bytes {arrival}{mark}"));
    }
    case.note(&format!("{broken} requests arrived too late"));
    drop((nodes, workers));
    case.end();
    Some(broken > A_FEW)
}

/// The rule allows a few requests.
const A_FEW: u32 = 5;

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// The streams of the node that is killed, and those that begin elsewhere at the same time.
const TAKEN_UP: usize = 20;
const BEGUN: usize = 8;

/// LOST: the nodes lose their links to all workers for two seconds. A second later a node is killed,
/// and the clients take its streams up at the others.
fn take_up(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    let streaming = route("/stream/", "streaming", 15_000, 600, 2, true);
    let plain = route("/plain/", "idempotent", 8_000, 1_500, 2, false);
    case.configure(&format!("{streaming},{plain}"));
    let mut proxies = Vec::new();
    let mut workers = Vec::new();
    for id in ["w-1", "w-2", "w-3", "w-4"] {
        let address = local();
        let proxy = Proxy::start(address);
        workers.push(case.start_worker(id, "v1", address, proxy.address, "chunked"));
        proxies.push(proxy);
    }
    let mut nodes = Node::start_in(&["cluj-a"], 3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/stream/");
    let before = send_all(&case, &nodes, "before", 12, "/stream/a", "POST");
    sleep_ms(1_000);
    if !case.is_calm {
        proxies.iter().for_each(Proxy::refuse);
        case.note("the links of all nodes to all workers are reset and refused");
        sleep_ms(2_000);
        proxies.iter().for_each(Proxy::accept);
        case.note("the links are back");
    }
    sleep_ms(1_000);
    let short = send_all(&case, &nodes, "short", 24, "/plain/a", "POST");
    sleep_ms(1_000);
    let streams = send_all(&case, &nodes[..1], "stream", TAKEN_UP, "/stream/a", "POST");
    sleep_ms(1_000);
    nodes[0].process.kill();
    case.note("node 1 is killed");
    let begun = send_all(&case, &nodes[1..], "new", BEGUN, "/stream/a", "POST");
    let taken_up = streams
        .into_iter()
        .enumerate()
        .map(|(number, (id, answer))| {
            let front = nodes[1 + number % 2].front;
            let case = case.clone();
            std::thread::spawn(move || {
                let answer = answer.join().ok()?;
                let (numbers, _) = events(&answer);
                let last = numbers.last().copied().unwrap_or(0);
                case.note(&format!(
                    "client has {id}: status {}, the last event is {last}, complete: {}",
                    answer.status(),
                    answer.is_complete,
                ));
                if answer.is_complete || last == 0 {
                    return None;
                }
                let again = format!("{id}-again");
                let answer = client::take_up(front, "/stream/a", &again, 12_000, &id, last);
                let (numbers, _) = events(&answer);
                let goes_on = answer.status() == 200 && numbers.first() == Some(&(last + 1));
                case.note(&format!(
                    "client takes {id} up after event {last}: status {}, {} events{}",
                    answer.status(),
                    numbers.len(),
                    if goes_on { "" } else { ": lost" },
                ));
                Some(goes_on)
            })
        });
    let taken_up: Vec<_> = taken_up.collect();
    let taken_up = taken_up
        .into_iter()
        .filter_map(|one| one.join().ok().flatten());
    let taken_up: Vec<bool> = taken_up.collect();
    let mut begins = 0;
    for (id, answer) in begun {
        let answer = answer.join().ok()?;
        begins += usize::from(answer.status() == 200 && !events(&answer).0.is_empty());
        case.note(&format!("client has {id}: status {}", answer.status()));
    }
    drop((before, short));
    let go_on = taken_up.iter().filter(|goes_on| **goes_on).count();
    case.note(&format!(
        "{go_on} of {} streams that were taken up go on; {begins} of {BEGUN} new ones begin",
        taken_up.len(),
    ));
    drop((nodes, workers));
    case.end();
    let share = go_on as f64 / taken_up.len().max(1) as f64;
    let begin_share = begins as f64 / BEGUN as f64;
    Some(taken_up.len() >= 12 && share < begin_share / 2.0)
}

/// UNASKED: clients send bodies in chunks. Without that, they send the same ones with a length.
fn body(folder: &Path) -> Option<bool> {
    let case = Case::begin(folder);
    case.configure(&route("/plain/", "idempotent", 8_000, 1_500, 2, false));
    let first = local();
    let worker = case.start_worker("w-1", "v1", first, first, "chunked");
    let _others = others(&case, "chunked", SLOTS);
    let nodes = Node::start_all(3, case.store.address, &case.folder);
    case.wait_until_served(&nodes, "/plain/");
    let methods = ["GET", "POST"];
    let lengths = [SHORT_BYTES, LONG_BYTES];
    let kinds = methods
        .into_iter()
        .flat_map(|method| lengths.map(|length| (method, length)));
    let mut sent = Vec::new();
    for (method, length) in kinds {
        for number in 0..6 {
            let id = format!("{}-{length}-{number}", method.to_lowercase());
            let front = nodes[number % nodes.len()].front;
            let is_chunked = !case.is_calm;
            let answer = client::send_body(front, method, "/plain/a", &id, length, is_chunked);
            sent.push((id, length, answer.status()));
        }
    }
    sleep_ms(200);
    let log = std::fs::read_to_string(case.folder.join("workers.log")).unwrap_or_default();
    let mut broken = 0;
    for (id, length, status) in sent {
        let line = log
            .lines()
            .find(|line| line.contains(&format!(" runs {id} ")));
        let ran = line.and_then(|line| line.rsplit(' ').nth(1)?.parse::<usize>().ok());
        let is_broken = ran.is_some_and(|ran| ran != length);
        broken += u32::from(is_broken);
        let ran = ran.map_or("not run".to_owned(), |ran| format!("run with {ran} bytes"));
        let mark = if is_broken { ": UNASKED broken" } else { "" };
        case.note(&format!(
            "{id} sent with {length} bytes, {ran}, status {status}{mark}"
        ));
    }
    drop((nodes, worker));
    case.end();
    Some(broken > 0)
}
