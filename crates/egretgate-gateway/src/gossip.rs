//! Reports among entries, by datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use egretgate_core::gateway::follow::Reading;
use egretgate_core::gateway::peer::{AgedReading, PeerReport, report_interval};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::dispatcher::{DispatcherHandle, Message};
use crate::wire::{decode, encode};

/// Largest datagram, in bytes; larger ones would be split on the way.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// What this entry and the others have read of one piece of shared state.
#[derive(Debug)]
pub(crate) struct ReadingChannels {
    /// What this entry holds.
    pub(crate) own: watch::Receiver<Option<Reading>>,
    /// What another entry holds, as it was heard last.
    pub(crate) peers: watch::Sender<Option<Reading>>,
}

impl ReadingChannels {
    /// Passes on what another entry holds, unless something newer was heard and isn't taken yet.
    fn publish_peer(&self, reading: Reading) {
        self.peers.send_if_modified(|newest| {
            let newer =
                newest.is_none_or(|old| reading.end > old.end || reading.read_at > old.read_at);
            if newer {
                *newest = Some(reading);
            }
            newer
        });
    }
}

/// The gossip task.
pub(crate) struct Gossip {
    pub(crate) socket: UdpSocket,
    pub(crate) entries: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) catalog: ReadingChannels,
    pub(crate) upstreams: ReadingChannels,
    /// Number of reachable entries before this one.
    pub(crate) rank: watch::Sender<usize>,
    pub(crate) log: Logger,
}

impl Gossip {
    /// Sends reports to the other entries and takes theirs in, until the process ends.
    pub(crate) async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let own = self.socket.local_addr().ok();
        // Entries that were heard but aren't listed yet.
        let mut unlisted = BTreeSet::new();
        loop {
            let targets: BTreeSet<SocketAddr> =
                self.entries.borrow().iter().copied().chain(unlisted.iter().copied()).collect();
            let mut timer = std::pin::pin!(sleep(report_interval(targets.len())));
            loop {
                tokio::select! {
                    () = &mut timer => break,
                    received = self.socket.recv_from(&mut buffer) => match received {
                        Ok((length, from)) => {
                            if self.receive(&buffer[..length], from) && unlisted.insert(from) {
                                info!(self.log, "entry heard"; "from" => %from);
                            }
                        }
                        // An earlier datagram met no listener; the next report tries again.
                        Err(error) => slog::debug!(self.log, "receive failed"; "error" => %error),
                    },
                }
            }
            let Some((report, rank)) = self.dispatcher.report().await else { return };
            self.rank.send_if_modified(|old| std::mem::replace(old, rank) != rank);
            let datagram = encode(&self.add_readings(report));
            for target in targets.iter().filter(|target| Some(**target) != own) {
                if let Err(error) = self.socket.send_to(&datagram, target).await {
                    slog::debug!(self.log, "report not sent"; "to" => %target, "error" => %error);
                }
            }
        }
    }

    fn receive(&self, datagram: &[u8], from: SocketAddr) -> bool {
        let Some(report) = decode(datagram) else {
            warn!(self.log, "unreadable report"; "from" => %from);
            return false;
        };
        let now = Instant::now();
        if let Some(catalog) = report.catalog {
            self.catalog.publish_peer(catalog.reading(now));
        }
        if let Some(upstreams) = report.upstreams {
            self.upstreams.publish_peer(upstreams.reading(now));
        }
        self.dispatcher.send(Message::PeerReport(report));
        true
    }

    fn add_readings(&self, mut report: PeerReport) -> PeerReport {
        let now = Instant::now();
        let reading = |channels: &ReadingChannels| {
            let reading = *channels.own.borrow();
            reading.map(|reading| AgedReading::new(reading, now))
        };
        report.catalog = reading(&self.catalog);
        report.upstreams = reading(&self.upstreams);
        report
    }
}
