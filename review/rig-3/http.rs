//! HTTP/1.1 messages over sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// A request or an answer: first line, headers with lower-case names, and body.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// False if the connection ended within the body.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_slice())
    }

    pub fn text(&self, name: &str) -> String {
        self.header(name).map_or_else(String::new, |value| String::from_utf8_lossy(value).into())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<Vec<u8>> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(Error::new(ErrorKind::UnexpectedEof, "end within a head"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(line)
}

/// Reads a message; `is_answer` allows a body without a length.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> Result<Message> {
    let first = String::from_utf8_lossy(&line(reader)?).into_owned();
    let mut headers = Vec::new();
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            break;
        }
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len() - 1);
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
    }
    let mut message = Message { first, headers, body: Vec::new(), whole: true };
    let length: Option<usize> = message.text("content-length").parse().ok();
    if message.text("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.whole = read_chunks(reader, &mut message.body).is_ok();
    } else if let Some(length) = length {
        let mut limited = reader.take(length as u64);
        let read = limited.read_to_end(&mut message.body);
        message.whole = read.is_ok() && message.body.len() == length;
    } else if is_answer {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    }
    Ok(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Result<()> {
    loop {
        let size = String::from_utf8_lossy(&line(reader)?).into_owned();
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "a chunk's size"))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
