//! Clients that send one request after the other at a steady rate, each on a connection of its own.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::Record;
use crate::http::{Answer, read_answer};

/// A request as a client saw it.
#[derive(Debug, Clone)]
pub struct Asked {
    pub id: String,
    pub sent: Instant,
    pub answer: Answer,
}

/// Sends a request and waits for its answer until its deadline.
pub fn ask(
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    record: &Record,
) -> Asked {
    let sent = Instant::now();
    let mut answer = Answer { end: "no connection".into(), ..Answer::default() };
    if let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
        let body = if method == "POST" { "{}" } else { "" };
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("content-length: {}\r\n", body.len())
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: desk.example\r\negretgate-request-id: {id}\r\n\
             egretgate-deadline-ms: {}\r\nx-api-key: key-mill\r\n{length}\r\n{body}",
            deadline.as_millis()
        );
        if stream.write_all(request.as_bytes()).is_ok() {
            answer = read_answer(&mut stream, sent, sent + deadline);
        }
    }
    let took = sent.elapsed().as_millis();
    let Answer { status, end, .. } = &answer;
    record.line(&format!("client: {id} {method} {path}: {status} {end} after {took} ms"));
    Asked { id: id.to_owned(), sent, answer }
}

/// A steady load on several gateways.
pub struct Load {
    running: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    open: Arc<AtomicUsize>,
}

impl Load {
    /// Starts `per_second` requests a second, which go to the gateways in turn.
    pub fn start(
        fronts: Vec<SocketAddr>,
        method: &'static str,
        paths: &'static [&'static str],
        prefix: &'static str,
        per_second: f64,
        deadline: Duration,
        record: &Record,
    ) -> Self {
        let load = Self {
            running: Arc::new(AtomicBool::new(true)),
            asked: Arc::default(),
            open: Arc::default(),
        };
        let (running, asked, open) =
            (Arc::clone(&load.running), Arc::clone(&load.asked), Arc::clone(&load.open));
        let record = record.clone();
        thread::spawn(move || {
            let start = Instant::now();
            for number in 0_usize.. {
                let due = start + Duration::from_secs_f64(number as f64 / per_second);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if !running.load(Ordering::SeqCst) {
                    return;
                }
                // A bound on what the load may hold open.
                if open.load(Ordering::SeqCst) >= 300 {
                    continue;
                }
                let front = fronts[number % fronts.len()];
                let fronts = fronts.len();
                let (asked, open, record) = (Arc::clone(&asked), Arc::clone(&open), record.clone());
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let id = format!("{prefix}{number:05}");
                    // A path that ends with a slash is completed, so that no two requests are alike.
                    let path = paths[number / fronts % paths.len()];
                    let path =
                        if path.ends_with('/') { format!("{path}{id}") } else { path.to_owned() };
                    let one = ask(front, method, &path, &id, deadline, &record);
                    asked.lock().unwrap().push(one);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        load
    }

    /// Ends the load and returns all requests once they have ended.
    pub fn stop(self) -> Vec<Asked> {
        self.running.store(false, Ordering::SeqCst);
        while self.open.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
        self.asked.lock().unwrap().clone()
    }
}

/// Returns true if the client got a whole, signed success.
pub fn is_served(asked: &Asked) -> bool {
    let answer = &asked.answer;
    (200..300).contains(&answer.status)
        && answer.whole
        && answer.header("egretgate-response-signature").is_some()
}
