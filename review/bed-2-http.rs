//! Just enough HTTP/1.1 for the stand-ins: one head, one body, over a blocking socket.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A head (first line and headers) as it was received.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> &str {
        self.get("egretgate-request-id").unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn more(&mut self, deadline: Option<Instant>) -> io::Result<usize> {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        } else {
            self.stream.set_read_timeout(None)?;
        }
        let mut buffer = [0; 65536];
        let read = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    /// Reads a head; `None` if the peer closes before the first byte of one.
    pub fn head(&mut self, deadline: Option<Instant>) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.rest.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.more(deadline)? == 0 {
                if self.rest.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn exactly(&mut self, length: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.more(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let bytes: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.more(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that follows a head: by its length, in chunks, or to the connection's end for
    /// an answer without either.
    pub fn body(
        &mut self,
        head: &Head,
        is_answer: bool,
        deadline: Option<Instant>,
    ) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line(deadline)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line(deadline)?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size, deadline)?);
                self.exactly(2, deadline)?;
            }
        }
        if let Some(length) = head.get("content-length").and_then(|v| v.parse().ok()) {
            return self.exactly(length, deadline);
        }
        if !is_answer {
            return Ok(Vec::new());
        }
        while self.more(deadline)? > 0 {}
        Ok(std::mem::take(&mut self.rest))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// How a client's request ended.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer.
    Answer { head: Head, body: Vec<u8> },
    /// The head arrived; the body was cut, or did not end in time.
    Cut { head: Head, cause: String },
    /// Nothing arrived.
    Nothing { cause: String },
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer { head, .. } | Self::Cut { head, .. } => head.status(),
            Self::Nothing { .. } => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Answer { head, body } => format!(
                "{} {} {}",
                head.status(),
                if head.get("egretgate-response-signature").is_some() {
                    "signed"
                } else {
                    "unsigned"
                },
                if head.status() >= 400 {
                    String::from_utf8_lossy(body).trim().to_owned()
                } else {
                    format!("{} bytes", body.len())
                }
            ),
            Self::Cut { head, cause } => format!("{} and cut: {cause}", head.status()),
            Self::Nothing { cause } => format!("no answer: {cause}"),
        }
    }
}

/// Sends one request on a connection of its own and waits `patience` for the whole answer.
pub fn ask(address: SocketAddr, request: &[u8], patience: Duration) -> End {
    let deadline = Instant::now() + patience;
    let nothing = |error: io::Error| End::Nothing { cause: cause(&error) };
    let mut conn = match Conn::open(address, patience.min(Duration::from_secs(1))) {
        Ok(conn) => conn,
        Err(error) => return nothing(error),
    };
    let _ = conn.stream.set_write_timeout(Some(patience));
    if let Err(error) = conn.send(request) {
        // An answer may have arrived before the whole request was taken.
        if error.kind() == io::ErrorKind::TimedOut {
            return nothing(error);
        }
    }
    let head = match conn.head(Some(deadline)) {
        Ok(Some(head)) => head,
        Ok(None) => return End::Nothing { cause: "closed".to_owned() },
        Err(error) => return nothing(error),
    };
    match conn.body(&head, true, Some(deadline)) {
        Ok(body) => End::Answer { head, body },
        Err(error) => End::Cut { head, cause: cause(&error) },
    }
}

fn cause(error: &io::Error) -> String {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "client's deadline".to_owned(),
        kind => format!("{kind:?}"),
    }
}
