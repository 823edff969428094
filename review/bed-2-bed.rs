//! What all cases share: the record, the gateway's process, its settings and free addresses.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{End, ask};
use crate::store::Store;

/// The file `record.txt`: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
    }

    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }

    /// Sleeps until `seconds` after the start.
    pub fn until(&self, seconds: f64) {
        let at = self.start + Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// The places of a run: the repository, the temporary folder and an address for each machine.
pub struct Bed {
    pub record: Record,
    pub trouble: bool,
    pub temporary: PathBuf,
    net: u8,
}

impl Bed {
    /// Reads `TROUBLE`, `RECORD` and `BED_TMP` of the environment, which `run.sh` sets.
    pub fn new() -> Self {
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let record = Record::create(Path::new(&variable("RECORD")));
        let trouble = variable("TROUBLE") != "0";
        record.add(&format!("trouble: {trouble}"));
        let net = (std::process::id() % 200) as u8 + 20;
        Self { record, trouble, temporary: PathBuf::from(variable("BED_TMP")), net }
    }

    /// Returns the loopback address of a machine; each machine has one of its own.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 88, self.net, machine)
    }

    pub fn listener(&self, machine: u8) -> TcpListener {
        TcpListener::bind((self.ip(machine), 0)).expect("a free port")
    }
}

/// The process of one gateway.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics_port: u16,
    child: Option<Child>,
}

/// Returns a port of `ip` that is free for TCP and UDP.
fn free_port(ip: Ipv4Addr, first: u16) -> u16 {
    (first..first + 2_000)
        .find(|port| TcpListener::bind((ip, *port)).is_ok() && UdpSocket::bind((ip, *port)).is_ok())
        .expect("a free port")
}

impl Gateway {
    /// Writes the settings of the machine `name` and starts the command of the deploy file.
    pub fn start(bed: &Bed, machine: u8, name: &str, zone: &str, store: &Store) -> Self {
        let ip = bed.ip(machine);
        let front = free_port(ip, 8_221);
        let ready = free_port(ip, front + 1);
        let control = free_port(ip, ready + 1);
        let peers = free_port(ip, 12_600);
        let metrics_port = free_port(ip, 9_464);
        let text = format!(
            r#"nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "recife"
portRange = [{peers},{}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","platform"]
[zones]
boa-viagem = "recife"
santo-amaro = "recife"
olinda = "recife"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
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
address = "{}"
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
"#,
            peers + 15,
            store.address
        );
        let settings = bed.temporary.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings can be written");
        let mut gateway = Self {
            name: name.to_owned(),
            front: SocketAddr::new(IpAddr::V4(ip), front),
            ready: SocketAddr::new(IpAddr::V4(ip), ready),
            settings,
            log: bed.temporary.join(format!("{name}.log")),
            metrics_port,
            child: None,
        };
        gateway.spawn(bed);
        gateway
    }

    /// Starts the process, again if it was killed.
    pub fn spawn(&mut self, bed: &Bed) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/egretgate")
            .args(["gateway", "--metrics-port", &self.metrics_port.to_string()])
            .env("EGRETGATE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                bed.record.add(&format!("{} started", self.name));
                let pids = bed.temporary.join("pids");
                let mut file =
                    fs::OpenOptions::new().create(true).append(true).open(pids).expect("pids");
                let _ = writeln!(file, "{}", child.id());
                self.child = Some(child);
            }
            Err(error) => {
                bed.record.say(&format!("egretgate can't be started: {error}"));
                std::process::exit(2);
            }
        }
    }

    /// Kills the process, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the gateway says that it is ready.
    pub fn await_ready(&self, bed: &Bed) {
        let request = b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        for _ in 0..400 {
            if let End::Answer { head, .. } = ask(self.ready, request, Duration::from_millis(500)) {
                if head.status() == 200 {
                    bed.record.add(&format!("{} is ready", self.name));
                    return;
                }
            }
            thread::sleep(Duration::from_millis(25));
        }
        bed.record.say("a gateway isn't ready in time");
        std::process::exit(2);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a request as a client sends it.
pub fn request(path: &str, id: &str, deadline_ms: u64, further: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nEgretgate-Request-Id: {id}\r\n\
         Egretgate-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: i9n73hh2b9wu3fexd9dn\r\n{further}\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a configuration with these routes, each given as JSON.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"backends":[{{"name":"desk","healthPath":"/healthz"}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":0,"unit":"token_count","uncachedTokens":200,"ratePerS":0,"burst":0}}]}}"#,
        routes.join(",")
    )
}

/// Returns a server's record in the store.
pub fn listing(
    address: SocketAddr,
    version: &str,
    state: &str,
    slots: u32,
    seq: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"backend":"desk","address":"{address}","zone":"boa-viagem","version":"{version}","slots":{slots},"state":"{state}","coldRemainingMs":0,"seq":{seq},"born":{born}}}"#
    )
}
