//! One node's process whose log is read, at the addresses of a fleet of one.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::net::TcpStream;
use woadstage_standin::fleet::Fleet;
use woadstage_standin::fleet::Options;

use crate::support::program;
use crate::support::until;

/// Where a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// The platform of a node that does not run yet, and its settings.
pub struct Site {
    _fleet: Fleet,
    pub addresses: Addresses,
    /// Valid settings.
    pub settings: String,
    path: PathBuf,
}

/// A process of a node.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Site {
    pub async fn new() -> anyhow::Result<Site> {
        let options = Options {
            program: program(),
            nodes: 1,
            engines: 0,
            services: 0,
            logs: false,
        };
        let mut fleet = Fleet::start(options).await?;
        fleet.kill(0)?;
        let node = &fleet.nodes[0];
        let entry = fleet.list.hosts.iter().find(|host| host.name == node.name);
        let addresses = Addresses {
            callers: node.callers.parse()?,
            operators: node.operators.parse()?,
            peers: entry.expect("the node should be listed").address.parse()?,
        };
        let path = fleet.folder().join(format!("{}.toml", node.name));
        Ok(Site {
            addresses,
            settings: std::fs::read_to_string(&path)?,
            path,
            _fleet: fleet,
        })
    }

    /// Replaces the settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(&self.path, text).expect("the settings should be written");
    }

    /// Removes the settings file.
    pub fn remove_settings(&self) {
        std::fs::remove_file(&self.path).expect("the settings should be removed");
    }

    /// Starts a process, which appends its output and errors to one file.
    pub fn start(&self) -> Process {
        let log = self.path.with_extension("log");
        let output = File::options().create(true).append(true).open(&log);
        let output = output.expect("the log should be opened");
        let errors = output.try_clone().expect("the log should be shared");
        let child = Command::new(program())
            .args(["serve", "--settings"])
            .arg(&self.path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program should start");
        Process { child, log }
    }
}

impl Process {
    /// Returns what the process and its predecessors wrote.
    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last line.
    pub fn last_line(&self) -> String {
        self.text().lines().last().unwrap_or_default().to_owned()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("the id is valid");
        kill_process(pid, signal).expect("the process should exist");
    }

    /// Waits until the process logs this, which it has to do before it ends.
    pub async fn wait_for_text(&mut self, text: &str) {
        let this = std::cell::RefCell::new(self);
        until(text, || async {
            let mut process = this.borrow_mut();
            let is_logged = process.text().contains(text);
            assert!(
                is_logged || process.is_running(),
                "ended: {}",
                process.text()
            );
            is_logged
        })
        .await;
    }

    /// Waits until the process serves at its addresses.
    pub async fn wait_until_serving(&mut self, addresses: Addresses) {
        let this = std::cell::RefCell::new(self);
        until("the node serves", || async {
            {
                let mut process = this.borrow_mut();
                assert!(process.is_running(), "ended: {}", process.text());
            }
            // The node's socket for other nodes refuses to share its address.
            let is_bound = std::net::UdpSocket::bind(addresses.peers).is_err();
            is_bound
                && TcpStream::connect(addresses.callers).await.is_ok()
                && TcpStream::connect(addresses.operators).await.is_ok()
        })
        .await;
    }

    /// Waits until the process has ended, and returns its status.
    pub async fn wait_for_end(&mut self) -> Option<i32> {
        let this = std::cell::RefCell::new(&mut *self);
        until("the process ends", || async {
            !this.borrow_mut().is_running()
        })
        .await;
        self.child
            .wait()
            .expect("the status should be known")
            .code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
