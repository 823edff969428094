//! The interface to the directory, which keeps declarations, upstreams and entries.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::Offset;
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::counted_entries::ListedEntry;
use egretgate_core::gateway::era::StatedEra;
use egretgate_core::gateway::traffic_move::MoveStatus;
use egretgate_core::gateway::upstream::ListedUpstream;

/// Result of a call to the directory.
pub type Result<T> = std::result::Result<T, DirectoryError>;

/// A failed call to the directory, with a text for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryError(pub String);

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DirectoryError {}

/// A value that was read, with the records that could not be read.
#[derive(Debug, Clone)]
pub struct DirectoryRead<T> {
    /// The value.
    pub value: T,
    /// Position after the newest record that was read.
    pub end: Offset,
    /// What the answers state of their era; the same in all of them.
    pub era: StatedEra,
    /// One sentence for each skipped record.
    pub skipped: Vec<String>,
    /// How the value arrived.
    pub transfer: Transfer,
}

impl<T> DirectoryRead<T> {
    /// Returns a value that was read without skipping a record.
    pub fn new(value: T, end: Offset) -> Self {
        Self {
            value,
            end,
            era: StatedEra::Missing,
            skipped: Vec::new(),
            transfer: Transfer::default(),
        }
    }

    /// Splits off the value; what else is known of the reading goes on to a list that is still
    /// empty.
    pub fn split<U>(self) -> (DirectoryRead<Vec<U>>, T) {
        let Self { value, end, era, skipped, transfer } = self;
        (DirectoryRead { value: Vec::new(), end, era, skipped, transfer }, value)
    }
}

/// How much was transferred for a value, and in what time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Bytes.
    pub bytes: usize,
    /// Time spent waiting for the directory to begin its answers.
    pub waited: Duration,
    /// Time until all answers had arrived.
    pub took: Duration,
}

/// What a wait for a change has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing has changed.
    None,
    /// There may be newer records.
    Newer,
    /// The directory doesn't have the position: older records were deleted, or its end is lower.
    PositionGone,
}

/// The end of a wait for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waited {
    /// What was found.
    pub change: Change,
    /// What the answer states of its era.
    pub era: StatedEra,
}

/// The end of a conditional append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Position after the record; `None` if something else was recorded before.
    pub end: Option<Offset>,
    /// What the answer states of its era.
    pub era: StatedEra,
}

/// The directory, which keeps declarations, upstreams and entries.
pub trait Directory: Send + Sync + 'static {
    /// Reads the newest declarations; `None` if there are none yet.
    fn catalog(&self) -> impl Future<Output = Result<DirectoryRead<Option<Catalog>>>> + Send;

    /// Returns once declarations may have changed after `from`, or after `wait`.
    fn wait_for_change(
        &self,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Waited>> + Send;

    /// Reads the listed upstreams.
    fn upstreams(&self) -> impl Future<Output = Result<DirectoryRead<Vec<ListedUpstream>>>> + Send;

    /// Reads the recorded states of moves; moves without one are left out.
    fn moves(&self) -> impl Future<Output = Result<DirectoryRead<Vec<MoveStatus>>>> + Send;

    /// Records the state of a move, if nothing was recorded since `end`.
    fn record_move(
        &self,
        status: &MoveStatus,
        end: Offset,
    ) -> impl Future<Output = Result<Appended>> + Send;

    /// Adds this entry to the list of entries; returns what the answer states of its era.
    fn announce(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<StatedEra>> + Send;

    /// Reads the records of the entries, this one included.
    fn entries(&self) -> impl Future<Output = Result<DirectoryRead<Vec<ListedEntry>>>> + Send;

    /// Removes an entry from the list, if the list has not changed since `end`.
    fn remove_entry(
        &self,
        name: &str,
        end: Offset,
    ) -> impl Future<Output = Result<Appended>> + Send;
}
