//! The processes of a small deployment: nodes of the system and stand-ins for workers.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/woadstage";

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a port that is free on an address.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// A node of the system.
pub struct Node {
    /// Where it serves clients.
    pub front: SocketAddr,
    /// Its process.
    pub process: Process,
}

impl Node {
    /// Starts the nodes of a small deployment in three zones.
    pub fn start_all(count: usize, store: SocketAddr, folder: &Path) -> Vec<Node> {
        Node::start_in(&["cluj-a", "cluj-b", "cluj-c"], count, store, folder)
    }

    /// Starts the nodes of a small deployment, in turn in each of these zones.
    pub fn start_in(zones: &[&str], count: usize, store: SocketAddr, folder: &Path) -> Vec<Node> {
        let ips: Vec<String> = (1..=count)
            .map(|number| format!("127.0.83.{number}"))
            .collect();
        let ports: [u16; 4] = std::array::from_fn(|_| free_port(&ips[0]));
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let seeds = seeds.join(",");
        let nodes = ips.iter().enumerate().map(|(index, ip)| {
            let text = settings(ip, zones[index % zones.len()], ports, store, &seeds);
            let path = folder.join(format!("node-{}.toml", index + 1));
            std::fs::write(&path, text).expect("a folder to write to");
            let log = folder.join(format!("node-{}.log", index + 1));
            Node {
                front: format!("{ip}:{}", ports[0]).parse().expect("an address"),
                process: launch(&path, &log),
            }
        });
        nodes.collect()
    }
}

fn launch(settings: &Path, log: &Path) -> Process {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log");
    let child = Command::new(PROGRAM)
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a second handle"))
        .stdout(log)
        .spawn();
    Process(child.expect("the program, built by the command of the deploy file"))
}

/// Starts a worker and waits until it listens.
pub fn start_worker(
    id: &str,
    version: &str,
    address: SocketAddr,
    log: &Path,
    framing: &str,
) -> Process {
    let program = std::env::current_exe().expect("this program");
    let child = Command::new(program)
        .args(["worker", id, version, &address.to_string()])
        .arg(log)
        .arg(framing)
        .stdin(Stdio::null())
        .spawn();
    let process = Process(child.expect("a worker"));
    let until = Instant::now() + Duration::from_secs(3);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "the worker does not listen");
        std::thread::sleep(Duration::from_millis(5));
    }
    process
}

/// The settings as the platform fills the template.
fn settings(ip: &str, zone: &str, ports: [u16; 4], store: SocketAddr, seeds: &str) -> String {
    let [front, ready, peers, metrics] = ports;
    let text = std::fs::read_to_string("platform/settings.toml").expect("the template");
    let regions = "\"cluj-a\" = \"cluj\"\n\"cluj-b\" = \"cluj\"\n\"cluj-c\" = \"cluj\"\n";
    let gaps = [
        (
            "{{#Zones}}\"{{@}}\" = \"{{.}}\"\n{{/Zones}}\n",
            regions.to_owned(),
        ),
        ("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", seeds.to_owned()),
        (
            "{{#HeartbeatMs}}heartbeat = \"{{HeartbeatMs}}ms\"\n{{/HeartbeatMs}}\n",
            "heartbeat = \"1200ms\"\n".to_owned(),
        ),
        ("{{NodeName}}", format!("edge-{ip}")),
        ("{{Zone}}", zone.to_owned()),
        ("{{Limits.MemoryMb}}", "110".to_owned()),
        ("{{Bounds.GraceS}}", "8".to_owned()),
        ("{{Listen.Front}}", format!("{ip}:{front}")),
        ("{{Listen.Readiness}}", format!("{ip}:{ready}")),
        ("{{Ip}}:{{InternalPorts.1}}", format!("{ip}:{metrics}")),
        ("{{Ip}}", ip.to_owned()),
        ("{{InternalPorts.0}}", peers.to_string()),
        ("{{Platform.Address}}", store.to_string()),
        ("{{Bounds.ContactMs}}", "3000".to_owned()),
        ("{{Bounds.QuotaOverrun}}", "0.25".to_owned()),
        ("{{Bounds.QuotaSlack}}", "72000".to_owned()),
        ("{{Bounds.QuotaWindowS}}", "8".to_owned()),
        ("{{Bounds.RetryBudgetRatio}}", "0.2".to_owned()),
        ("{{Bounds.RetryBudgetExtra}}", "58".to_owned()),
        ("{{Bounds.BudgetWindowS}}", "10".to_owned()),
    ];
    let text = gaps
        .iter()
        .fold(text, |text, (gap, value)| text.replace(gap, value));
    assert!(!text.contains("{{"), "a gap of the template is not filled");
    text
}
