//! One offer of a request to one upstream.

use std::time::{Duration, Instant};

use egretgate_core::reply::{Assembly, AssemblyState, ReceiveWindow};
use egretgate_core::{Error, ErrorKind, Execution, Ticket};
use egretgate_link::message::{Chunk, End, Offer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use crate::entry::fleet::{ChosenUpstream, FleetMessage};
use crate::entry::link::{EVENT_CHANNEL_CAPACITY, Event, LinkMessage};
use crate::entry::request::RequestTask;

pub(crate) use crate::entry::link::CREDIT_WINDOW;

/// Time within which a side process must prove that a withdrawn request was not run.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without any chunk of a running answer.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How one offer ended.
pub(crate) enum OfferOutcome {
    /// The whole answer was sent to the caller.
    Whole,
    /// Proven not run there; another upstream may be tried.
    Refused(Error),
    /// The request has failed for good.
    Failed(Error),
}

/// Progress of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Offered or queued.
    Waiting,
    /// Withdrawn after its deadline; waiting for the proof that it was not run.
    Withdrawn,
    /// Dispatched.
    Started,
}

/// An offer whose outcome is not known yet.
pub(crate) struct ActiveOffer {
    chosen: ChosenUpstream,
    ticket: Ticket,
    events: mpsc::Receiver<Event>,
    assembly: Assembly,
    receive_window: ReceiveWindow,
    head: Option<ChunkHead>,
    stage: Stage,
    /// Deadline of the current stage.
    deadline: Instant,
}

/// Status and content type, from the first chunk of the answer.
struct ChunkHead {
    status: u16,
    content_type: String,
}

impl ActiveOffer {
    /// Sends the offer.
    pub(crate) async fn start(chosen: ChosenUpstream, offer: Offer, deadline: Instant) -> Self {
        let (sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let ticket = offer.ticket.unwrap_or_default().into();
        let _ = chosen.link.send(LinkMessage::Offer { offer, events: sender }).await;
        Self {
            chosen,
            ticket,
            events,
            assembly: Assembly::new(CREDIT_WINDOW),
            receive_window: ReceiveWindow::new(CREDIT_WINDOW),
            head: None,
            stage: Stage::Waiting,
            deadline,
        }
    }

    async fn send(&self, message: LinkMessage) {
        let _ = self.chosen.link.send(message).await;
    }

    /// Handles the expiry of the current stage's deadline. Returns the outcome, if that ends the
    /// offer.
    async fn handle_timeout(&mut self) -> Option<OfferOutcome> {
        match self.stage {
            Stage::Waiting => {
                self.stage = Stage::Withdrawn;
                self.deadline = Instant::now() + PROOF_TIMEOUT;
                self.send(LinkMessage::Withdraw(self.ticket)).await;
                None
            }
            Stage::Withdrawn => Some(OfferOutcome::Failed(unknown_error(
                "no proof in time that the request was not run",
            ))),
            Stage::Started => {
                Some(OfferOutcome::Failed(cut_error("the upstream sent nothing for too long")))
            }
        }
    }

    fn refused_outcome(&self, kind: ErrorKind, retry_after: Option<Duration>) -> OfferOutcome {
        let kind = if self.stage == Stage::Withdrawn { ErrorKind::DeadlinePassed } else { kind };
        let mut error = Error::new(kind, "refused by the upstream's side process")
            .with_execution(Execution::NotRun);
        error.retry_after = retry_after;
        OfferOutcome::Refused(error)
    }

    fn whole_outcome(&self) -> Option<OfferOutcome> {
        (*self.assembly.state() == AssemblyState::Complete).then_some(OfferOutcome::Whole)
    }

    /// Returns the outcome after the loss of the side process, which proves nothing about what was
    /// sent to it.
    fn lost_outcome(&self) -> OfferOutcome {
        match self.stage {
            Stage::Started => {
                OfferOutcome::Failed(cut_error("the link to the side process was lost"))
            }
            Stage::Waiting | Stage::Withdrawn => {
                OfferOutcome::Failed(unknown_error("the link to the side process was lost"))
            }
        }
    }
}

impl RequestTask {
    /// Runs an offer to its outcome.
    pub(crate) async fn run_offer(&mut self, mut active: ActiveOffer) -> OfferOutcome {
        let outcome = self.receive(&mut active).await;
        if !matches!(outcome, OfferOutcome::Refused(_)) {
            // Withdrawn even after an end: a request that still runs would wait for credit that is
            // never granted, and a finished answer would be kept for a reconnect.
            active.send(LinkMessage::Withdraw(active.ticket)).await;
        }
        active.send(LinkMessage::Forget(active.ticket)).await;
        let ChosenUpstream { key, in_flight, .. } = active.chosen;
        let ended = FleetMessage::Ended { key, in_flight, tokens: self.tokens };
        let _ = self.handles.fleet.send(ended).await;
        outcome
    }

    async fn receive(&mut self, active: &mut ActiveOffer) -> OfferOutcome {
        loop {
            let timeout = sleep_until(active.deadline.into());
            let outcome = tokio::select! {
                event = active.events.recv() => self.handle(active, event).await,
                () = self.call.reply.closed() => {
                    Some(OfferOutcome::Failed(caller_gone_error(active.stage)))
                }
                () = timeout => active.handle_timeout().await,
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    async fn handle(
        &mut self,
        active: &mut ActiveOffer,
        event: Option<Event>,
    ) -> Option<OfferOutcome> {
        match event {
            Some(Event::Queued) => None,
            Some(Event::Started) => {
                active.stage = Stage::Started;
                active.deadline = Instant::now() + IDLE_TIMEOUT;
                None
            }
            Some(Event::Refused { kind, retry_after }) => {
                Some(active.refused_outcome(kind, retry_after))
            }
            Some(Event::Chunk(chunk)) => self.handle_chunk(active, chunk).await,
            Some(Event::End(end)) => self.handle_end(active, &end).await,
            Some(Event::Lost) | None => Some(active.lost_outcome()),
        }
    }

    async fn handle_chunk(
        &mut self,
        active: &mut ActiveOffer,
        chunk: Chunk,
    ) -> Option<OfferOutcome> {
        active.stage = Stage::Started;
        active.deadline = Instant::now() + IDLE_TIMEOUT;
        if chunk.index == 0 && active.head.is_none() {
            let status = chunk.status as u16;
            active.head = Some(ChunkHead { status, content_type: chunk.content_type });
            self.report_first_token(active).await;
        }
        let parts = match active.assembly.accept_chunk(chunk.index, chunk.data) {
            Ok(parts) => parts,
            Err(error) => return Some(OfferOutcome::Failed(error)),
        };
        for part in parts {
            if let Err(error) = self.forward(active, part).await {
                return Some(OfferOutcome::Failed(error));
            }
        }
        active.whole_outcome()
    }

    async fn forward(
        &mut self,
        active: &mut ActiveOffer,
        part: bytes::Bytes,
    ) -> egretgate_core::Result<()> {
        if let Some(head) = active.head.take()
            && self.head.is_none()
        {
            self.send_head(head.status, head.content_type).await?;
        }
        self.send_data(part).await?;
        if let Some(chunks) = active.receive_window.consume(1) {
            active.send(LinkMessage::Credit { ticket: active.ticket, chunks }).await;
        }
        Ok(())
    }

    async fn report_first_token(&mut self, active: &mut ActiveOffer) {
        self.first_token = Some(self.arrival.elapsed());
        let (reply, updated) = oneshot::channel();
        let in_flight = active.chosen.in_flight.clone();
        let first = FleetMessage::FirstToken { key: active.chosen.key, in_flight, reply };
        let _ = self.handles.fleet.send(first).await;
        if let Ok(in_flight) = updated.await {
            active.chosen.in_flight = in_flight;
        }
    }

    async fn handle_end(&mut self, active: &mut ActiveOffer, end: &End) -> Option<OfferOutcome> {
        self.tokens = end.tokens;
        let error = (!end.code.is_empty()).then(|| {
            let kind = ErrorKind::from_code(&end.code).unwrap_or(ErrorKind::AnswerCut);
            Error::new(kind, "the upstream broke off the answer")
        });
        if let Err(error) = active.assembly.accept_end(end.chunks, error) {
            return Some(OfferOutcome::Failed(error));
        }
        if end.chunks == 0 && self.head.is_none() {
            let status = end.status as u16;
            if let Err(error) = self.send_head(status, String::new()).await {
                return Some(OfferOutcome::Failed(error));
            }
        }
        active.whole_outcome()
    }
}

fn unknown_error(detail: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, detail)
}

fn cut_error(detail: &str) -> Error {
    Error::new(ErrorKind::AnswerCut, detail)
}

fn caller_gone_error(stage: Stage) -> Error {
    let execution = if stage == Stage::Started { Execution::Executed } else { Execution::Unknown };
    Error::new(ErrorKind::CallerGone, "the caller disconnected").with_execution(execution)
}
