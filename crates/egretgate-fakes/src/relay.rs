//! A TCP relay to one address that can close connections, block either direction and delay data.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::Result;
use crate::server::wait_until;

/// Largest number of bytes read at once.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Largest number of chunks queued in one direction.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// Directions in which a relay holds data back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Block {
    /// Neither direction is blocked.
    #[default]
    None,
    /// The direction to the target is blocked.
    ToTarget,
    /// The direction from the target is blocked.
    FromTarget,
    /// Both directions are blocked.
    Both,
}

/// Faults that a relay injects at present.
#[derive(Debug, Clone, Copy, Default)]
struct Switches {
    block: Block,
    delay: Duration,
    /// Number of cuts so far; a change closes every open connection.
    cuts: u64,
    /// True if new connections are closed immediately.
    down: bool,
}

/// Bytes forwarded in each direction.
#[derive(Debug, Default)]
struct ByteCounts {
    to_target: AtomicU64,
    from_target: AtomicU64,
}

impl ByteCounts {
    fn add(&self, direction: Direction, bytes: usize) {
        let count = match direction {
            Direction::ToTarget => &self.to_target,
            Direction::FromTarget => &self.from_target,
        };
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Switches {
    const fn blocks(self, direction: Direction) -> bool {
        matches!(
            (self.block, direction),
            (Block::Both, _)
                | (Block::ToTarget, Direction::ToTarget)
                | (Block::FromTarget, Direction::FromTarget)
        )
    }
}

/// Handle of a running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    switches: watch::Sender<Switches>,
    byte_counts: Arc<ByteCounts>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that connects to `target` for each connection it accepts.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let switches = watch::Sender::new(Switches::default());
        let byte_counts = Arc::new(ByteCounts::default());
        let task =
            accept_connections(listener, target, switches.subscribe(), Arc::clone(&byte_counts));
        Ok(Self { address, switches, byte_counts, task: tokio::spawn(task) })
    }

    /// Returns the address at which the relay listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded to the target.
    pub fn bytes_to_target(&self) -> u64 {
        self.byte_counts.to_target.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes forwarded from the target.
    pub fn bytes_from_target(&self) -> u64 {
        self.byte_counts.from_target.load(Ordering::Relaxed)
    }

    /// Closes all connections. New ones are still accepted.
    pub fn cut(&self) {
        self.switches.send_modify(|switches| switches.cuts += 1);
    }

    /// Sets whether the relay is down. While it is, all connections are closed, and new ones are
    /// closed immediately.
    pub fn set_down(&self, down: bool) {
        self.switches.send_modify(|switches| {
            switches.down = down;
            switches.cuts += u64::from(down);
        });
    }

    /// Sets the blocked directions. Data held back is forwarded when its direction is unblocked.
    pub fn set_block(&self, block: Block) {
        self.switches.send_modify(|switches| switches.block = block);
    }

    /// Sets the delay of each chunk in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.switches.send_modify(|switches| switches.delay = delay);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    switches: watch::Receiver<Switches>,
    byte_counts: Arc<ByteCounts>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                if !switches.borrow().down {
                    connections.spawn(forward_connection(
                        stream,
                        target,
                        switches.clone(),
                        Arc::clone(&byte_counts),
                    ));
                }
            }
            Some(_) = connections.join_next() => {}
            else => tokio::task::yield_now().await,
        }
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: SocketAddr,
    switches: watch::Receiver<Switches>,
    byte_counts: Arc<ByteCounts>,
) {
    let cuts = switches.borrow().cuts;
    let mut cuts_changed = switches.clone();
    let forwarding = async {
        let target_stream = TcpStream::connect(target).await?;
        caller.set_nodelay(true)?;
        target_stream.set_nodelay(true)?;
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target_stream.into_split();
        tokio::try_join!(
            forward(caller_read, target_write, Direction::ToTarget, switches.clone(), &byte_counts),
            forward(target_read, caller_write, Direction::FromTarget, switches, &byte_counts),
        )
    };
    tokio::select! {
        _ = forwarding => {}
        _ = cuts_changed.wait_for(|switches| switches.cuts != cuts) => {}
    }
}

/// Forwards one direction of a connection until it closes; an error if it was reset.
async fn forward(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    direction: Direction,
    switches: watch::Receiver<Switches>,
    byte_counts: &ByteCounts,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let written = write_chunks(write, receiver, direction, switches.clone(), byte_counts);
    let ((), written) = tokio::join!(read_chunks(read, sender, switches), written);
    written
}

/// Reads chunks and queues each, and a reset, with the time at which it is due.
async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, io::Result<Bytes>)>,
    switches: watch::Receiver<Switches>,
) {
    let mut chunk = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        let read = match read.read_buf(&mut chunk).await {
            Ok(0) => return,
            Ok(_) => Ok(chunk.split().freeze()),
            Err(error) => Err(error),
        };
        let due = Instant::now() + switches.borrow().delay;
        let is_reset = read.is_err();
        if sender.send((due, read)).await.is_err() || is_reset {
            return;
        }
        chunk.reserve(READ_BUFFER_BYTES);
    }
}

/// Writes each chunk once it is due and its direction is not blocked.
async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, io::Result<Bytes>)>,
    direction: Direction,
    mut switches: watch::Receiver<Switches>,
    byte_counts: &ByteCounts,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        wait_until(due).await;
        if !wait_unblocked(&mut switches, direction).await {
            return Ok(());
        }
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => {
                write.as_ref().set_zero_linger()?;
                // Dropped as usual, it would end this direction before the reset.
                write.forget();
                return Err(error);
            }
        };
        if write.write_all(&chunk).await.is_err() {
            return Ok(());
        }
        byte_counts.add(direction, chunk.len());
    }
    if wait_unblocked(&mut switches, direction).await {
        let _ = write.shutdown().await;
    }
    Ok(())
}

/// Waits until the direction is not blocked. Returns false if the relay was dropped.
async fn wait_unblocked(switches: &mut watch::Receiver<Switches>, direction: Direction) -> bool {
    switches.wait_for(|switches| !switches.blocks(direction)).await.is_ok()
}
