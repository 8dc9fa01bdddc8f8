//! What the cases have in common: the record, the folder and the configuration.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::client;
use crate::node::Node;
use crate::node::Process;
use crate::node::start_worker;
use crate::store::Store;

/// The slots of a worker, unless a case needs other ones.
pub const SLOTS: u32 = 10;

/// A case in play.
#[derive(Clone)]
pub struct Case {
    /// Whether the disruption is left out.
    pub is_calm: bool,
    /// The store.
    pub store: Store,
    /// The temporary folder for settings and logs.
    pub folder: PathBuf,
    record: Arc<Mutex<File>>,
    started: Instant,
}

impl Case {
    /// Begins a case.
    pub fn begin(folder: &Path) -> Case {
        let record = File::create(folder.join("record.txt")).expect("a folder to write to");
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        Case {
            is_calm: std::env::var("TROUBLE").is_ok_and(|text| text == "0"),
            store: Store::start(),
            folder: temporary,
            record: Arc::new(Mutex::new(record)),
            started: Instant::now(),
        }
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().expect("no panic");
        writeln!(record, "{at:8.3} s  {text}").expect("a record");
    }

    /// Writes the configuration, with the routes given.
    pub fn configure(&self, routes: &str) {
        let value = format!(
            "{{\"Version\":7,\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"wuno96b\",\
             \"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
             \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{}\"],\"Priority\":1}}]}}",
            client::KEY
        );
        self.store.write("op/config", Some(&value));
    }

    /// Starts a worker and writes its entry, which names `published` as its address.
    pub fn start_worker(
        &self,
        id: &str,
        version: &str,
        address: SocketAddr,
        published: SocketAddr,
        framing: &str,
    ) -> Process {
        self.start_worker_with(id, version, address, published, framing, SLOTS)
    }

    /// Starts a worker with this number of slots.
    pub fn start_worker_with(
        &self,
        id: &str,
        version: &str,
        address: SocketAddr,
        published: SocketAddr,
        framing: &str,
        slots: u32,
    ) -> Process {
        let log = self.folder.join("workers.log");
        let process = start_worker(id, version, address, &log, framing);
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let value = format!(
            "{{\"Service\":\"wuno96b\",\"Address\":\"{published}\",\"Zone\":\"cluj-a\",\
             \"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"CallSeq\":0,\"born\":{born}}}"
        );
        self.store.write(&format!("servers/{id}"), Some(&value));
        self.note(&format!(
            "worker {id} {version} starts at {address}, born {born}"
        ));
        process
    }

    /// Waits until each node serves a request on this path.
    pub fn wait_until_served(&self, nodes: &[Node], path: &str) {
        let until = Instant::now() + Duration::from_secs(10);
        for (index, node) in nodes.iter().enumerate() {
            loop {
                let id = format!("warm-{index}");
                let answer = client::send(node.front, "GET", path, &id, 8_000);
                if answer.status() == 200 {
                    break;
                }
                assert!(Instant::now() < until, "node {} does not serve", index + 1);
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.note("all nodes serve");
    }

    /// Adds the logs of workers and nodes to the record, and removes the temporary folder.
    pub fn end(&self) {
        let workers = std::fs::read_to_string(self.folder.join("workers.log"));
        self.note("what the workers ran (Unix milliseconds):");
        {
            let mut record = self.record.lock().expect("no panic");
            record
                .write_all(workers.unwrap_or_default().as_bytes())
                .expect("a record");
        }
        if std::env::var("KEEP").is_ok() {
            println!("kept {}", self.folder.display());
        } else {
            // What is left is in the system's temporary folder.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route, as the configuration holds it.
pub fn route(
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    objective_ms: u64,
    attempts: u32,
    is_resumable: bool,
) -> String {
    format!(
        "{{\"Name\":\"r-{kind}\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"{prefix}\",\
         \"RouteKind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{objective_ms},\
         \"Priority\":1,\"Service\":\"wuno96b\",\"MaxAttempts\":{attempts},\"Anonymous\":false,\
         \"Sticky\":false,\"Resumable\":{is_resumable},\"ItlTargetMs\":400}}"
    )
}
