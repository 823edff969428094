//! The task that counts requests that met or missed their objective, for the burn report of
//! service-level objectives.

use std::time::Instant;

use egretgate_core::burn::{BurnCounter, Row};
use egretgate_core::declaration::Declarations;
use egretgate_core::{TeamId, Tier};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the tally's message channel.
pub(crate) const TALLY_CHANNEL_CAPACITY: usize = 4096;

/// Messages to the tally task.
#[derive(Debug)]
pub(crate) enum TallyMessage {
    /// A request has ended.
    Ended(Outcome),
    /// Return the counts under these declarations.
    Rows { declared: Box<Declarations>, reply: oneshot::Sender<Vec<Row>> },
}

/// Outcome of a request, as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    /// Team of the request.
    pub team: TeamId,
    /// Rank of the tier.
    pub tier: Tier,
    /// True if it met its tier's objective.
    pub met_objective: bool,
}

/// Counts requests until every sender is dropped.
pub(crate) async fn run(mut messages: mpsc::Receiver<TallyMessage>) {
    let mut burn = BurnCounter::new(Instant::now());
    while let Some(message) = messages.recv().await {
        match message {
            TallyMessage::Ended(outcome) => {
                burn.record(Instant::now(), outcome.tier, &outcome.team, outcome.met_objective);
            }
            TallyMessage::Rows { declared, reply } => {
                let _ = reply.send(burn.rows(Instant::now(), &declared));
            }
        }
    }
}
