//! A TCP relay to one address, which can cut, hold up and delay what passes.

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

/// Bytes read at once.
const PIECE_BYTES: usize = 64 << 10;
/// Pieces that may be under way in one direction.
const PIECES: usize = 1024;

/// Directions in which a relay passes nothing on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Block {
    /// Everything passes.
    #[default]
    None,
    /// Nothing passes towards the target.
    Forth,
    /// Nothing passes from the target.
    Back,
    /// Nothing passes.
    Both,
}

#[derive(Debug, Clone, Copy, Default)]
struct Switches {
    block: Block,
    delay: Duration,
    /// Number of cuts so far; a connection ends when it changes.
    cuts: u64,
    /// True if new connections are closed at once.
    down: bool,
}

/// Bytes that a relay has passed on.
#[derive(Debug, Default)]
struct Passed {
    forth: AtomicU64,
    back: AtomicU64,
}

impl Passed {
    fn add(&self, way: Way, bytes: usize) {
        let count = match way {
            Way::Forth => &self.forth,
            Way::Back => &self.back,
        };
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

impl Switches {
    const fn blocks(self, way: Way) -> bool {
        matches!(
            (self.block, way),
            (Block::Both, _) | (Block::Forth, Way::Forth) | (Block::Back, Way::Back)
        )
    }
}

/// A relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    switches: watch::Sender<Switches>,
    passed: Arc<Passed>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let switches = watch::Sender::new(Switches::default());
        let passed = Arc::new(Passed::default());
        let task = run(listener, target, switches.subscribe(), Arc::clone(&passed));
        Ok(Self { address, switches, passed, task: tokio::spawn(task) })
    }

    /// Returns the address at which connections are taken.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes passed to the target so far.
    pub fn bytes_forth(&self) -> u64 {
        self.passed.forth.load(Ordering::Relaxed)
    }

    /// Returns the bytes passed from the target so far.
    pub fn bytes_back(&self) -> u64 {
        self.passed.back.load(Ordering::Relaxed)
    }

    /// Closes every connection. New ones are taken.
    pub fn cut(&self) {
        self.switches.send_modify(|switches| switches.cuts += 1);
    }

    /// While true, closes every connection and closes new ones at once.
    pub fn set_down(&self, down: bool) {
        self.switches.send_modify(|switches| {
            switches.down = down;
            switches.cuts += u64::from(down);
        });
    }

    /// Sets the directions in which nothing passes. What is held up passes later.
    pub fn set_block(&self, block: Block) {
        self.switches.send_modify(|switches| switches.block = block);
    }

    /// Sets the time that each piece takes in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.switches.send_modify(|switches| switches.delay = delay);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener,
    target: SocketAddr,
    switches: watch::Receiver<Switches>,
    passed: Arc<Passed>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                if !switches.borrow().down {
                    connections.spawn(relay(stream, target, switches.clone(), Arc::clone(&passed)));
                }
            }
            Some(_) = connections.join_next() => {}
            else => tokio::task::yield_now().await,
        }
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    switches: watch::Receiver<Switches>,
    passed: Arc<Passed>,
) {
    let cuts = switches.borrow().cuts;
    let mut cut = switches.clone();
    let both = async {
        let far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            pass(near_read, far_write, Way::Forth, switches.clone(), &passed),
            pass(far_read, near_write, Way::Back, switches, &passed),
        );
        Ok::<(), std::io::Error>(())
    };
    tokio::select! {
        _ = both => {}
        _ = cut.wait_for(|switches| switches.cuts != cuts) => {}
    }
}

/// Passes one direction on until it ends.
async fn pass(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    way: Way,
    switches: watch::Receiver<Switches>,
    passed: &Passed,
) {
    let (sender, receiver) = mpsc::channel(PIECES);
    let given = give(write, receiver, way, switches.clone(), passed);
    tokio::join!(take(read, sender, switches), given);
}

/// Reads pieces, each with the time at which it is due.
async fn take(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    switches: watch::Receiver<Switches>,
) {
    let mut piece = BytesMut::with_capacity(PIECE_BYTES);
    while read.read_buf(&mut piece).await.is_ok_and(|bytes| bytes > 0) {
        let due = Instant::now() + switches.borrow().delay;
        if sender.send((due, piece.split().freeze())).await.is_err() {
            return;
        }
        piece.reserve(PIECE_BYTES);
    }
}

/// Writes pieces when they are due and not blocked.
async fn give(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    way: Way,
    mut switches: watch::Receiver<Switches>,
    passed: &Passed,
) {
    while let Some((due, piece)) = receiver.recv().await {
        wait_until(due).await;
        if !open(&mut switches, way).await || write.write_all(&piece).await.is_err() {
            return;
        }
        passed.add(way, piece.len());
    }
    if open(&mut switches, way).await {
        let _ = write.shutdown().await;
    }
}

/// Returns true once the direction is not blocked; false if the relay is gone.
async fn open(switches: &mut watch::Receiver<Switches>, way: Way) -> bool {
    switches.wait_for(|switches| !switches.blocks(way)).await.is_ok()
}
