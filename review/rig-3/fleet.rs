//! The processes of the system.

use std::fs::{self, File};
use std::io::{Read, Result, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Program and arguments of the role in the deploy file.
const PROGRAM: &str = "target/release/egretgate";
const ARGS: [&str; 3] = ["gateway", "--metrics-port", "9464"];

/// The daemons of a case.
#[derive(Clone, Default)]
pub struct Fleet(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    folder: Option<PathBuf>,
    daemons: Vec<Daemon>,
}

struct Daemon {
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    starts: u32,
}

/// Returns a free port of an address.
fn free_port(ip: IpAddr) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Fleet {
    /// Adds a daemon and starts it; returns its number.
    pub fn add(&self, store: SocketAddr, zone: &str, further: &str) -> Result<usize> {
        let index = {
            let mut state = self.0.lock().unwrap();
            if state.folder.is_none() {
                let name = format!("egretgate-review-{}", std::process::id());
                let folder = std::env::temp_dir().join(name);
                fs::create_dir_all(&folder)?;
                state.folder = Some(folder);
            }
            let index = state.daemons.len();
            // Each daemon has an address of its own, so that all can serve metrics on one port.
            let process = std::process::id();
            let (high, low) = ((process / 250 % 250) as u8, (process % 250) as u8);
            let ip = IpAddr::V4(Ipv4Addr::new(127, 1 + high, 1 + low, 1 + index as u8));
            let front = SocketAddr::new(ip, free_port(ip)?);
            let ready = SocketAddr::new(ip, free_port(ip)?);
            let peers = free_port(ip)?;
            let text = format!(
                "nodeName = \"edge-{zone}-{}\"\nrole = \"gateway\"\nmachineClass = \"edge\"\n\
                 serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"recife\"\n\
                 portRange = [{peers},{peers}]\nseeds = []\nbootstrap = false\n\
                 faultCounted = true\ndiscovery = \"platform\"\nentry = \"vip\"\n\
                 heartbeatMs = 1200\n\
                 [zones]\nboa-viagem = \"recife\"\nsanto-amaro = \"recife\"\nolinda = \"recife\"\n\
                 [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
                 [limits]\ncpuShare = 0.19\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4200\n\
                 linkMbps = 1000.0\ndiskMb = 0\n\
                 [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
                 catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
                 configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
                 strictRevoke = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
                 budgetWindowS = 10\nretryBudgetSlack = 54\nquotaWindowS = 8\n\
                 quotaOverage = 0.1\nquotaSlack = 190000\ncanaryShare = 0.1\ncanarySlack = 50\n\
                 rollbackMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 9.5\n\
                 [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 400\n\
                 readsPerS = 2000\n{further}",
                index + 1
            );
            let settings = state.folder.as_ref().unwrap().join(format!("{index}.toml"));
            fs::write(&settings, text)?;
            state.daemons.push(Daemon { settings, front, ready, child: None, starts: 0 });
            index
        };
        self.start(index)?;
        Ok(index)
    }

    /// Starts the process of a daemon.
    pub fn start(&self, index: usize) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        let folder = state.folder.clone().unwrap_or_default();
        let daemon = &mut state.daemons[index];
        daemon.starts += 1;
        let log = File::create(folder.join(format!("{index}-{}.log", daemon.starts)))?;
        let child = Command::new(PROGRAM)
            .args(ARGS)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("EGRETGATE_NODE_FILE", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        daemon.child = Some(child);
        Ok(())
    }

    /// Kills the process of a daemon.
    pub fn kill(&self, index: usize) {
        let mut state = self.0.lock().unwrap();
        if let Some(mut child) = state.daemons[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.0.lock().unwrap().daemons[index].front
    }

    /// Waits until a daemon says that it is ready.
    pub fn await_ready(&self, index: usize) -> std::result::Result<(), String> {
        let ready = self.0.lock().unwrap().daemons[index].ready;
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(10) {
            if is_ready(ready).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("daemon {index} isn't ready"))
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn stop(&self) {
        let count = self.0.lock().unwrap().daemons.len();
        (0..count).for_each(|index| self.kill(index));
        let folder = self.0.lock().unwrap().folder.take();
        if let Some(folder) = folder.filter(|_| std::env::var_os("KEEP").is_none()) {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

fn is_ready(address: SocketAddr) -> Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.starts_with("HTTP/1.1 200"))
}
