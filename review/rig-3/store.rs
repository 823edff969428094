//! Stand-in for the platform's store: keyed topics.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufReader, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct State {
    /// Newest value of each key, with its offset, by topic.
    topics: BTreeMap<String, BTreeMap<String, (Vec<u8>, u64)>>,
    ends: BTreeMap<String, u64>,
    /// Topics whose calls are answered 503, without effect.
    down: HashSet<String>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes the value of a key; an empty one drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let end = state.ends.entry(topic.to_owned()).or_default();
        let offset = *end;
        *end += 1;
        let keys = state.topics.entry(topic.to_owned()).or_default();
        if value.is_empty() {
            keys.remove(key);
        } else {
            keys.insert(key.to_owned(), (value.to_vec(), offset));
        }
        offset
    }

    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (value, _) = state.topics.get(topic)?.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Sets whether calls that name a topic are turned away.
    pub fn set_down(&self, topic: &str, down: bool) {
        let mut state = self.state.lock().unwrap();
        if down {
            state.down.insert(topic.to_owned());
        } else {
            state.down.remove(topic);
        }
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let call = http::read(&mut reader, false)?;
            let (status, body) = self.answer(&call);
            let headers = [("content-type", "application/json"), ("store-era", "1")];
            http::answer(&mut writer, status, &headers, &body)?;
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, Vec<u8>) {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let topic = parameter("topic").unwrap_or_default();
        if self.state.lock().unwrap().down.contains(&topic) {
            return ("503 Service Unavailable", b"{}".to_vec());
        }
        match path {
            "/log-newest" => ("200 OK", self.newest(&topic, parameter("after"))),
            "/log-read" => self.read(&topic, parameter("from"), parameter("waitMs")),
            "/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return ("403 Forbidden", b"{}".to_vec());
                }
                let end = self.end(&topic);
                if parameter("at").is_some_and(|at| at != end.to_string()) {
                    let body = format!("{{\"endOffset\":{end}}}");
                    return ("412 Precondition Failed", body.into_bytes());
                }
                let key_end = 5 + usize::from(call.body[4]);
                let key = String::from_utf8_lossy(&call.body[5..key_end]).into_owned();
                let offset = self.put(&topic, &key, &call.body[key_end..]);
                let body = format!("{{\"offset\":{offset},\"endOffset\":{}}}", offset + 1);
                ("200 OK", body.into_bytes())
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn end(&self, topic: &str) -> u64 {
        self.state.lock().unwrap().ends.get(topic).copied().unwrap_or(0)
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let keys = state.topics.get(topic).into_iter().flatten();
        let keys = keys.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = keys
            .map(|(key, (value, offset))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let end = state.ends.get(topic).copied().unwrap_or(0);
        format!("{{\"items\":[{}],\"more\":false,\"endOffset\":{end}}}", items.join(","))
            .into_bytes()
    }

    fn read(
        &self,
        topic: &str,
        from: Option<String>,
        wait: Option<String>,
    ) -> (&'static str, Vec<u8>) {
        let from: u64 = from.and_then(|from| from.parse().ok()).unwrap_or(0);
        if from > self.end(topic) {
            return ("410 Gone", b"{\"firstOffset\":0}".to_vec());
        }
        let wait = Duration::from_millis(wait.and_then(|wait| wait.parse().ok()).unwrap_or(0));
        let begun = Instant::now();
        while self.end(topic) <= from && begun.elapsed() < wait {
            thread::sleep(Duration::from_millis(5));
        }
        let end = self.end(topic);
        let mut body = Vec::new();
        body.extend_from_slice(&end.to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        let state = self.state.lock().unwrap();
        for (key, (value, offset)) in state.topics.get(topic).into_iter().flatten() {
            if *offset >= from {
                body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key.as_bytes());
                body.extend_from_slice(value);
            }
        }
        ("200 OK", body)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let value = part.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                let digit = (value >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
