//! A server answers before it has read a long body, keeps the connection and reads on later.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, LIMITS, Record, TENANT, config};
use crate::http::{Answer, read_answer, read_head, write_answer};
use crate::store::Store;

const ROUTE: &str = r#"{"name":"r-post","host":"desk.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"backend":"desk","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}"#;
/// Size of a request's body; `maxBodyBytes` is 4,194,304. The buffers of a loopback connection hold
/// less.
const BODY_BYTES: usize = 4_000_000;
/// Time after its answer at which a server reads on.
const LATER: Duration = Duration::from_secs(4);
/// The route's timeout.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Time after the route's timeout at which the rule looks again.
const BOUND: Duration = Duration::from_millis(500);
/// The client's deadline.
const DEADLINE: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 8;
const CLIENTS: usize = 3;
const SERVERS: u8 = 3;

pub fn run() -> ! {
    let mut bed = Bed::start();
    bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
    let runs = Arc::new(AtomicUsize::new(0));
    for number in 0..SERVERS {
        let id = format!("i-desk-{number}");
        let listener = TcpListener::bind((bed.server_ip(number).as_str(), 8080)).expect("a server");
        keep_listed(&bed.store, &id, listener.local_addr().unwrap());
        let (record, runs, early) = (bed.record.clone(), Arc::clone(&runs), bed.trouble);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, runs, id) = (record.clone(), Arc::clone(&runs), id.clone());
                thread::spawn(move || serve(stream, &id, early, &record, &runs));
            }
        });
    }
    bed.start_gateway(1);
    bed.await_ready(1);
    thread::sleep(Duration::from_secs(4)); // `stableWindowMs` and more

    let front = bed.gateway(1).front();
    let (mut late, mut unanswered) = (0, 0);
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let record = bed.record.clone();
                thread::spawn(move || ask(front, &format!("r{round:02}c{client}"), &record))
            })
            .collect();
        for client in clients {
            let Ok(Ok(answer)) = client.join() else { continue };
            let is_within = |bound| answer.whole && answer.took <= bound;
            late += usize::from(!is_within(TIMEOUT));
            unanswered += usize::from(!is_within(TIMEOUT + BOUND));
        }
        thread::sleep(Duration::from_millis(300));
    }
    let sent = ROUNDS * CLIENTS;
    let runs = runs.load(Ordering::SeqCst);
    let verdict = format!(
        "CONFIG: {sent} requests sent, {runs} run and answered by their servers; {late} without an \
         answer at their client at timeoutMs, {unanswered} of these 0.5 s later"
    );
    bed.finish(late > 0 && unanswered * 2 > late, &verdict)
}

/// Lists a server and writes its record again at each heartbeat.
fn keep_listed(store: &Store, id: &str, address: SocketAddr) {
    let (store, id) = (store.clone(), id.to_owned());
    let record = move |seq: u64| {
        let text = format!(
            r#"{{"backend":"desk","address":"{address}","zone":"zone-a","version":"v1","slots":9,"state":"ready","coldRemainingMs":0,"seq":{seq},"born":1000}}"#
        );
        store.put("keyed.servers", &id, &text);
    };
    record(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            record(seq);
        }
    });
}

fn serve(mut stream: TcpStream, id: &str, early: bool, record: &Record, runs: &AtomicUsize) {
    let mut carried = Vec::new();
    while let Ok(Some(head)) = read_head(&mut stream, &mut carried) {
        let request = head.header("egretgate-request-id").unwrap_or("").to_owned();
        if head.header("egretgate-target-instance") != Some(id) {
            let headers = "egretgate-not-executed: 1\r\n";
            let _ = write_answer(&mut stream, "421 Misdirected Request", headers, b"");
            return;
        }
        let length = head.length();
        let mut got = head.rest.len();
        if early {
            runs.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("{id}: {request} runs; answered after {got} of {length} bytes"));
            let _ = answer(&mut stream, &request);
            thread::sleep(LATER);
        }
        let mut buffer = [0; 65536];
        while got < length {
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => got += count,
                _ => {
                    record.line(&format!("{id}: {request} its body ended after {got} bytes"));
                    return;
                }
            }
        }
        record.line(&format!("{id}: {request} body read to its end"));
        if !early {
            runs.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("{id}: {request} runs; answered after all of {length} bytes"));
            let _ = answer(&mut stream, &request);
        }
    }
}

fn answer(stream: &mut TcpStream, request: &str) -> io::Result<()> {
    let headers = format!(
        "egretgate-request-id: {request}\r\negretgate-response-signature: s1\r\n\
         content-type: application/json\r\nkeep-alive: timeout=20\r\n"
    );
    write_answer(stream, "200 OK", &headers, b"{\"posted\":true}")
}

/// Sends one request on a new connection and waits for its answer until the client's deadline.
fn ask(front: SocketAddr, id: &str, record: &Record) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    let head = format!(
        "POST /post/upload HTTP/1.1\r\nhost: desk.example\r\negretgate-request-id: {id}\r\n\
         egretgate-deadline-ms: {}\r\nx-api-key: key-mill\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES, b'x');
    let started = Instant::now();
    stream.write_all(&bytes)?;
    record.line(&format!("client: {id} sent"));
    let answer = read_answer(&mut stream, started, started + DEADLINE);
    let took = answer.took.as_millis();
    record.line(&format!("client: {id} status {} {} after {took} ms", answer.status, answer.end));
    Ok(answer)
}
