//! The task that lists this entry in the directory and follows the list of entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::counted_entries::{ListedEntry, RENEWAL_INTERVAL};
use egretgate_core::gateway::era::Era;
use egretgate_core::gateway::held_entries::HeldEntries;
use egretgate_core::{InstanceId, Offset};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::directory::{Directory, DirectoryRead, Result};
use crate::dispatcher::{DispatcherHandle, Message};
use crate::eras::Eras;
use crate::skipped::SkippedRecords;
use crate::sync::Backoff;

/// First interval between readings of the list of entries; each is twice as long as the one before.
const STARTING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between readings of the list of entries in a small fleet.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(5);
/// The same in a large fleet, for each other entry, so that a fleet of any size reads the list as
/// often. New entries become known by their reports before.
const ENTRIES_INTERVAL_PER_PEER: Duration = Duration::from_millis(250);

/// The task that follows the list of entries.
pub(crate) struct EntryList<D> {
    pub(crate) directory: Arc<D>,
    /// Name of this entry.
    pub(crate) name: InstanceId,
    /// Address of this entry for reports.
    pub(crate) address: SocketAddr,
    /// Addresses of the listed entries.
    pub(crate) entries: watch::Sender<Vec<SocketAddr>>,
    /// Whether this entry must renew its record.
    pub(crate) must_renew: watch::Receiver<bool>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) eras: Arc<Eras>,
    pub(crate) log: Logger,
}

impl<D: Directory> EntryList<D> {
    /// Lists this entry and keeps the list up to date, until the process ends.
    pub(crate) async fn follow(&mut self) {
        let mut backoff = Backoff::new();
        let mut held = HeldEntries::default();
        let mut last_era = None;
        let mut skipped = SkippedRecords::default();
        let mut current_era = self.eras.subscribe();
        // Listed before the first reading, so that of two entries that start together at least one
        // reads the address of the other, which learns of it by its reports.
        while let Err(error) = self.announce().await {
            backoff.failed("announce", &error, &self.log).await;
        }
        for reading in 0_u32.. {
            let (era, read) = match self.read().await {
                Ok(read) => read,
                Err(error) => {
                    self.dispatcher.send(Message::EntriesUnreadable);
                    backoff.failed("entries", &error, &self.log).await;
                    continue;
                }
            };
            backoff.succeeded("entries", &self.log);
            skipped.record(read.skipped, &self.log);
            let now = Instant::now();
            if std::mem::replace(&mut last_era, era) != era {
                held.begin_era(now);
            }
            let DirectoryRead { value: listed, end, .. } = read;
            let is_listed = listed.iter().any(|entry| entry.address == self.address);
            let addresses = held.apply(listed.iter().map(|entry| entry.address).collect(), now);
            let peers = addresses.iter().filter(|address| **address != self.address).count();
            if *self.entries.borrow() != addresses {
                info!(self.log, "entries listed"; "count" => addresses.len());
            }
            self.entries.send_replace(addresses);
            let Some(upkeep) = self.dispatcher.record_entries(self.address, listed).await else {
                // The dispatcher has failed to record this list.
                sleep(STARTING_INTERVAL).await;
                continue;
            };
            self.remove(upkeep.lost, end).await;
            if !is_listed || upkeep.renew {
                if let Err(error) = self.announce().await {
                    backoff.failed("announce", &error, &self.log).await;
                    continue;
                }
                if !is_listed {
                    info!(self.log, "entry listed again"; "era" => era);
                }
            }
            let interval = ENTRIES_INTERVAL.max(ENTRIES_INTERVAL_PER_PEER * peers as u32);
            // All entries of a new fleet start within a second, so the list grows at first.
            let interval =
                (STARTING_INTERVAL * 2_u32.saturating_pow(reading.min(16))).min(interval);
            let interval = if upkeep.renew { interval.min(RENEWAL_INTERVAL) } else { interval };
            let now = Instant::now();
            let due = held.until().into_iter().chain(upkeep.read_by).filter(|due| *due > now);
            let interval = due.min().map_or(interval, |due| interval.min(due - now));
            let wait_for_renewal = async {
                if upkeep.renew {
                    std::future::pending::<()>().await;
                }
                // The sender lives as long as the process.
                let _ = self.must_renew.wait_for(|must_renew| *must_renew).await;
            };
            // Ends early when another era begins, in which this entry may not be listed.
            let early = async {
                tokio::select! {
                    _ = current_era.wait_for(|current| *current != era) => {}
                    () = wait_for_renewal => {}
                }
            };
            let _ = timeout(interval, early).await;
        }
    }

    /// Writes this entry's record.
    async fn announce(&self) -> Result<()> {
        let begun = Instant::now();
        let stated = self.directory.announce(&self.name, self.address).await?;
        self.eras.record_answer("announce", stated)?;
        self.dispatcher.send(Message::OwnRenewal(begun));
        Ok(())
    }

    async fn read(&self) -> Result<(Option<Era>, DirectoryRead<Vec<ListedEntry>>)> {
        let read = self.directory.entries().await?;
        Ok((self.eras.record_answer("entries", read.era)?, read))
    }

    /// Removes the records of entries that no longer count. One that lives after all lists itself
    /// again.
    async fn remove(&self, lost: Vec<ListedEntry>, mut end: Offset) {
        for entry in lost {
            let removed = self.directory.remove_entry(&entry.name, end).await;
            let removed = removed.and_then(|appended| {
                self.eras.record_answer("remove", appended.era).map(|_| appended.end)
            });
            match removed {
                Ok(Some(new_end)) => {
                    info!(self.log, "entry removed"; "entry" => entry.name);
                    end = new_end;
                }
                // The list has changed, so the next reading decides.
                Ok(None) => return,
                Err(error) => {
                    warn!(self.log, "entry not removed"; "entry" => entry.name, "error" => %error);
                    return;
                }
            }
        }
    }
}
