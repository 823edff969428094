//! A stand-in for a server: it accepts connections and hands each request's head to the case.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Record, listing};
use crate::http::{Conn, Head};
use crate::store::Store;

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// True if the server began to work on it.
    pub has_run: bool,
}

/// Serves one request, from its head; returns false if the connection then closes.
pub type Handler = Arc<dyn Fn(&Server, &Head, &mut Conn) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub version: String,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// It leaves: all its answers say so.
    pub leaves: Arc<AtomicBool>,
    seq: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    /// Its machine is dark: nothing that it gets is read or answered, and nothing is closed.
    is_dark: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    record: Record,
}

/// Start of the first incarnation, in Unix milliseconds.
const FIRST_BORN: u64 = 1_790_000_000_000;

impl Server {
    pub fn start(
        id: &str,
        listener: TcpListener,
        slots: u32,
        record: &Record,
        handler: Handler,
    ) -> Self {
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            version: "v1".to_owned(),
            arrivals: Arc::default(),
            leaves: Arc::default(),
            seq: Arc::default(),
            born: Arc::new(AtomicU64::new(FIRST_BORN)),
            is_up: Arc::new(AtomicBool::new(true)),
            is_dark: Arc::default(),
            open: Arc::default(),
            record: record.clone(),
        };
        server.clone().accept(listener, handler);
        server
    }

    fn accept(self, listener: TcpListener, handler: Handler) {
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            let mut number = 0;
            while self.is_up.load(Ordering::SeqCst) {
                if self.is_dark() {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                number += 1;
                let (server, handler) = (self.clone(), Arc::clone(&handler));
                if let Ok(clone) = stream.try_clone() {
                    self.open.lock().unwrap().insert(number, clone);
                }
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(head)) = conn.head(None) {
                        if !server.take(&head, &mut conn, &handler) {
                            break;
                        }
                    }
                    let _ = conn.stream.shutdown(Shutdown::Both);
                    server.open.lock().unwrap().remove(&number);
                });
            }
        });
    }

    fn take(&self, head: &Head, conn: &mut Conn, handler: &Handler) -> bool {
        if self.is_dark() {
            self.stay_dark();
            return false;
        }
        let id = head.id().to_owned();
        if head.get("egretgate-target-instance").is_some_and(|target| target != self.id) {
            let text = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";
            return conn.body(head, false, None).is_ok() && conn.send(text.as_bytes()).is_ok();
        }
        self.record.add(&format!("{id} reaches {}", self.id));
        self.arrivals.lock().unwrap().push(Arrival { id, at: Instant::now(), has_run: false });
        handler(self, head, conn)
    }

    /// Records that the server begins to work on a request.
    pub fn run(&self, id: &str) {
        self.record.add(&format!("{} runs {id}", self.id));
        let mut arrivals = self.arrivals.lock().unwrap();
        if let Some(arrival) = arrivals.iter_mut().rev().find(|arrival| arrival.id == id) {
            arrival.has_run = true;
        }
    }

    /// Returns the headers that are in every answer of this server to a request.
    pub fn signed(&self, id: &str) -> String {
        let leaves = if self.leaves.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        format!(
            "Egretgate-Request-Id: {id}\r\nEgretgate-Response-Signature: s.{}\r\n{leaves}",
            self.id
        )
    }

    /// Writes the server's record to the store.
    pub fn beat(&self, store: &Store, state: &str) {
        let record = self.next_record(state);
        store.put("keyed.servers", &self.id, Some(record.as_bytes()));
    }

    /// Returns the server's next record, without writing it.
    pub fn next_record(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        listing(
            self.address,
            &self.version,
            state,
            self.slots,
            seq,
            self.born.load(Ordering::SeqCst),
        )
    }

    /// Ends the server, or the process of it: its port is closed and its connections are cut.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.is_dark.store(false, Ordering::SeqCst);
        // The listener is closed by its own thread.
        thread::sleep(Duration::from_millis(5));
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes its machine dark.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
    }

    pub fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    /// Returns once the machine is no longer dark.
    pub fn stay_dark(&self) {
        while self.is_dark() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Starts the ended server again at its address, under the id that it had, as a new incarnation.
    pub fn start_again(&self, handler: Handler) {
        let listener = (0..200).find_map(|_| {
            let bound = TcpListener::bind(self.address).ok();
            if bound.is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            bound
        });
        self.born.fetch_add(10_000, Ordering::SeqCst);
        self.seq.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.clone().accept(listener.expect("its address is free"), handler);
    }
}
