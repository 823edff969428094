//! Exchange of reports between entries, by datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use egretgate_core::ZoneId;
use egretgate_core::gateway::follow::Reading;
use egretgate_core::gateway::peer::{AgedReading, PeerReport};
use egretgate_core::gateway::peer_addresses::PeerAddresses;
use egretgate_core::gateway::report_schedule::ReportSchedule;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::dispatcher::{DispatcherHandle, Message, OwnReport};
use crate::eras::Eras;
use crate::wire::{decode, encode};

/// Largest datagram, in bytes; larger ones would be fragmented.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Highest rank of an entry that takes over the readings before all others do so too.
const MAX_READER_RANK: usize = 5;

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
            let newer = newest.is_none_or(|old| reading.replaces(&old));
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
    /// Zone of this entry.
    pub(crate) zone: ZoneId,
    pub(crate) entries: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) catalog: ReadingChannels,
    pub(crate) upstreams: ReadingChannels,
    pub(crate) eras: Arc<Eras>,
    /// Rank of this entry.
    pub(crate) rank: watch::Sender<usize>,
    /// Whether this entry must renew its record in the directory.
    pub(crate) must_renew: watch::Sender<bool>,
    pub(crate) log: Logger,
}

impl Gossip {
    /// Sends reports to the other entries and receives theirs, until the process ends.
    pub(crate) async fn run(&mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let own = self.socket.local_addr().ok();
        let mut peers = PeerAddresses::default();
        // Readings of this entry in its last report.
        let mut sent = [None, None];
        for number in 0_u64.. {
            peers.expire(Instant::now());
            let targets: BTreeSet<SocketAddr> =
                self.entries.borrow().iter().copied().chain(peers.iter()).collect();
            let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) = targets
                .into_iter()
                .filter(|target| Some(*target) != own)
                .partition(|target| peers.may_be_near(target, &self.zone));
            let schedule = ReportSchedule::new(near.len(), far.len());
            let mut timer = std::pin::pin!(sleep(schedule.near_interval()));
            loop {
                tokio::select! {
                    () = &mut timer => break,
                    received = self.socket.recv_from(&mut buffer) => match received {
                        Ok((length, from)) => self.receive(&buffer[..length], from, &mut peers),
                        // An earlier datagram found no listener; the next report tries again.
                        Err(error) => slog::debug!(self.log, "receive failed"; "error" => %error),
                    },
                }
            }
            // The dispatcher has failed to make this one.
            let Some(own_report) = self.dispatcher.report().await else { continue };
            let OwnReport { report, rank, must_renew } = own_report;
            self.must_renew
                .send_if_modified(|old| std::mem::replace(old, must_renew) != must_renew);
            self.rank.send_if_modified(|old| std::mem::replace(old, rank) != rank);
            // The others rely on the readings of the leading entry, or of one that has taken over.
            // Such an entry sends each new reading to all at once.
            let readings = [&self.catalog, &self.upstreams].map(|channels| *channels.own.borrow());
            let is_new = std::mem::replace(&mut sent, readings) != readings;
            let send_to_all = rank <= MAX_READER_RANK && is_new;
            let datagram = encode(&self.add_readings(report));
            let due = far
                .iter()
                .enumerate()
                .filter(|(index, _)| send_to_all || schedule.is_far_due(number, *index));
            for target in near.iter().chain(due.map(|(_, target)| target)) {
                if let Err(error) = self.socket.send_to(&datagram, target).await {
                    slog::debug!(self.log, "report not sent"; "to" => %target, "error" => %error);
                }
            }
        }
    }

    /// Passes on a received report, unless the datagram isn't one.
    fn receive(&self, datagram: &[u8], from: SocketAddr, peers: &mut PeerAddresses) {
        let Some(report) = decode(datagram) else {
            warn!(self.log, "unreadable report"; "from" => %from);
            return;
        };
        let now = Instant::now();
        if peers.record(from, &report.zone, now) {
            info!(self.log, "first report from an entry"; "from" => %from);
        }
        let readings = [(&self.catalog, report.catalog), (&self.upstreams, report.upstreams)];
        for (channels, reading) in readings {
            let Some(reading) = reading.map(|reading| reading.reading(now)) else { continue };
            if self.eras.record_peer(from, &reading, now) {
                channels.publish_peer(reading);
            }
        }
        self.dispatcher.send(Message::PeerReport(report));
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
