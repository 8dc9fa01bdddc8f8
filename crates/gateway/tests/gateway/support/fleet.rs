//! Whole nodes in the test process, with a link of their own from each node to each endpoint.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_gateway::log;
use woadstage_gateway::log::Log;
use woadstage_gateway::run;
use woadstage_gateway::settings::Settings;
use woadstage_gateway::source::Answer;
use woadstage_gateway::source::Call;
use woadstage_gateway::source::Feed;
use woadstage_gateway::source::Update;

use super::Caller;
use super::Worker;
use super::configuration;
use super::to_endpoint;

/// The state of a link between a node and an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Everything is forwarded.
    None,
    /// Nothing is forwarded, and connections stay open.
    Hang,
    /// Open and new connections are reset.
    Reset,
    /// Open connections work, and new ones are reset.
    ResetNew,
}

/// A TCP proxy between one node and one endpoint.
struct Link {
    address: SocketAddrV4,
    cut: watch::Sender<Cut>,
}

impl Link {
    async fn start(target: SocketAddrV4) -> Link {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        let cut = watch::Sender::new(Cut::None);
        let subscribed = cut.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(forward(stream, target, subscribed.subscribe()));
            }
        });
        Link { address, cut }
    }
}

/// Forwards one connection until either side closes it or the link resets it.
async fn forward(mut from: TcpStream, target: SocketAddrV4, mut cut: watch::Receiver<Cut>) {
    if matches!(*cut.borrow(), Cut::Reset | Cut::ResetNew) {
        reset(&from);
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    loop {
        let state = *cut.borrow_and_update();
        match state {
            Cut::Reset => {
                reset(&from);
                return;
            }
            Cut::Hang => {
                if cut.changed().await.is_err() {
                    return;
                }
            }
            Cut::None | Cut::ResetNew => {
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut from, &mut to) => return,
                    _ = cut.changed() => {}
                }
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A node of the fleet.
pub struct Node {
    /// The address at which it serves callers.
    pub callers: SocketAddrV4,
    links: Vec<Link>,
    settings: PathBuf,
}

impl Node {
    /// Sets the state of the links to all endpoints.
    pub fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.cut.send_replace(cut);
        }
    }

    /// Sets the state of the link to one endpoint.
    pub fn cut_one(&self, endpoint: usize, cut: Cut) {
        self.links[endpoint].cut.send_replace(cut);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Only a leftover in the system's folder for temporary files.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The second part of the addresses of this process's nodes. Their ports are fixed, so that test
/// processes at the same time need networks of their own; each holds a port in its own.
static NETWORK: LazyLock<(u8, std::net::TcpListener)> = LazyLock::new(|| {
    let mut networks = 64..=127;
    let free = networks.find_map(|network| {
        let held =
            std::net::TcpListener::bind((Ipv4Addr::new(127, network, 255, 1), 7_000)).ok()?;
        Some((network, held))
    });
    free.expect("a loopback network that no other test process uses")
});

/// Numbers the fleets of a process, which get loopback networks of their own.
static NEXT_FLEET: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(1);

/// Starts nodes that know each other, and waits until each serves callers.
pub async fn start(count: u8, workers: &[&Worker]) -> Vec<Node> {
    let mut configuration = configuration(None);
    for service in &mut configuration.services {
        service.health_path = Some("/health".to_owned());
    }
    start_configured(count, workers, configuration).await
}

/// Like [`start`], with another configuration.
pub async fn start_configured(
    count: u8,
    workers: &[&Worker],
    configuration: Configuration,
) -> Vec<Node> {
    let fleet = NEXT_FLEET.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let mut nodes = Vec::new();
    for number in 1..=count {
        let ip = Ipv4Addr::new(127, NETWORK.0, fleet, number);
        nodes.push(start_node(ip, workers, &configuration).await);
    }
    for node in &nodes {
        wait_until_serving(node).await;
    }
    for node in &nodes {
        wait_until_known(node, count).await;
    }
    nodes
}

async fn start_node(ip: Ipv4Addr, workers: &[&Worker], configuration: &Configuration) -> Node {
    let mut links = Vec::new();
    for worker in workers {
        links.push(Link::start(worker.address).await);
    }
    let endpoints = workers.iter().zip(&links).map(|(worker, link)| Endpoint {
        address: link.address,
        ..to_endpoint(worker)
    });
    let list = Arc::new(List {
        settled: true,
        revision: 1,
        endpoints: endpoints.collect(),
        ..List::default()
    });
    let path = std::env::temp_dir().join(format!("woadstage-{}-{ip}.toml", std::process::id()));
    std::fs::write(&path, settings(ip)).expect("the settings are written");
    let configuration = Arc::new(configuration.clone());
    let settings_path = path.clone();
    spawn_local(async move {
        let adapter = move |_: &Settings, feed: Feed| {
            let (list, configuration) = (list.clone(), configuration.clone());
            async move {
                let answer = Answer {
                    call: Call::Read,
                    revision: 1,
                    answer_revision: 1,
                    received_at: Instant::now(),
                };
                let updates = [
                    Update::Reached,
                    Update::Answered,
                    Update::Endpoints(list),
                    Update::Configuration(configuration, answer),
                ];
                for update in updates {
                    feed.updates.send(update).expect("the node runs");
                }
                std::future::pending().await
            }
        };
        let log = Log::start(log::Options::default(), std::io::stdout());
        let log = log.expect("the log starts");
        let ended = run::run(&settings_path, log, adapter);
        ended.await.expect("the node runs");
    });
    Node {
        callers: SocketAddrV4::new(ip, 7_000),
        links,
        settings: path,
    }
}

fn settings(ip: Ipv4Addr) -> String {
    let octets = ip.octets();
    let seed = Ipv4Addr::new(octets[0], octets[1], octets[2], 1);
    format!(
        "[node]\nhost = \"edge-{ip}\"\ndata_centre = \"a\"\nmemory = \"64MiB\"\nstop_within = \"8s\"\n\
         [listen]\ncallers = \"{ip}:7000\"\nready = \"{ip}:7001\"\nmetrics = \"{ip}:7002\"\n\
         [peers]\naddress = \"{ip}:7600\"\nseeds = [\"{seed}:7600\"]\n\
         [platform]\naddress = \"127.0.0.1:1\"\n\
         [retry]\nratio = 0.2\nextra = 1000\n"
    )
}

async fn wait_until_serving(node: &Node) {
    loop {
        if let Some(mut caller) = Caller::try_connect(node.callers).await {
            caller.request("start", "/repeatable/x", "").await;
            if caller.answer().await.status == 200 {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a node has heard from all nodes of its fleet.
async fn wait_until_known(node: &Node, count: u8) {
    wait_for_metric(node, &format!("woadstage_nodes {count}\n")).await;
}

/// Waits until a node relies on the list for this many endpoints, as it has watched them for long enough.
pub async fn wait_until_watched(node: &Node, endpoints: usize) {
    let line = format!("woadstage_changes_total{{what=\"start-confirmed\"}} {endpoints}\n");
    wait_for_metric(node, &line).await;
}

/// Waits until a node has found its links to this many endpoints lost.
pub async fn wait_until_lost(node: &Node, endpoints: usize) {
    let line = format!("woadstage_changes_total{{what=\"link-lost\"}} {endpoints}\n");
    wait_for_metric(node, &line).await;
}

async fn wait_for_metric(node: &Node, line: &str) {
    let metrics = SocketAddrV4::new(*node.callers.ip(), 7_002);
    loop {
        if let Some(mut caller) = Caller::try_connect(metrics).await {
            caller
                .send("GET /metrics HTTP/1.1\r\nhost: node\r\n\r\n")
                .await;
            if caller.answer().await.body.contains(line) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
