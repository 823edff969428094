//! Starts the real `egretgate` and `egretside` programs against fakes on loopback ports.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use egretgate::core::check;
use egretgate::core::declaration::Declarations;
use egretgate::core::diff::diff;
use egretgate::operator::{Client, proto};
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;

/// Longest time that a process may take to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Availability zone of every process, unless a test says otherwise.
pub const ZONE: &str = "ub-sukhbaatar";
/// Declarations that every test uses.
const DECLARATIONS: &str = include_str!("declarations.toml");

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it logs the addresses that it serves.
    pub fn start(program: &Path, args: &[String]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        let stderr = child.stderr.take().expect("piped");
        let addresses = read_addresses(stderr);
        Self { child, addresses }
    }

    /// Returns the address logged under `name` when the process began to serve.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {id}");
    }

    /// Freezes the process, and waits until each of its threads has stopped, since the signal
    /// reaches them one by one.
    pub fn freeze(&self) {
        self.signal("STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let deadline = Instant::now() + START_TIMEOUT;
        while !all_stopped(&tasks) {
            assert!(Instant::now() < deadline, "the process does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits for the end of the process. Returns whether it exited successfully within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether every thread in a `/proc/PID/task` directory is stopped.
fn all_stopped(tasks: &str) -> bool {
    let stopped = |task: std::io::Result<std::fs::DirEntry>| {
        let stat = task.and_then(|task| std::fs::read_to_string(task.path().join("stat")));
        // The state follows the program's name, which is in parentheses.
        stat.is_ok_and(|stat| stat.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T")))
    };
    std::fs::read_dir(tasks).is_ok_and(|mut tasks| tasks.all(stopped))
}

/// Reads the log up to the line `serving` and returns its addresses. A thread keeps reading, so
/// that the pipe doesn't fill up.
fn read_addresses(stderr: ChildStderr) -> HashMap<String, SocketAddr> {
    let mut lines = BufReader::new(stderr).lines();
    let deadline = Instant::now() + START_TIMEOUT;
    let mut seen = Vec::new();
    while let Some(Ok(line)) = lines.next() {
        assert!(Instant::now() < deadline, "no serving line among {seen:?}");
        if line.contains("serving") {
            // Shown only if the test fails, since the thread inherits the output capture of its
            // test.
            std::thread::spawn(move || {
                for line in lines.map_while(std::io::Result::ok) {
                    println!("{line}");
                }
            });
            let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
            return pairs
                .filter_map(|(name, value)| {
                    let address = value.trim_matches('"').parse().ok()?;
                    Some((name.to_owned(), address))
                })
                .collect();
        }
        seen.push(line);
    }
    panic!("the process ended without serving: {seen:?}");
}

/// The platform's fakes, and the means to start the programs under test.
pub struct Testbed {
    /// Fake log.
    pub log: Log,
    /// Fake instance list.
    pub instances: Instances,
}

impl Testbed {
    /// Starts the platform's fakes.
    pub async fn start() -> Self {
        let log = Log::start().await.expect("loopback");
        let instances = Instances::start().await.expect("loopback");
        Self { log, instances }
    }

    /// Starts a side process in front of `upstream`, which runs version `v1`, and lists it.
    pub fn side(&self, name: &str, kind: Kind, upstream: SocketAddr) -> Process {
        self.side_with_version(name, kind, upstream, "v1")
    }

    /// Starts a side process in a zone, in front of `upstream`, which runs version `v1`, and lists
    /// it.
    pub fn side_in(&self, zone: &str, name: &str, kind: Kind, upstream: SocketAddr) -> Process {
        let side = Self::start_side(zone, name, kind, upstream, "v1");
        self.instances.set(Instance::new(name, zone, kind.service(), side.address("link")));
        side
    }

    /// Starts a side process in front of `upstream`, which runs the given version, and lists it.
    pub fn side_with_version(
        &self,
        name: &str,
        kind: Kind,
        upstream: SocketAddr,
        version: &str,
    ) -> Process {
        let side = Self::unlisted_side(name, kind, upstream, version);
        self.list(name, kind, side.address("link"));
        side
    }

    /// Starts a side process without listing it.
    pub fn unlisted_side(name: &str, kind: Kind, upstream: SocketAddr, version: &str) -> Process {
        Self::start_side(ZONE, name, kind, upstream, version)
    }

    fn start_side(
        zone: &str,
        name: &str,
        kind: Kind,
        upstream: SocketAddr,
        version: &str,
    ) -> Process {
        let engine = format!("{upstream}:{version}");
        let args = [
            "serve",
            "--instance",
            name,
            "--zone",
            zone,
            "--service",
            kind.service(),
            "--kind",
            kind.as_str(),
            "--engine",
            &engine,
            "--link-address",
            "127.0.0.1:0",
            "--admin-address",
            "127.0.0.1:0",
        ];
        Process::start(&side_program(), &args.map(str::to_owned))
    }

    /// Lists an upstream at the address of its side process, or of a relay in front of it.
    pub fn list(&self, name: &str, kind: Kind, address: SocketAddr) {
        self.instances.set(Instance::new(name, ZONE, kind.service(), address));
    }

    /// Starts an entry.
    pub fn entry(&self, name: &str) -> Process {
        self.entry_with(name, self.log.address())
    }

    /// Starts an entry that reaches the log at `log`.
    pub fn entry_with(&self, name: &str, log: SocketAddr) -> Process {
        let (log, list) = (log.to_string(), self.instances.address().to_string());
        let args = [
            "serve",
            "--instance",
            name,
            "--zone",
            ZONE,
            "--caller-address",
            "127.0.0.1:0",
            "--admin-address",
            "127.0.0.1:0",
            "--operator-address",
            "127.0.0.1:0",
            "--log-address",
            &log,
            "--instances-address",
            &list,
        ];
        let program = Path::new(env!("CARGO_BIN_EXE_egretgate"));
        Process::start(program, &args.map(str::to_owned))
    }

    /// Applies the tests' declarations through an entry and waits until they are in force.
    pub async fn declare(&self, entry: &Process) {
        let declared = check::parse(DECLARATIONS).expect("valid declarations");
        let puts = diff(&Declarations::default(), &declared)
            .into_iter()
            .filter_map(|change| Some(proto::Item::new(change.name, 0, change.after?)))
            .collect();
        wait_until_ready(entry.address("admin")).await;
        let author = proto::Author { operator: "tests".into(), reason: "set-up".into() };
        let request = proto::ApplyRequest { author: Some(author), puts, ..Default::default() };
        let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
        let reply = client.apply(request).await.expect("the log is up");
        assert!(reply.accepted, "{:?}", reply.refusals);
    }
}

/// Kind of the upstream behind a side process.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

impl Kind {
    /// Returns the declared service of upstreams of this kind.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Engine => "report-writers",
            Self::Plain => "tag-ledger",
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Plain => "plain",
        }
    }
}

/// Waits until the process with this administration address reports that it is ready.
pub async fn wait_until_ready(admin: SocketAddr) {
    let client = egretgate_http::Client::new(admin);
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let call = egretgate_http::Call::get("/readyz");
        if client.fetch(call, START_TIMEOUT).await.is_ok_and(|answer| answer.is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{admin} is not ready in time");
}

/// Returns the path of `egretside`, which is in the same directory as `egretgate`.
fn side_program() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_egretgate")).with_file_name("egretside")
}

/// Waits until a condition holds.
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + START_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {description}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
