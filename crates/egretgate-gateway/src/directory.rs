//! The edge to where declarations, upstreams and other entries are found.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::Offset;
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::traffic_move::MoveStatus;
use egretgate_core::gateway::upstream::ListedUpstream;

/// Result of a call to the directory.
pub type Result<T> = std::result::Result<T, DirectoryError>;

/// A call to the directory failed; what it says is for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryError(pub String);

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DirectoryError {}

/// What was read, with what could not be.
#[derive(Debug, Clone)]
pub struct DirectoryRead<T> {
    /// What was read.
    pub value: T,
    /// Position after the newest record that was read.
    pub end: Offset,
    /// One sentence for each record that was passed over.
    pub skipped: Vec<String>,
}

/// Where declarations, upstreams and other entries are found.
pub trait Directory: Send + Sync + 'static {
    /// Reads the newest declarations; `None` before the first ones.
    fn catalog(&self) -> impl Future<Output = Result<DirectoryRead<Option<Catalog>>>> + Send;

    /// Returns once declarations may have changed after `from`, or after `wait`.
    fn wait_for_change(
        &self,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Reads the upstreams that are listed now.
    fn upstreams(&self) -> impl Future<Output = Result<DirectoryRead<Vec<ListedUpstream>>>> + Send;

    /// Reads how moves of traffic stand; those of which nothing is recorded are left out.
    fn moves(&self) -> impl Future<Output = Result<DirectoryRead<Vec<MoveStatus>>>> + Send;

    /// Records how a move stands, if nothing was recorded since `end`; returns the position after
    /// it, or `None` if something was.
    fn record_move(
        &self,
        status: &MoveStatus,
        end: Offset,
    ) -> impl Future<Output = Result<Option<Offset>>> + Send;

    /// Lists this entry among the entries.
    fn announce(&self, name: &str, address: SocketAddr) -> impl Future<Output = Result<()>> + Send;

    /// Reads the addresses of the entries, this one among them.
    fn entries(&self) -> impl Future<Output = Result<DirectoryRead<Vec<SocketAddr>>>> + Send;
}
