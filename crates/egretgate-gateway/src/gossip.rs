//! Reports among entries, by datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::desk::{DeskHandle, Message};
use crate::wire::{decode, encode};

/// Time between reports for each other entry, so that all reports of a fleet cost an entry the
/// same processor time up to the longest pause.
const PAUSE_EACH: Duration = Duration::from_millis(10);
/// Shortest time between reports: requests last some hundred milliseconds.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
/// Longest time between reports.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Largest datagram, in bytes; larger ones would be split on the way.
const DATAGRAM_BYTES: usize = 8 << 10;

/// Sends reports to the other entries and takes theirs in, until the process ends.
pub(crate) async fn run(
    socket: UdpSocket,
    entries: watch::Receiver<Vec<SocketAddr>>,
    desk: DeskHandle,
    log: Logger,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let own = socket.local_addr().ok();
    // Entries that were heard but aren't listed yet.
    let mut heard = BTreeSet::new();
    loop {
        let targets: BTreeSet<SocketAddr> =
            entries.borrow().iter().copied().chain(heard.iter().copied()).collect();
        let pause = (PAUSE_EACH * targets.len() as u32).clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
        let mut timer = std::pin::pin!(sleep(pause));
        loop {
            tokio::select! {
                () = &mut timer => break,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => match decode(&buffer[..length]) {
                        Some(report) => {
                            if heard.insert(from) {
                                info!(log, "entry heard"; "entry" => &report.name, "from" => %from);
                            }
                            desk.tell(Message::Hear(report));
                        }
                        None => warn!(log, "unreadable report"; "from" => %from),
                    },
                    // An earlier datagram met no listener; the next report tries again.
                    Err(error) => slog::debug!(log, "receive failed"; "error" => %error),
                },
            }
        }
        let Some(report) = desk.report().await else { return };
        let datagram = encode(&report);
        for target in targets.iter().filter(|target| Some(**target) != own) {
            if let Err(error) = socket.send_to(&datagram, target).await {
                slog::debug!(log, "report not sent"; "to" => %target, "error" => %error);
            }
        }
    }
}
