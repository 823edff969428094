//! A stand-in for a server: lists itself in the store, and answers calls and streams.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::Record;
use crate::http::{Head, read_head, read_length, write_answer};
use crate::store::Store;

/// Interval at which a server writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a server and ran there.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub at: Instant,
}

struct State {
    id: String,
    address: SocketAddr,
    backend: String,
    version: String,
    born: u64,
    seq: AtomicU64,
    /// What its record says; `None` while it isn't listed.
    stage: Mutex<Option<&'static str>>,
    /// True once all its answers say that it leaves.
    leaving: AtomicBool,
    stopped: AtomicBool,
    /// Requests of a thousand whose connection is closed without an answer after they have run.
    failing: AtomicU64,
    draws: AtomicU64,
    /// Time that a call takes, and a stream until its first event.
    work: Duration,
    /// Events of a stream and the time between two of them.
    events: (u64, Duration),
    runs: Mutex<Vec<Run>>,
    /// Requests that run now.
    running: AtomicU64,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    store: Store,
    record: Record,
}

#[derive(Clone)]
pub struct Server(Arc<State>);

/// What tells one server from another.
pub struct Spec<'a> {
    pub id: &'a str,
    pub ip: String,
    pub backend: &'a str,
    pub version: &'a str,
    pub work: Duration,
    pub events: (u64, Duration),
}

impl Server {
    /// Starts a server and lists it as ready.
    pub fn start(spec: &Spec<'_>, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((spec.ip.as_str(), 8080)).expect("a server's address");
        let server = Self(Arc::new(State {
            id: spec.id.to_owned(),
            address: listener.local_addr().unwrap(),
            backend: spec.backend.to_owned(),
            version: spec.version.to_owned(),
            born: unix_nanos() / 1_000_000,
            seq: AtomicU64::new(0),
            stage: Mutex::new(Some("ready")),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            failing: AtomicU64::new(0),
            draws: AtomicU64::new(unix_nanos() | 1),
            work: spec.work,
            events: spec.events,
            runs: Mutex::default(),
            running: AtomicU64::new(0),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
        }));
        server.beat();
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.0.stopped.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.0.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || server.connection(stream));
            }
        });
        record.line(&format!("{} starts, version {}", spec.id, spec.version));
        server
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Returns the number of requests that run now.
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::SeqCst) as usize
    }

    /// Writes its record, if it is listed.
    pub fn beat(&self) {
        let state = &self.0;
        let Some(stage) = *state.stage.lock().unwrap() else { return };
        let seq = state.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let text = format!(
            r#"{{"backend":"{}","address":"{}","zone":"zone-a","version":"{}","slots":9,"state":"{stage}","coldRemainingMs":0,"seq":{seq},"born":{}}}"#,
            state.backend, state.address, state.version, state.born
        );
        state.store.put("keyed.servers", &state.id, &text);
    }

    /// Sets the share of its requests that fail by a closed connection, in thousandths.
    pub fn set_failing(&self, thousandths: u64) {
        self.0.failing.store(thousandths, Ordering::SeqCst);
    }

    /// Returns true if the present request fails.
    fn fails(&self) -> bool {
        // The bits of successive draws are mixed; see splitmix64.
        let step = self.0.draws.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        let mut bits = step ^ (step >> 30);
        bits = bits.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % 1_000 < self.0.failing.load(Ordering::SeqCst)
    }

    /// Reports that it drains.
    pub fn drain(&self) {
        self.0.leaving.store(true, Ordering::SeqCst);
        *self.0.stage.lock().unwrap() = Some("draining");
        self.beat();
        self.0.record.line(&format!("{} reports that it drains", self.0.id));
    }

    /// Leaves without a report: its record is removed, and it goes on serving.
    pub fn leave_silently(&self) {
        self.0.leaving.store(true, Ordering::SeqCst);
        *self.0.stage.lock().unwrap() = None;
        self.0.store.remove("keyed.servers", &self.0.id);
        self.0.record.line(&format!("{} leaves: its record is removed", self.0.id));
    }

    /// Stops at once and resets its connections.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::SeqCst);
        *self.0.stage.lock().unwrap() = None;
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect(self.0.address);
        for stream in self.0.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.0.record.line(&format!("{} has stopped", self.0.id));
    }

    fn connection(&self, stream: TcpStream) {
        let number = self.0.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            self.0.connections.lock().unwrap().insert(number, copy);
        }
        let _ = self.serve(stream);
        self.0.connections.lock().unwrap().remove(&number);
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let state = &self.0;
        stream.set_nodelay(true)?;
        let mut carried = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut carried)? {
            let rest = head.rest.clone();
            let _body = read_length(&mut stream, rest, head.length(), &mut carried)?;
            let request = head.header("egretgate-request-id").unwrap_or("").to_owned();
            if head.header("egretgate-target-instance").is_some_and(|id| id != state.id) {
                let headers = "egretgate-not-executed: 1\r\n";
                write_answer(&mut stream, "421 Misdirected Request", headers, b"")?;
                continue;
            }
            let run = Run { request: request.clone(), at: Instant::now() };
            state.runs.lock().unwrap().push(run);
            state.record.line(&format!("{}: {request} runs", state.id));
            state.running.fetch_add(1, Ordering::SeqCst);
            let answered = if head.target().contains("/stream/") {
                self.stream(&mut stream, &head, &request)
            } else {
                thread::sleep(state.work);
                if self.fails() {
                    state.running.fetch_sub(1, Ordering::SeqCst);
                    state.record.line(&format!("{}: {request} ran, its answer is lost", state.id));
                    return stream.shutdown(Shutdown::Both);
                }
                let headers = self.headers(&request);
                write_answer(&mut stream, "200 OK", &headers, b"{\"done\":true}")
            };
            state.running.fetch_sub(1, Ordering::SeqCst);
            answered?;
        }
        Ok(())
    }

    fn headers(&self, request: &str) -> String {
        let leaving = self.0.leaving.load(Ordering::SeqCst);
        let leaving = if leaving { "server-leaving: 1\r\n" } else { "" };
        format!(
            "egretgate-request-id: {request}\r\negretgate-response-signature: s.{}.{request}\r\n\
             keep-alive: timeout=10\r\n{leaving}",
            self.0.id
        )
    }

    fn stream(&self, stream: &mut TcpStream, head: &Head, request: &str) -> io::Result<()> {
        let (events, gap) = self.0.events;
        let first = head.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        thread::sleep(self.0.work);
        let headers = self.headers(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in first + 1..=events {
            thread::sleep(gap);
            let text = format!("id: {event}\ndata: {request} {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn unix_nanos() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |now| now.as_nanos() as u64)
}
