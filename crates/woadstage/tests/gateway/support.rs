//! A gateway that runs as a process, with addresses of its own.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;
use rustix::process::prlimit;
use serde_json::Value;

/// The addresses of a node, which differ between tests and test processes.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub metrics: SocketAddrV4,
    pub peers: SocketAddrV4,
}

impl Addresses {
    pub fn new() -> Addresses {
        static NEXT: AtomicU16 = AtomicU16::new(20_000);
        let port = NEXT.fetch_add(4, Ordering::Relaxed);
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | high & 63, middle, low.max(1));
        let address = |offset| SocketAddrV4::new(ip, port + offset);
        Addresses {
            callers: address(0),
            ready: address(1),
            metrics: address(2),
            peers: address(3),
        }
    }

    /// Returns complete settings of a node whose store can't be reached.
    pub fn to_settings(self) -> String {
        let Addresses {
            callers,
            ready,
            metrics,
            peers,
        } = self;
        format!(
            "last_table = \"end\"\n[node]\nhost = \"edge-1\"\ndata_centre = \"a\"\nstop_within = \"5s\"\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
             [peers]\naddress = \"{peers}\"\nseeds = []\n\
             [platform]\naddress = \"{}:9\"\n\
             [headers]\nrequest = \"X-Id\"\nleaving = \"X-Leaving\"\n[end]\n",
            callers.ip()
        )
    }
}

/// A process of a gateway.
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// A folder that is removed in the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("woadstage-process-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder should be created");
        Folder(path)
    }

    pub fn settings(&self) -> PathBuf {
        self.0.join("settings.toml")
    }

    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.settings(), text).expect("the settings should be written");
    }

    /// Starts a process, which appends its output and errors to one file.
    pub fn start(&self) -> Process {
        let program = env!("CARGO_BIN_EXE_woadstage");
        self.start_with(Command::new(program).args(["gateway", "--settings"]))
    }

    /// Starts a process in a shell that sets limits first.
    pub fn start_limited(&self, limits: &str) -> Process {
        let script = format!("{limits} && exec \"$0\" gateway --settings \"$1\"");
        let program = env!("CARGO_BIN_EXE_woadstage");
        self.start_with(Command::new("sh").args(["-c", &script, program]))
    }

    /// Starts a process whose errors nobody reads.
    pub fn start_with_unread_errors(&self) -> Process {
        let program = env!("CARGO_BIN_EXE_woadstage");
        let mut command = Command::new(program);
        command.args(["gateway", "--settings"]);
        self.spawn(command.stderr(Stdio::piped()))
    }

    fn start_with(&self, command: &mut Command) -> Process {
        let errors = File::options().create(true).append(true).open(self.log());
        self.spawn(command.stderr(errors.expect("the log should be opened")))
    }

    fn log(&self) -> PathBuf {
        self.0.join("log")
    }

    fn spawn(&self, command: &mut Command) -> Process {
        let log = self.log();
        let output = File::options().create(true).append(true).open(&log);
        let child = command
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(output.expect("the log should be opened"))
            .spawn()
            .expect("the program should start");
        Process { child, log }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A failure leaves a folder behind.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Process {
    /// Returns what the process and its predecessors wrote.
    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the lines of the log with this event.
    pub fn events(&self, event: &str) -> Vec<Value> {
        let text = self.text();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }

    /// Returns the last line, in the log's form.
    pub fn last_line(&self) -> Value {
        let text = self.text();
        let last = text.lines().last().unwrap_or_default();
        serde_json::from_str(last).unwrap_or_else(|_| panic!("the last line is no event: {text}"))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("the id is valid");
        kill_process(pid, signal).expect("the process should exist");
    }

    /// Sets how many descriptors the process may have.
    pub fn allow_descriptors(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(descriptors),
        };
        let pid = Pid::from_raw(self.child.id() as i32).expect("the id is valid");
        prlimit(Some(pid), Resource::Nofile, limit).expect("the limit should be set");
    }

    /// Waits until the process logs an event, which it has to do before it ends.
    pub fn wait_for_event(&mut self, event: &str) {
        wait_until(event, || {
            let is_logged = !self.events(event).is_empty();
            assert!(is_logged || self.is_running(), "ended: {}", self.text());
            is_logged
        });
    }

    /// Waits until the process serves at all of its addresses.
    pub fn wait_until_serving(&mut self, addresses: Addresses) {
        wait_until("the node serves", || {
            assert!(self.is_running(), "ended: {}", self.text());
            let ready = get(addresses.ready, "/readyz");
            let metrics = get(addresses.metrics, "/metrics");
            ready.starts_with("HTTP/1.1 503")
                && metrics.starts_with("HTTP/1.1 200")
                && TcpStream::connect(addresses.callers).is_ok()
                && TcpStream::connect(addresses.peers).is_ok()
        });
    }

    /// Waits until the process has ended.
    pub fn wait_for_end(&mut self) -> ExitStatus {
        wait_until("the process ends", || !self.is_running());
        self.child.wait().expect("the status should be known")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Requests a page, and returns the answer, or an empty text if there is none.
fn get(address: SocketAddrV4, path: &str) -> String {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        )?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    exchange().unwrap_or_default()
}

/// Polls until the condition holds. The limit is generous, so that a slow machine does not fail the
/// test.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    const MAX_POLLS: u32 = 3_000;
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("timed out waiting for: {what}");
}
