//! Stand-in for an application server.

use std::collections::HashMap;
use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval of a server's records in the store, and the time after which the store drops one.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Requests that a server runs at once.
const SLOTS: u32 = 9;
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// What a server does with a request that names it.
pub enum Action {
    /// Runs it for a time and answers with this status.
    Run(Duration, &'static str),
    /// Runs it and answers with a stream whose first event comes after a time.
    Stream(Duration),
    /// Refuses it as a full server does, without running it.
    Refuse,
    /// Begins to run it and crashes.
    Crash,
}

/// A request that reached a server which it names.
#[derive(Debug, Clone)]
pub struct Run {
    /// Seconds since the start.
    pub at: f64,
    pub id: String,
    pub tenant: Vec<u8>,
    pub version: &'static str,
    pub path: String,
    /// Status that it answers with; 0 for a crash.
    pub status: u16,
    /// Time to the first event of a stream.
    pub first: Duration,
}

/// What all servers of a case share.
#[derive(Clone)]
pub struct Servers {
    pub store: Store,
    pub record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    names: Arc<AtomicU64>,
}

impl Servers {
    pub fn new(store: &Store, record: &Record) -> Self {
        Self {
            store: store.clone(),
            record: record.clone(),
            runs: Arc::default(),
            names: Arc::default(),
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Starts a server of a service; `act` decides what it does with each request.
    pub fn start(
        &self,
        service: &'static str,
        version: &'static str,
        zone: &'static str,
        act: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            shared: self.clone(),
            service,
            version,
            zone,
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new("ready")),
            gone: Arc::default(),
            act: Arc::new(act),
        };
        let running = server.clone();
        thread::spawn(move || running.run(listener));
        Ok(server)
    }
}

#[derive(Clone)]
pub struct Server {
    shared: Servers,
    service: &'static str,
    version: &'static str,
    zone: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<&'static str>>,
    gone: Arc<AtomicBool>,
    act: Arc<dyn Fn(&Message) -> Action + Send + Sync>,
}

/// One start of a server.
struct Incarnation {
    id: String,
    born: u128,
    ended: Arc<AtomicBool>,
    sockets: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    /// Leaves: its record is removed and it ends.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    fn run(self, mut listener: TcpListener) {
        loop {
            let number = self.shared.names.fetch_add(1, Ordering::SeqCst);
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let incarnation = Arc::new(Incarnation {
                id: format!("i-{number:04x}"),
                born: born.as_millis(),
                ended: Arc::default(),
                sockets: Arc::default(),
            });
            let (server, own) = (self.clone(), Arc::clone(&incarnation));
            thread::spawn(move || server.register(&own));
            let _ = listener.set_nonblocking(true);
            let mut count = 0;
            while !incarnation.ended.load(Ordering::SeqCst) {
                if self.gone.load(Ordering::SeqCst) {
                    incarnation.ended.store(true, Ordering::SeqCst);
                    break;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        count += 1;
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            incarnation.sockets.lock().unwrap().insert(count, copy);
                        }
                        let (server, own) = (self.clone(), Arc::clone(&incarnation));
                        thread::spawn(move || {
                            let _ = server.serve(stream, &own);
                            own.sockets.lock().unwrap().remove(&count);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            for (_, socket) in incarnation.sockets.lock().unwrap().drain() {
                let _ = socket.shutdown(Shutdown::Both);
            }
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
        }
    }

    /// Keeps the record of an incarnation in the store until it has ended.
    fn register(&self, incarnation: &Incarnation) {
        let Incarnation { id, born, ended, .. } = incarnation;
        let mut seq = 0;
        let mut written = "";
        let mut since_write = HEARTBEAT;
        let step = Duration::from_millis(50);
        while !ended.load(Ordering::SeqCst) {
            let state = *self.state.lock().unwrap();
            if since_write >= HEARTBEAT || state != written {
                seq += 1;
                (written, since_write) = (state, Duration::ZERO);
                let text = format!(
                    "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                     \"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":{seq},\
                     \"born\":{born}}}",
                    self.service, self.address, self.zone, self.version
                );
                self.shared.store.put("keyed.servers", id, text.as_bytes());
            }
            thread::sleep(step);
            since_write += step;
        }
        if !self.gone.load(Ordering::SeqCst) {
            thread::sleep(EXPIRY.saturating_sub(since_write));
        }
        self.shared.store.put("keyed.servers", id, b"");
    }

    fn serve(&self, stream: TcpStream, incarnation: &Incarnation) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader, false)?;
            let id = request.text("egretgate-request-id");
            if request.text("egretgate-target-instance") != incarnation.id {
                http::answer(&mut writer, "421 Misdirected Request", &[], b"")?;
                continue;
            }
            let action = (self.act)(&request);
            let status = match action {
                Action::Run(_, status) => status.split(' ').next().unwrap_or("").parse(),
                Action::Stream(_) => Ok(200),
                Action::Refuse => Ok(503),
                Action::Crash => Ok(0),
            };
            let first = match action {
                Action::Stream(first) => first,
                _ => Duration::ZERO,
            };
            let run = Run {
                first,
                at: self.shared.record.now(),
                id: id.clone(),
                tenant: request.header("egretgate-tenant").unwrap_or_default().to_vec(),
                version: self.version,
                path: request.word(1).to_owned(),
                status: status.unwrap_or(0),
            };
            self.shared.record.line(&format!(
                "server {} ({}) gets {id} {} tenant {:?} -> {}",
                incarnation.id,
                self.version,
                run.path,
                String::from_utf8_lossy(&run.tenant),
                if run.status == 0 { "crash".to_owned() } else { run.status.to_string() }
            ));
            self.shared.runs.lock().unwrap().push(run);
            match action {
                Action::Run(time, status) => {
                    thread::sleep(time);
                    let headers =
                        [("egretgate-request-id", id.as_str()), ("egretgate-response-signature", "s")];
                    http::answer(&mut writer, status, &headers, b"done")?;
                }
                Action::Stream(first) => {
                    thread::sleep(first);
                    write_stream(&mut writer, &id)?;
                }
                Action::Refuse => {
                    let headers = [
                        ("egretgate-request-id", id.as_str()),
                        ("egretgate-response-signature", "s"),
                        ("egretgate-not-executed", "1"),
                    ];
                    http::answer(&mut writer, "503 Service Unavailable", &headers, b"full")?;
                }
                Action::Crash => {
                    incarnation.ended.store(true, Ordering::SeqCst);
                    thread::sleep(Duration::from_secs(1));
                    return Ok(());
                }
            }
        }
    }
}

/// Writes a stream of ten events.
fn write_stream(writer: &mut TcpStream, id: &str) -> Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         egretgate-request-id: {id}\r\negretgate-response-signature: s\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=10 {
        let event = format!("id: {number}\ndata: part {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(20));
    }
    writer.write_all(b"0\r\n\r\n")
}
