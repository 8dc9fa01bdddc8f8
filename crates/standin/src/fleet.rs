//! Node processes, each at a loopback address of its own, so that fleets of
//! several tests never meet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::ensure;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use woadstage_config::hosts;

use crate::client::Caller;
use crate::engine;
use crate::http;
use crate::http::platform::Platform;
use crate::http::platform::View;
use crate::sample;

/// Ports, the same on each address.
const CALLERS: u16 = 18_080;
const PEERS: u16 = 19_000;
const OPERATORS: u16 = 17_000;
const ENDPOINT: u16 = 18_800;
const PLATFORM: u16 = 18_500;

/// How long a fleet may take until it is ready.
const READY_WITHIN: Duration = Duration::from_secs(60);

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The addresses of one fleet: a network of its own in the loopback range.
#[derive(Debug, Clone, Copy)]
struct Net(u8, u8);

impl Net {
    fn new() -> Net {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let mixed = std::process::id().wrapping_mul(31).wrapping_add(fleet);
        Net((mixed >> 8) as u8 % 200 + 20, mixed as u8)
    }

    fn at(self, host: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.0, self.1, host as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Nodes.
    pub nodes: usize,
    /// Engines of the roster model.
    pub engines: usize,
    /// Endpoints of each service.
    pub services: usize,
    /// True to let the nodes' logs through.
    pub logs: bool,
}

/// One node.
pub struct Node {
    /// Its host's name.
    pub name: String,
    /// Where callers reach it.
    pub callers: String,
    /// Where operators reach it.
    pub operators: String,
    /// Its view of the platform.
    pub platform: View,
    settings: PathBuf,
    process: Option<Child>,
}

/// A fleet with its stand-ins, which run in this process.
pub struct Fleet {
    options: Options,
    folder: PathBuf,
    /// The platform.
    pub platform: Platform,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The host list as it was last published.
    pub list: hosts::List,
    /// Engines, with their addresses.
    pub engines: Vec<(String, http::engine::Served)>,
    /// Endpoints of the roster service.
    pub roster: Vec<http::service::Served>,
    /// Endpoints of the ledger service, which checks keys.
    pub ledger: Vec<http::service::Served>,
}

impl Fleet {
    /// Starts stand-ins and nodes and waits until every node is ready.
    pub async fn start(options: Options) -> anyhow::Result<Fleet> {
        let net = Net::new();
        let folder = std::env::temp_dir().join(format!(
            "woadstage-{}-{}-{}",
            std::process::id(),
            net.0,
            net.1
        ));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            folder,
            platform: Platform::default(),
            nodes: Vec::new(),
            list: hosts::List::default(),
            engines: Vec::new(),
            roster: Vec::new(),
            ledger: Vec::new(),
            options,
        };
        fleet.platform.put("woadstage/config", &sample::document());
        fleet.start_endpoints(net).await?;
        fleet.write_settings(net).await?;
        fleet.publish_list();
        for at in 0..fleet.nodes.len() {
            fleet.run(at)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_endpoints(&mut self, net: Net) -> anyhow::Result<()> {
        for at in 0..self.options.engines {
            let name = format!("engine-{at}");
            let address = net.at(100 + at, ENDPOINT);
            let served = http::engine::Served::start(&name, engine::Options::default());
            http::serve(address, served.router()).await?;
            let listed = sample::endpoint(&name, &address.to_string(), "cluj-a", "roster-model");
            self.list.hosts.push(listed);
            self.engines.push((address.to_string(), served));
        }
        for (service, base) in [("roster", 150), ("ledger", 200)] {
            for at in 0..self.options.services {
                let name = format!("{service}-{at}");
                let address = net.at(base + at, ENDPOINT);
                let served = http::service::Served::default();
                http::serve(address, served.router()).await?;
                let listed = sample::endpoint(&name, &address.to_string(), "cluj-a", service);
                self.list.hosts.push(listed);
                match service {
                    "roster" => self.roster.push(served),
                    _ => {
                        let checks = http::service::Control {
                            checks: true,
                            ..Default::default()
                        };
                        served.set(checks);
                        self.ledger.push(served);
                    }
                }
            }
        }
        Ok(())
    }

    async fn write_settings(&mut self, net: Net) -> anyhow::Result<()> {
        let authority_key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec!["woadstage authority".to_string()])?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = params.self_signed(&authority_key)?.pem();
        let issuer = Issuer::new(params, authority_key);
        for at in 0..self.options.nodes {
            let name = format!("entry-{at}");
            let centre = format!("cluj-{}", ["a", "b", "c"][at % 3]);
            let key = KeyPair::generate()?;
            let certificate = CertificateParams::new(vec![name.clone()])?
                .signed_by(&key, &issuer)?
                .pem();
            let platform = net.at(at, PLATFORM);
            let view = self.platform.view();
            http::serve(platform, view.router()).await?;
            let (callers, peers) = (net.at(at, CALLERS), net.at(at, PEERS));
            let operators = net.at(at, OPERATORS);
            let text = format!(
                "[node]\nhost = \"{name}\"\ndata_centre = \"{centre}\"\n\n[listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\n\n[platform]\naddress = \"{platform}\"\nwait = \"5s\"\n\n[limits]\nreceive_within = \"2s\"\n\n[identity]\ncertificate = '''\n{certificate}'''\nkey = '''\n{}'''\nauthority = '''\n{authority}'''\n",
                key.serialize_pem()
            );
            let settings = self.folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text)?;
            self.list
                .hosts
                .push(sample::entry(&name, &peers.to_string(), &centre));
            self.nodes.push(Node {
                name,
                callers: callers.to_string(),
                operators: operators.to_string(),
                platform: view,
                settings,
                process: None,
            });
        }
        Ok(())
    }

    /// Publishes the host list.
    pub fn publish_list(&self) {
        let text = serde_json::to_string(&self.list).unwrap_or_default();
        self.platform.put("woadstage/hosts", &text);
    }

    /// Starts a node's process.
    pub fn run(&mut self, at: usize) -> anyhow::Result<()> {
        let logs = if self.options.logs {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let node = &mut self.nodes[at];
        let child = Command::new(&self.options.program)
            .args([
                "serve".as_ref(),
                "--settings".as_ref(),
                node.settings.as_os_str(),
            ])
            .stdin(Stdio::null())
            .stdout(logs)
            .stderr(Stdio::inherit())
            .spawn()
            .with_context(|| format!("start {}", self.options.program.display()))?;
        node.process = Some(child);
        Ok(())
    }

    /// Waits until every node that runs is ready and knows every other.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let running = self
            .nodes
            .iter()
            .filter(|node| node.process.is_some())
            .count();
        let start = Instant::now();
        for node in self.nodes.iter().filter(|node| node.process.is_some()) {
            loop {
                let status = self.status(node).await.unwrap_or_default();
                let peers = status["peers"].as_array().map_or(0, |peers| {
                    peers
                        .iter()
                        .filter(|peer| peer["reachable"] == true)
                        .count()
                });
                if status["ready"] == true && peers + 1 >= running {
                    break;
                }
                ensure!(
                    start.elapsed() < READY_WITHIN,
                    "{} is not ready: {status}",
                    node.name
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// A node's status as JSON.
    pub async fn status(&self, node: &Node) -> anyhow::Result<serde_json::Value> {
        let uri = format!("http://{}/v1/status", node.operators);
        let answer = Caller::new("").send("GET", &uri, &[], "").await?;
        Ok(serde_json::from_str(&answer.body)?)
    }

    fn signal(&self, at: usize, signal: Signal) -> anyhow::Result<()> {
        let process = self.nodes[at]
            .process
            .as_ref()
            .context("the node does not run")?;
        let pid = Pid::from_raw(process.id() as i32).context("no process id")?;
        Ok(kill_process(pid, signal)?)
    }

    /// Freezes a node's process.
    pub fn freeze(&self, at: usize) -> anyhow::Result<()> {
        self.signal(at, Signal::STOP)
    }

    /// Lets it go on.
    pub fn thaw(&self, at: usize) -> anyhow::Result<()> {
        self.signal(at, Signal::CONT)
    }

    /// Begins a planned stop.
    pub fn terminate(&self, at: usize) -> anyhow::Result<()> {
        self.signal(at, Signal::TERM)
    }

    /// Kills a node's process.
    pub fn kill(&mut self, at: usize) -> anyhow::Result<()> {
        if let Some(mut process) = self.nodes[at].process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// A node's process id.
    pub fn pid_opt(&self, at: usize) -> Option<u32> {
        self.nodes[at].process.as_ref().map(Child::id)
    }

    /// Waits for a node's process to end by itself; its exit code.
    pub async fn wait_exit(&mut self, at: usize) -> anyhow::Result<Option<i32>> {
        let mut process = self.nodes[at]
            .process
            .take()
            .context("the node does not run")?;
        let start = Instant::now();
        loop {
            if let Some(status) = process.try_wait()? {
                return Ok(status.code());
            }
            if start.elapsed() > READY_WITHIN {
                process.kill()?;
                process.wait()?;
                anyhow::bail!("the process did not end");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Executions of a call of the roster service, at all its endpoints.
    pub fn roster_runs(&self, what: &str) -> u64 {
        self.roster
            .iter()
            .filter_map(|served| served.runs().get(what).copied())
            .sum()
    }

    /// Executions of a call of the ledger service.
    pub fn ledger_runs(&self, what: &str) -> u64 {
        self.ledger
            .iter()
            .filter_map(|served| served.runs().get(what).copied())
            .sum()
    }

    /// The folder with the nodes' settings.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut process) = node.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
