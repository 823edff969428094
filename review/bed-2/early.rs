//! A server answers a long request before it has read its body, and reads on later.

use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, Gateway, config, request};
use crate::http::{End, ask};
use crate::server::Server;
use crate::store::Store;

/// Receive buffer of the server's sockets: links have small windows, so a peer that doesn't read
/// blocks the writer.
static WINDOW_BYTES: i32 = 8 << 10;
const TIMEOUT_MS: u64 = 1_500;
const DEADLINE_MS: u64 = 2_200;
const BODY_BYTES: usize = 4_190_000;
const REQUESTS: usize = 12;
/// Time after its answer at which the server reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(2_600);

pub fn run(bed: &Bed) -> i32 {
    let store = Store::start(bed.listener(1));
    let route = format!(
        r#"{{"name":"upload","host":"ficu95.example","pathPrefix":"/upload/","kind":"unsafe","timeoutMs":{TIMEOUT_MS},"targetLatencyMs":300,"priority":0,"backend":"desk","maxAttempts":1}}"#
    );
    store.put("keyed.op", "config", Some(config(3, &[route]).as_bytes()));
    let trouble = bed.trouble;
    let record = bed.record.clone();
    let listener = bed.listener(11);
    set_window(&listener);
    let server = Server::start(
        "i-1",
        listener,
        12,
        &bed.record,
        Arc::new(move |server, head, conn| {
            let id = head.id().to_owned();
            let length: usize =
                head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let answer =
                format!("HTTP/1.1 200 OK\r\n{}content-length: 2\r\n\r\nok", server.signed(&id));
            server.run(&id);
            if trouble {
                if conn.send(answer.as_bytes()).is_err() {
                    return false;
                }
                record.add(&format!("{} answered {id} with 200, signed", server.id));
                thread::sleep(READS_ON_AFTER);
                let read = conn.exactly(length, None);
                record.add(&format!("{} read the body of {id} on: {}", server.id, read.is_ok()));
                return read.is_ok();
            }
            if conn.exactly(length, None).is_err() {
                return false;
            }
            let sent = conn.send(answer.as_bytes()).is_ok();
            record.add(&format!("{} answered {id} with 200, signed", server.id));
            sent
        }),
    );
    server.beat(&store, "ready");
    let gateway = Gateway::start(bed, 2, "edge-boa-viagem-1", "boa-viagem", &store);
    gateway.await_ready(bed);
    let body = vec![b'x'; BODY_BYTES];
    let results: Arc<Mutex<Vec<(Duration, End)>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, results, body, front) =
                (bed.record.clone(), Arc::clone(&results), body.clone(), gateway.front);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(450) * number as u32);
                let id = format!("r-{number}");
                let sent = Instant::now();
                record.add(&format!("client sends {id}"));
                let end = ask(
                    front,
                    &request("/upload/1", &id, DEADLINE_MS, "", &body),
                    Duration::from_millis(DEADLINE_MS),
                );
                record.add(&format!(
                    "client gets for {id} after {} ms: {}",
                    sent.elapsed().as_millis(),
                    end.text()
                ));
                results.lock().unwrap().push((sent.elapsed(), end));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let late = Duration::from_millis(TIMEOUT_MS + 500);
    let overdue =
        results.iter().filter(|(took, _)| *took > Duration::from_millis(TIMEOUT_MS)).count();
    let unanswered = results.iter().filter(|(took, _)| *took > late).count();
    let served = results.iter().filter(|(_, end)| end.status() == 200).count();
    bed.record.say(&format!(
        "{REQUESTS} sent, {served} answered 200; unanswered at the route's timeout of {TIMEOUT_MS} ms: {overdue}, half a second later: {unanswered}"
    ));
    i32::from(unanswered >= 8 && unanswered * 4 > REQUESTS)
}

/// Sets the receive buffer of a listener, which its connections inherit.
fn set_window(listener: &TcpListener) {
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value is an int that lives as long as the call.
    let set = unsafe {
        setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const WINDOW_BYTES, 4)
    };
    if set != 0 {
        std::process::exit(2);
    }
}
