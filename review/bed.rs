//! What the cases share: their addresses, the record, and the gateway's processes.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::read_answer;
use crate::store::Store;

/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// The record of a run, a line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

/// A run of one case.
pub struct Bed {
    pub record: Record,
    pub store: Store,
    /// Third octet of all addresses of this run.
    net: u8,
    folder: PathBuf,
    gateways: Vec<Gateway>,
    pub trouble: bool,
}

/// A process of the gateway.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    child: Child,
}

impl Gateway {
    pub fn front(&self) -> SocketAddr {
        format!("{}:8221", self.ip).parse().unwrap()
    }

    fn ready(&self) -> SocketAddr {
        format!("{}:8224", self.ip).parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }
}

impl Bed {
    /// Starts a run; the folder for its record is the second argument, that for temporary files the
    /// third.
    pub fn start() -> Self {
        let mut args = std::env::args().skip(2);
        let (Some(out), Some(folder)) = (args.next(), args.next()) else {
            eprintln!("usage: CASE OUTPUT-FOLDER TEMPORARY-FOLDER");
            std::process::exit(NOT_RUN);
        };
        let file = File::create(PathBuf::from(out).join("record.txt")).expect("the record");
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let first = (std::process::id() % 200) as u8;
        let net = (0..50).map(|step| 10 + (first + step) % 240).find(|net| {
            let ip = Ipv4Addr::new(127, 77, *net, 10);
            [8221, 8224, 7600, 9464].iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        let Some(net) = net else {
            eprintln!("no free loopback addresses");
            std::process::exit(NOT_RUN);
        };
        let store = Store::start(&format!("127.77.{net}.1"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("trouble: {trouble}"));
        Self { record, store, net, folder: folder.into(), gateways: Vec::new(), trouble }
    }

    /// Returns a loopback address of this run for a server.
    pub fn server_ip(&self, number: u8) -> String {
        format!("127.77.{}.{}", self.net, 100 + number)
    }

    /// Starts a gateway with the command of the deploy file, which stands in `GATEWAY`.
    pub fn start_gateway(&mut self, number: u8) {
        let name = format!("edge-zone-a-{number}");
        let ip = format!("127.77.{}.{}", self.net, 10 + number);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings(&name, &ip, self.store.address)).expect("the settings");
        let log_path = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log_path).expect("a log");
        let command = std::env::var("GATEWAY").expect("the command of the gateway");
        let mut words = command.split_whitespace();
        let program = words.next().expect("a program");
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EGRETGATE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("its log"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                eprintln!("{program}: {error}");
                std::process::exit(NOT_RUN);
            }
        };
        let pids = self.folder.join("pids");
        let mut pids = OpenOptions::new().create(true).append(true).open(pids).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.record.line(&format!("{name} starts, process {}", child.id()));
        self.gateways.retain(|gateway| gateway.name != name);
        self.gateways.push(Gateway { name, ip, child });
    }

    pub fn gateway(&self, number: u8) -> &Gateway {
        let name = format!("edge-zone-a-{number}");
        self.gateways.iter().find(|gateway| gateway.name == name).expect("a started gateway")
    }

    /// Kills a gateway and waits for its end.
    pub fn kill_gateway(&mut self, number: u8) {
        let name = format!("edge-zone-a-{number}");
        let gateway = self.gateways.iter_mut().find(|gateway| gateway.name == name).unwrap();
        let _ = gateway.child.kill();
        let _ = gateway.child.wait();
        self.record.line(&format!("{name} killed"));
    }

    /// Returns true if a gateway's process still runs.
    pub fn is_running(&mut self, number: u8) -> bool {
        let name = format!("edge-zone-a-{number}");
        let gateway = self.gateways.iter_mut().find(|gateway| gateway.name == name).unwrap();
        matches!(gateway.child.try_wait(), Ok(None))
    }

    /// Waits until a gateway says that it is ready.
    pub fn await_ready(&mut self, number: u8) {
        let address = self.gateway(number).ready();
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if is_ready(address) {
                self.record.line(&format!("gateway {number} is ready"));
                return;
            }
            sleep(Duration::from_millis(20));
        }
        eprintln!("gateway {number} isn't ready in time");
        self.stop();
        std::process::exit(NOT_RUN);
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
    }

    /// Ends the run with the verdict.
    pub fn finish(mut self, broken: bool, verdict: &str) -> ! {
        self.stop();
        self.record.line(&format!("verdict: {verdict}"));
        println!("{}: {verdict}", if broken { "BROKEN" } else { "held" });
        std::process::exit(i32::from(broken));
    }
}

/// Returns true if the ready address answers 200, as the platform asks it.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let request = "GET /readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let now = Instant::now();
    read_answer(&mut stream, now, now + Duration::from_millis(500)).status == 200
}

/// Returns settings as the platform writes them for a small deployment.
fn settings(name: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
portRange = [7600,7615]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpuShare = 0.19
cpuCores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 190000
canaryShare = 0.1
canarySlack = 50
rollbackMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 9.5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"#
    )
}

/// Returns the operator's configuration with two services, `desk` for calls and `writer` for streams.
pub fn config(version: u64, routes: &str, limits: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"backends":[{{"name":"desk","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}},{{"name":"writer","healthPath":"/healthz","maxConnections":490,"protocol":"h1","tls":false}}],"limits":{limits},"tenants":[{tenants}]}}"#
    )
}

/// The limits of callers of the users' small deployments.
pub const LIMITS: &str = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
/// A tenant without a limit.
pub const TENANT: &str = r#"{"name":"mill","apiKeys":["key-mill"],"unit":"token_count","uncachedTokens":200,"ratePerS":0,"burst":0}"#;
