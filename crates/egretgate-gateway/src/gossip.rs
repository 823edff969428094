//! Exchange of reports between entries, by datagrams.

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

/// Largest datagram, in bytes; larger ones would be fragmented.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Channels for the readings of one piece of shared state.
#[derive(Debug)]
pub(crate) struct ReadingChannels {
    /// Reading of this entry.
    pub(crate) own: watch::Receiver<Option<Reading>>,
    /// Newest reading of another entry.
    pub(crate) peers: watch::Sender<Option<Reading>>,
}

impl ReadingChannels {
    /// Publishes another entry's reading, unless a newer one was published.
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

/// The task that exchanges reports.
pub(crate) struct Gossip {
    pub(crate) socket: UdpSocket,
    pub(crate) entries: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) catalog: ReadingChannels,
    pub(crate) upstreams: ReadingChannels,
    /// Rank of this entry.
    pub(crate) rank: watch::Sender<usize>,
    pub(crate) log: Logger,
}

impl Gossip {
    /// Sends reports to the other entries and receives theirs, until the process ends.
    pub(crate) async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let own = self.socket.local_addr().ok();
        // Entries that sent a report but aren't listed yet.
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
                                info!(self.log, "report from an unlisted entry"; "from" => %from);
                            }
                        }
                        // An earlier datagram found no listener; the next report tries again.
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

    /// Passes on a received report; returns false if the datagram isn't one.
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

    /// Adds this entry's readings to its report.
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
