//! Stand-in for a client.

use std::io::{BufReader, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// A request of a client, on a connection of its own.
pub struct Request<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl Request<'_> {
    fn bytes(&self) -> String {
        let Request { path, id, key, headers, deadline_ms, body } = self;
        format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nEgretgate-Request-Id: {id}\r\n\
             Egretgate-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n{headers}\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Sends a request and returns the answer.
pub fn ask(front: SocketAddr, request: &Request<'_>) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 500)))?;
    stream.write_all(request.bytes().as_bytes())?;
    http::read(&mut BufReader::new(stream), true)
}

/// Longest gap before an event after which a client leaves a stream: two seconds, where four times
/// the objective and eight times the pause aren't longer.
pub const STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Status of a stream that its client has left after such a gap.
pub const LEFT: u16 = 1;

/// Sends a request for a stream; returns its status once it is complete, [`LEFT`] if the client has
/// left, and 0 if it was cut.
pub fn read_stream(front: SocketAddr, request: &Request<'_>) -> Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(STREAM_PATIENCE))?;
    stream.write_all(request.bytes().as_bytes())?;
    let (mut text, mut part) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => text.extend_from_slice(&part[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(LEFT);
            }
            Err(_) => return Ok(0),
        }
    }
    let text = String::from_utf8_lossy(&text);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let chunked = text.to_ascii_lowercase().contains("transfer-encoding: chunked");
    Ok(if chunked && !text.ends_with("0\r\n\r\n") { 0 } else { status })
}
