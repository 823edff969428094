//! The task that has moves of traffic judged and recorded.

use std::sync::Arc;
use std::time::Duration;

use egretgate_core::gateway::catalog::{Catalog, MoveSpec};
use egretgate_core::gateway::era::Era;
use egretgate_core::gateway::traffic_move::{MoveState, MoveStatus};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::directory::{Directory, DirectoryError, Result};
use crate::dispatcher::DispatcherHandle;
use crate::eras::Eras;
use crate::skipped::SkippedRecords;

/// Interval between two judgements: short compared with the seconds within which a bad version must
/// stop getting requests.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Moves whose state must be read or recorded.
#[derive(Debug, Default)]
pub(crate) struct PendingMoves {
    /// Moves whose state in the directory isn't known.
    pub(crate) unknown: Vec<MoveSpec>,
    /// States to record.
    pub(crate) changes: Vec<MoveStatus>,
    /// States that the directory should hold, if this entry leads.
    pub(crate) recorded: Vec<MoveStatus>,
}

/// The task.
pub(crate) struct MoveRecorder<D> {
    pub(crate) directory: Arc<D>,
    pub(crate) catalog: watch::Receiver<Option<Arc<Catalog>>>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) eras: Arc<Eras>,
    pub(crate) log: Logger,
}

impl<D: Directory> MoveRecorder<D> {
    /// Has moves judged while there are any, until the process ends.
    pub(crate) async fn run(&mut self) {
        let Self { directory, catalog, dispatcher, eras, log } = self;
        // Era in which the recorded states were last compared with the directory's.
        let mut compared = None;
        let mut skipped = SkippedRecords::default();
        loop {
            let has_moves = |catalog: &Option<Arc<Catalog>>| {
                catalog.as_ref().is_some_and(|catalog| !catalog.moves().is_empty())
            };
            if catalog.wait_for(has_moves).await.is_err() {
                return;
            }
            let Some(pending) = dispatcher.judge_moves().await else {
                // The dispatcher has failed to judge them this time.
                sleep(EVALUATION_INTERVAL).await;
                continue;
            };
            let may_be_lost = !pending.recorded.is_empty() && compared != eras.era();
            if !pending.unknown.is_empty() || !pending.changes.is_empty() || may_be_lost {
                let recorded =
                    record_changes(&**directory, &pending, dispatcher, eras, &mut skipped, log);
                match recorded.await {
                    Ok(era) => compared = era,
                    Err(error) => warn!(log, "move not recorded"; "error" => %error),
                }
            }
            sleep(EVALUATION_INTERVAL).await;
        }
    }
}

/// Reads the recorded states of moves and records the pending ones, and those that the directory
/// has lost; returns the era for which they are recorded. A recorded end doesn't change.
async fn record_changes<D: Directory>(
    directory: &D,
    pending: &PendingMoves,
    dispatcher: &DispatcherHandle,
    eras: &Eras,
    skipped: &mut SkippedRecords,
    log: &Logger,
) -> Result<Option<Era>> {
    let read = directory.moves().await?;
    let era = eras.record_answer("moves", read.era)?;
    skipped.record(read.skipped, log);
    let recorded = |spec| read.value.iter().find(|status| status.spec.is_same(spec));
    for spec in &pending.unknown {
        let state = recorded(spec).map_or(MoveState::Ordered, |status| status.state);
        info!(log, "move ordered"; "service" => &spec.service, "target" => &spec.target,
            "within_ms" => spec.within.as_millis() as u64, "state" => ?state);
        dispatcher.record_move(MoveStatus { spec: spec.clone(), state });
    }
    let mut end = read.end;
    let is_changing = |spec: &MoveSpec| pending.changes.iter().any(|status| status.spec == *spec);
    let lost = pending.recorded.iter().filter(|status| {
        !is_changing(&status.spec)
            && recorded(&status.spec).is_none_or(|found| found.state != status.state)
    });
    for status in pending.changes.iter().chain(lost) {
        let spec = &status.spec;
        if let Some(earlier) = recorded(spec).filter(|earlier| earlier.state.is_end()) {
            if earlier.state != status.state {
                warn!(log, "move has another recorded end"; "service" => &spec.service,
                    "target" => &spec.target, "state" => ?earlier.state, "own" => ?status.state);
            }
            dispatcher.record_move(MoveStatus { spec: spec.clone(), state: earlier.state });
            continue;
        }
        let appended = directory.record_move(status, end).await?;
        // An offset of another era proves nothing about what was recorded before.
        if eras.record_answer("record move", appended.era)? != era {
            return Err(DirectoryError("an era began meanwhile".to_owned()));
        }
        let Some(after) = appended.end else {
            info!(log, "move recorded by another entry"; "service" => &spec.service,
                "target" => &spec.target, "state" => ?status.state);
            return Ok(None);
        };
        end = after;
        info!(log, "move recorded"; "service" => &spec.service, "target" => &spec.target,
            "state" => ?status.state, "at" => end);
        dispatcher.record_move(status.clone());
    }
    Ok(era)
}
