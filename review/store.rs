//! A stand-in for the platform's store: keyed topics in memory, over HTTP.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_head, read_length, write_answer};

#[derive(Debug, Default, Clone)]
pub struct Topic {
    /// The newest value of each key, with its offset.
    pub newest: BTreeMap<String, (u64, Vec<u8>)>,
    pub end: u64,
}

#[derive(Debug, Default)]
pub struct State {
    pub topics: BTreeMap<String, Topic>,
    /// Era that all answers state; `None` leaves the header out.
    pub era: Option<u64>,
    /// True while connections are closed without an answer.
    pub down: bool,
    /// Calls since the start.
    pub calls: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let address = listener.local_addr().expect("its address");
        let store = Self { address, shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a record as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        put(&mut state.lock().unwrap(), topic, key, Some(value.as_bytes()));
        changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        let (state, changed) = &*self.shared;
        put(&mut state.lock().unwrap(), topic, key, None);
        changed.notify_all();
    }

    /// Changes the state at once.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        let (state, changed) = &*self.shared;
        change(&mut state.lock().unwrap());
        changed.notify_all();
    }

    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let (_, value) = state.topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut carried = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut carried)? {
            let body = read_length(&mut stream, head.rest.clone(), head.length(), &mut carried)?;
            if self.shared.0.lock().unwrap().down {
                return Ok(());
            }
            let Some((status, kind, answer)) = self.answer(head.method(), head.target(), &body)
            else {
                return Ok(());
            };
            let era = self.shared.0.lock().unwrap().era;
            let era = era.map_or_else(String::new, |era| format!("store-era: {era}\r\n"));
            write_answer(&mut stream, status, &format!("content-type: {kind}\r\n{era}"), &answer)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<(&'static str, &'static str, Vec<u8>)> {
        const JSON: &str = "application/json";
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let text = |name: &str| field(name).map_or("", |(_, value)| value).to_owned();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let topic = text("topic");
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.calls += 1;
        match (method, path) {
            ("GET", "/log-newest") => {
                let held = state.topics.get(&topic).cloned().unwrap_or_default();
                let after = text("after");
                let rows = held.newest.iter().filter(|(key, _)| **key > after);
                let rows: Vec<String> = rows
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let rows = rows.join(",");
                let end = held.end;
                let text = format!("{{\"items\":[{rows}],\"more\":false,\"endOffset\":{end}}}");
                Some(("200 OK", JSON, text.into_bytes()))
            }
            ("GET", "/log-read") => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    if state.down {
                        return None;
                    }
                    let end = state.topics.get(&topic).map_or(0, |topic| topic.end);
                    if from > end {
                        let text = "{\"firstOffset\":0}".to_owned();
                        return Some(("410 Gone", JSON, text.into_bytes()));
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        let mut bytes = end.to_be_bytes().to_vec();
                        bytes.extend_from_slice(&0_u64.to_be_bytes());
                        let held = state.topics.get(&topic).cloned().unwrap_or_default();
                        let mut newer: Vec<_> =
                            held.newest.iter().filter(|(_, (offset, _))| *offset >= from).collect();
                        newer.sort_by_key(|(_, (offset, _))| *offset);
                        for (key, (_, value)) in newer {
                            let length = (1 + key.len() + value.len()) as u32;
                            bytes.extend_from_slice(&length.to_be_bytes());
                            bytes.push(key.len() as u8);
                            bytes.extend_from_slice(key.as_bytes());
                            bytes.extend_from_slice(value);
                        }
                        return Some(("200 OK", "application/octet-stream", bytes));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/log-append") => {
                let end = state.topics.get(&topic).map_or(0, |topic| topic.end);
                if number("at").is_some_and(|at| at != end) {
                    let text = format!("{{\"endOffset\":{end}}}");
                    return Some(("412 Precondition Failed", JSON, text.into_bytes()));
                }
                let mut records = body;
                while records.len() >= 5 {
                    let length = u32::from_be_bytes(records[..4].try_into().unwrap()) as usize;
                    let record = &records[4..4 + length];
                    let key = usize::from(record[0]);
                    let name = String::from_utf8_lossy(&record[1..1 + key]).into_owned();
                    put(&mut state, &topic, &name, Some(&record[1 + key..]));
                    records = &records[4 + length..];
                }
                let after = state.topics.get(&topic).map_or(0, |topic| topic.end);
                changed.notify_all();
                let text = format!("{{\"offset\":{end},\"endOffset\":{after}}}");
                Some(("200 OK", JSON, text.into_bytes()))
            }
            _ => Some(("404 Not Found", JSON, b"{}".to_vec())),
        }
    }
}

fn put(state: &mut State, topic: &str, key: &str, value: Option<&[u8]>) {
    let topic = state.topics.entry(topic.to_owned()).or_default();
    match value {
        Some(value) if !value.is_empty() => {
            topic.newest.insert(key.to_owned(), (topic.end, value.to_vec()));
        }
        _ => {
            topic.newest.remove(key);
        }
    }
    topic.end += 1;
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl Store {
    /// Returns all topics, as a copy of the store holds them.
    pub fn copy(&self) -> BTreeMap<String, Topic> {
        self.shared.0.lock().unwrap().topics.clone()
    }

    /// Is away for a moment and comes back from a copy, in the next era.
    pub fn drill(&self, copy: BTreeMap<String, Topic>, away: Duration) {
        self.change(|state| state.down = true);
        thread::sleep(away);
        self.change(|state| {
            state.topics = copy;
            state.era = state.era.map(|era| era + 1);
            state.down = false;
        });
    }
}
