//! The task that has moves of traffic judged and recorded.

use std::sync::Arc;
use std::time::Duration;

use egretgate_core::gateway::catalog::{Catalog, MoveSpec};
use egretgate_core::gateway::traffic_move::{MoveState, MoveStatus};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::desk::DeskHandle;
use crate::directory::{Directory, DirectoryError};

/// Time between two judgements: short against the seconds within which a bad version must get nothing.
const LOOK: Duration = Duration::from_millis(200);

/// What the desk says of the moves that go on.
#[derive(Debug, Default)]
pub(crate) struct Judged {
    /// Orders whose state in the directory isn't known.
    pub(crate) unknown: Vec<MoveSpec>,
    /// What is to be recorded.
    pub(crate) ends: Vec<MoveStatus>,
}

/// Judges moves while there are any, until the process ends.
pub(crate) async fn run<D: Directory>(
    directory: Arc<D>,
    mut catalog: watch::Receiver<Option<Arc<Catalog>>>,
    desk: DeskHandle,
    log: Logger,
) {
    loop {
        let ordered = |catalog: &Option<Arc<Catalog>>| {
            catalog.as_ref().is_some_and(|catalog| !catalog.moves().is_empty())
        };
        if catalog.wait_for(ordered).await.is_err() {
            return;
        }
        let Some(judged) = desk.judge_moves().await else { return };
        let is_idle = judged.unknown.is_empty() && judged.ends.is_empty();
        if !is_idle && let Err(error) = look(&*directory, &judged, &desk, &log).await {
            warn!(log, "move not recorded"; "error" => %error);
        }
        sleep(LOOK).await;
    }
}

/// Reads how moves stand and records what was judged. An end that is recorded already stands.
async fn look<D: Directory>(
    directory: &D,
    judged: &Judged,
    desk: &DeskHandle,
    log: &Logger,
) -> Result<(), DirectoryError> {
    let seen = directory.moves().await?;
    for fault in &seen.skipped {
        warn!(log, "record passed over"; "fault" => fault);
    }
    let recorded = |order| seen.value.iter().find(|status| status.spec.is_same(order));
    for order in &judged.unknown {
        let state = recorded(order).map_or(MoveState::Ordered, |status| status.state);
        info!(log, "move ordered"; "service" => &order.service, "target" => &order.target,
            "within_ms" => order.within.as_millis() as u64, "state" => ?state);
        desk.record_move(MoveStatus { spec: order.clone(), state });
    }
    let mut end = seen.end;
    for status in &judged.ends {
        let order = &status.spec;
        if let Some(before) = recorded(order).filter(|before| before.state.is_end()) {
            desk.record_move(MoveStatus { spec: order.clone(), state: before.state });
            continue;
        }
        let Some(after) = directory.record_move(status, end).await? else {
            info!(log, "move recorded by another entry"; "service" => &order.service,
                "target" => &order.target, "state" => ?status.state);
            return Ok(());
        };
        end = after;
        info!(log, "move recorded"; "service" => &order.service, "target" => &order.target,
            "state" => ?status.state, "at" => end);
        desk.record_move(status.clone());
    }
    Ok(())
}
