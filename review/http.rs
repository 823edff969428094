//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The head of a request or of an answer, with the bytes that were read after it.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names in lowercase, and values.
    pub headers: Vec<(String, String)>,
    /// Bytes after the head that have arrived with it.
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(stream: &mut TcpStream, carried: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let mut bytes = std::mem::take(carried);
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head { line, headers, rest: bytes[end + 4..].to_vec() }));
        }
        let mut buffer = [0; 8192];
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return if bytes.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Reads a body of a stated length, and leaves what follows it in `carried`.
pub fn read_length(
    stream: &mut TcpStream,
    rest: Vec<u8>,
    length: usize,
    carried: &mut Vec<u8>,
) -> io::Result<Vec<u8>> {
    let mut body = rest;
    let mut buffer = [0; 16384];
    while body.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..count]);
    }
    *carried = body.split_off(length);
    Ok(body)
}

/// How an answer arrived at a client.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; 0 without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True once the end of the body has arrived as its framing marks it.
    pub whole: bool,
    /// What ended the wait.
    pub end: String,
    /// Time from the sending of the request's last byte to the end of the wait.
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one answer until `deadline`.
pub fn read_answer(stream: &mut TcpStream, sent: Instant, deadline: Instant) -> Answer {
    let mut answer = Answer::default();
    let mut bytes: Vec<u8> = Vec::new();
    let mut body_at = None;
    let mut buffer = [0; 16384];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.end = "timed out".into();
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        let count = match stream.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                answer.end = "timed out".into();
                break;
            }
            Err(error) => {
                answer.end = format!("error: {error}");
                break;
            }
        };
        if count == 0 {
            answer.end = "closed".into();
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
        if body_at.is_none() {
            let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
                continue;
            };
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default();
            answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            answer.headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            body_at = Some(end + 4);
        }
        let body = &bytes[body_at.unwrap_or(0)..];
        if answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let (decoded, whole) = decode_chunks(body);
            answer.body = decoded;
            answer.whole = whole;
        } else if let Some(length) =
            answer.header("content-length").and_then(|text| text.parse::<usize>().ok())
        {
            answer.body = body[..body.len().min(length)].to_vec();
            answer.whole = body.len() >= length;
        }
        if answer.whole {
            answer.end = "whole".into();
            break;
        }
    }
    answer.took = sent.elapsed();
    answer
}

fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or("").trim();
        let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
        bytes = &bytes[end + 2..];
        if size == 0 {
            return (body, bytes.len() >= 2);
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

/// Writes an answer with a stated length on a kept connection.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
