//! The processes of a case: nodes of the project, and stand-ins. All end with the value that holds
//! them.

use std::fs;
use std::fs::File;
use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::time;
use crate::worker;
use crate::worker::Worker;

/// The key that all clients hold.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The host that all routes have.
pub const HOST: &str = "ficu95.example";

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts a program. Its output goes to a file.
    pub fn start(program: &Path, arguments: &[String], output: &Path) -> io::Result<Process> {
        let output = File::create(output)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        Ok(Process(child))
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -s {name} {}", self.0.id());
        match Command::new("sh").args(["-c", &command]).status()? {
            status if status.success() => Ok(()),
            status => Err(io::Error::other(format!("{command}: {status}"))),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if it has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The nodes and the store of a case, in one zone.
pub struct Fleet {
    /// The folder of settings and logs.
    pub folder: PathBuf,
    /// The address of the store.
    pub store_address: String,
    /// The store.
    pub store: Process,
    /// The nodes.
    pub nodes: Vec<Process>,
    /// The program of the stand-ins.
    standin: PathBuf,
    ports: Ports,
}

/// The ports that all nodes share, each at an address of its own.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
}

impl Fleet {
    /// Starts the store.
    pub fn start(folder: &Path) -> io::Result<Fleet> {
        let standin = std::env::current_exe()?;
        let store_address = format!("127.0.0.1:{}", free_port()?);
        let arguments = ["store".to_owned(), store_address.clone()];
        let store = Process::start(&standin, &arguments, &folder.join("store.log"))?;
        wait_for(Duration::from_secs(5), || {
            TcpStream::connect(&store_address).is_ok()
        })?;
        let ports = Ports {
            front: free_port()?,
            ready: free_port()?,
            peers: free_port()?,
            metrics: free_port()?,
        };
        Ok(Fleet {
            folder: folder.to_owned(),
            store_address,
            store,
            nodes: Vec::new(),
            standin,
            ports,
        })
    }

    /// Starts a worker.
    pub fn start_worker(&self, worker: &Worker) -> io::Result<Process> {
        let output = self.folder.join(format!("{}.log", worker.id));
        Process::start(&self.standin, &worker.to_arguments(), &output)
    }

    /// Starts a worker of a plain service, which is faulty for some time, in Unix milliseconds.
    pub fn start_service(&self, worker: &Worker, faulty: (u64, u64)) -> io::Result<Process> {
        let output = self.folder.join(format!("{}.log", worker.id));
        let mut arguments = worker.to_arguments();
        arguments[0] = "service".to_owned();
        arguments.extend([faulty.0.to_string(), faulty.1.to_string()]);
        Process::start(&self.standin, &arguments, &output)
    }

    /// Writes the configuration.
    pub fn configure(&self, configuration: &str) -> io::Result<()> {
        worker::put(&self.store_address, "op/config", configuration)
    }

    /// The address at which a node serves clients.
    pub fn front(&self, node: usize) -> String {
        format!("127.0.1.{}:{}", node + 1, self.ports.front)
    }

    /// Starts nodes as the deploy file does, with the settings that its template gives, and waits
    /// until they say that they are ready.
    pub fn start_nodes(&mut self, program: &Path, count: usize) -> io::Result<()> {
        for node in 0..count {
            let settings = self.folder.join(format!("settings-{node}.toml"));
            fs::write(&settings, self.settings(node, count))?;
            let process = self.start_node(program, node)?;
            self.nodes.push(process);
        }
        for node in 0..count {
            self.wait_until_ready(node)?;
        }
        Ok(())
    }

    /// Starts a node whose settings were written.
    fn start_node(&self, program: &Path, node: usize) -> io::Result<Process> {
        let settings = self.folder.join(format!("settings-{node}.toml"));
        let arguments = ["gateway", "--settings", &settings.to_string_lossy()];
        let output = self
            .folder
            .join(format!("node-{node}-{}.log", time::unix_ms()));
        Process::start(program, &arguments.map(str::to_owned), &output)
    }

    /// Starts a node again that has ended.
    pub fn restart_node(&mut self, program: &Path, node: usize) -> io::Result<()> {
        self.nodes[node] = self.start_node(program, node)?;
        Ok(())
    }

    /// Waits until a node says that it is ready.
    pub fn wait_until_ready(&self, node: usize) -> io::Result<()> {
        let address = format!("127.0.1.{}:{}", node + 1, self.ports.ready);
        wait_for(Duration::from_secs(10), || {
            client::get(&address, "/-/readyz").is_ok_and(|status| status == 200)
        })
    }

    /// Returns what `platform/settings.toml` gives for a node of a small deployment.
    fn settings(&self, node: usize, count: usize) -> String {
        let ip = format!("127.0.1.{}", node + 1);
        let Ports {
            front,
            ready,
            peers,
            metrics,
        } = self.ports;
        let seeds = (0..count.min(3)).map(|seed| format!("\"127.0.1.{}:{peers}\"", seed + 1));
        let seeds: Vec<String> = seeds.collect();
        let seeds = seeds.join(",");
        let store = &self.store_address;
        format!(
            r#"[node]
host = "edge-caxias-hall-{node}"
data_centre = "caxias-hall"
memory = "260MiB"
stop_within = "8s"

[regions]
"caxias-hall" = "serra-gaucha"

[listen]
callers = "{ip}:{front}"
ready = "{ip}:{ready}"
ready_path = "/-/readyz"
metrics = "{ip}:{metrics}"

[peers]
address = "{ip}:{peers}"
seed_port = {peers}
seeds = [{seeds}]

[platform]
address = "{store}"
regained_within = "3000ms"

[quota]
overrun = 0.25
slack = 140000
window = "8s"

[retry]
ratio = 0.2
extra = 52
window = "10s"
{COMMON}"#
        )
    }
}

/// The rest of `platform/settings.toml`, which has no gaps.
const COMMON: &str = r#"
[headers]
request = "X-Attempt-Id"
deadline = "X-Deadline-Ms"
customer = "X-Tenant"
instance = "X-Expect-Instance"
not_run = "X-Not-Executed"
tokens = "X-Token-Count"
parts = "X-Prefix-Hash"
output_hint = "X-Length-Hint"
last_event = "Last-Event-Id"
resumes = "Resumes"
cold = "X-Cold-Ms"
rate_limit = "Server-Limit"
tolerance = "Server-Brittle"
load = "X-Instance-Load"
leaving = "Server-Leaving"
rest = "Retry-After"
reserved = ["X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"]

[policy]
position_forecast = "variable-capacity"
slot_depth = "variable-capacity"
fair_shares = "variable-capacity"
bookings = "variable-capacity"
redirects = "variable-capacity"
present_speed = "variable-capacity"
"#;

/// Returns a configuration with one route of streams that may be resumed, as `shade-chat` of the
/// site has it.
pub fn stream_configuration() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Host":"{HOST}","PathPrefix":"/pufi791/",
"RouteKind":"streaming","TimeoutMs":12000,"TargetLatencyMs":300,"Priority":1,"Service":"huvo11a",
"MaxAttempts":2,"Anonymous":false,"Sticky":true,"Resumable":true,"ItlTargetMs":250}}],
"Services":[{{"Name":"huvo11a","HealthPath":"/healthz","MaxConns":230,"Protocol":"h1","Tls":false,
"Engine":{{"Slots":10,"KvCapacity":607118,"Models":[{{"Name":"m"}}]}}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1,
"Unit":"token_usage","UncachedTokens":200,"RatePerS":66620,"Burst":66620}}]}}"#
    )
}

/// Returns a configuration with one route of a plain service, as `dose-ack` (`idempotent`) and
/// `dose-call` (`non_idempotent`) of the site have it.
pub fn plain_configuration(kind: &str, attempts: u32) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-2","Host":"{HOST}","PathPrefix":"/cufi504/",
"RouteKind":"{kind}","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"wuno96b",
"MaxAttempts":{attempts},"Anonymous":false,"Sticky":false,"Resumable":false}}],
"Services":[{{"Name":"wuno96b","HealthPath":"/healthz","MaxConns":96,"Protocol":"h1",
"Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1,
"RatePerS":0,"Burst":0}}]}}"#
    )
}

/// Returns a port that is free now.
pub fn free_port() -> io::Result<u16> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.port())
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
