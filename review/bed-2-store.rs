//! A stand-in for the platform's store: keyed topics with one partition, in memory.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};

#[derive(Clone, Default)]
pub struct Content {
    topics: BTreeMap<String, Topic>,
}

#[derive(Clone, Default)]
struct Topic {
    /// Newest value of each key, with its offset.
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    end: u64,
}

struct State {
    content: Content,
    era: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        let state = State { content: Content::default(), era: 1 };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes the value of a key; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let topic = state.content.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end;
        topic.end += 1;
        match value {
            Some(value) => drop(topic.keys.insert(key.to_owned(), (value.to_owned(), offset))),
            None => drop(topic.keys.remove(key)),
        }
        changed.notify_all();
        offset
    }

    /// Returns the newest value of a key as text.
    pub fn text(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let (value, _) = state.content.topics.get(topic)?.keys.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head(None) {
            let Ok(body) = conn.body(&head, false, None) else { return };
            // Answers take some milliseconds.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&head, &body);
            let era = self.state.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nstore-era: {era}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if conn.send(text.as_bytes()).and_then(|()| conn.send(&body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok());
        let name = parameter("topic").unwrap_or_default();
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        match path {
            "/log-newest" => {
                let topic = state.content.topics.entry(name).or_default();
                let after = parameter("after");
                let items: Vec<String> = topic
                    .keys
                    .iter()
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .map(|(key, (value, offset))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let page = format!(
                    "{{\"items\":[{}],\"more\":false,\"endOffset\":{}}}",
                    items.join(","),
                    topic.end
                );
                (200, page.into_bytes())
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now()
                    + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                loop {
                    let topic = state.content.topics.entry(name.clone()).or_default();
                    let end = topic.end;
                    if from > end {
                        return (410, b"{\"firstOffset\":0}".to_vec());
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        let mut bytes = end.to_be_bytes().to_vec();
                        bytes.extend(0_u64.to_be_bytes());
                        let newer = topic.keys.iter().filter(|(_, (_, offset))| *offset >= from);
                        for (key, (value, _)) in newer {
                            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                            bytes.push(key.len() as u8);
                            bytes.extend(key.as_bytes());
                            bytes.extend(value);
                        }
                        return (200, bytes);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/log-append" => {
                let topic = state.content.topics.entry(name).or_default();
                if number("at").is_some_and(|at| at != topic.end) {
                    return (412, format!("{{\"endOffset\":{}}}", topic.end).into_bytes());
                }
                let offset = topic.end;
                let mut rest = body;
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key_end = 1 + record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
                    let value = record[key_end..].to_vec();
                    let at = topic.end;
                    topic.end += 1;
                    if value.is_empty() {
                        topic.keys.remove(&key);
                    } else {
                        topic.keys.insert(key, (value, at));
                    }
                    rest = &rest[4 + length..];
                }
                changed.notify_all();
                (200, format!("{{\"offset\":{offset},\"endOffset\":{}}}", topic.end).into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index > part.len() { '=' } else { letter });
        }
    }
    text
}
