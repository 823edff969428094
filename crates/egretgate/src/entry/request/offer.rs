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

/// Timeout for a side process's proof that a withdrawn request was not run.
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
    grants: ReceiveWindow,
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
            grants: ReceiveWindow::new(CREDIT_WINDOW),
            head: None,
            stage: Stage::Waiting,
            deadline,
        }
    }

    async fn send(&self, message: LinkMessage) {
        let _ = self.chosen.link.send(message).await;
    }

    /// Handles the end of the current stage's deadline. Returns the outcome, if that ends the
    /// offer.
    async fn handle_timeout(&mut self) -> Option<OfferOutcome> {
        match self.stage {
            Stage::Waiting => {
                self.stage = Stage::Withdrawn;
                self.deadline = Instant::now() + PROOF_TIMEOUT;
                self.send(LinkMessage::Withdraw(self.ticket)).await;
                None
            }
            Stage::Withdrawn => Some(OfferOutcome::Failed(unknown("no proof after the deadline"))),
            Stage::Started => Some(OfferOutcome::Failed(cut("the upstream fell silent"))),
        }
    }

    fn refused(&self, kind: ErrorKind, after: Option<Duration>) -> OfferOutcome {
        let kind = if self.stage == Stage::Withdrawn { ErrorKind::DeadlinePassed } else { kind };
        let mut error = Error::new(kind, "refused by the upstream's side process")
            .with_execution(Execution::NotRun);
        error.retry_after = after;
        OfferOutcome::Refused(error)
    }

    fn whole(&self) -> Option<OfferOutcome> {
        (*self.assembly.state() == AssemblyState::Complete).then_some(OfferOutcome::Whole)
    }

    /// Returns the outcome after the loss of the side process, which proves nothing about what was
    /// sent to it.
    fn lost(&self) -> OfferOutcome {
        match self.stage {
            Stage::Started => OfferOutcome::Failed(cut("the side process was lost")),
            Stage::Waiting | Stage::Withdrawn => {
                OfferOutcome::Failed(unknown("the side process was lost"))
            }
        }
    }
}

impl RequestTask {
    /// Runs an offer to its outcome.
    pub(crate) async fn run_offer(&mut self, mut session: ActiveOffer) -> OfferOutcome {
        let offered = self.receive(&mut session).await;
        if !matches!(offered, OfferOutcome::Refused(_)) {
            // Withdrawn even after an end: a running request would wait for credit that never
            // comes, and a finished answer would be kept for a reconnect.
            session.send(LinkMessage::Withdraw(session.ticket)).await;
        }
        session.send(LinkMessage::Forget(session.ticket)).await;
        let ChosenUpstream { key, in_flight: flight, .. } = session.chosen;
        let ended = FleetMessage::Ended { key, in_flight: flight, tokens: self.tokens };
        let _ = self.handles.fleet.send(ended).await;
        offered
    }

    async fn receive(&mut self, session: &mut ActiveOffer) -> OfferOutcome {
        loop {
            let patience = sleep_until(session.deadline.into());
            let ended = tokio::select! {
                event = session.events.recv() => self.handle(session, event).await,
                () = self.call.reply.closed() => Some(OfferOutcome::Failed(gone(session.stage))),
                () = patience => session.handle_timeout().await,
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
    }

    async fn handle(
        &mut self,
        session: &mut ActiveOffer,
        event: Option<Event>,
    ) -> Option<OfferOutcome> {
        match event {
            Some(Event::Queued) => None,
            Some(Event::Started) => {
                session.stage = Stage::Started;
                session.deadline = Instant::now() + IDLE_TIMEOUT;
                None
            }
            Some(Event::Refused { kind, after }) => Some(session.refused(kind, after)),
            Some(Event::Chunk(chunk)) => self.handle_chunk(session, chunk).await,
            Some(Event::End(end)) => self.handle_end(session, &end).await,
            Some(Event::Lost) | None => Some(session.lost()),
        }
    }

    async fn handle_chunk(
        &mut self,
        session: &mut ActiveOffer,
        chunk: Chunk,
    ) -> Option<OfferOutcome> {
        session.stage = Stage::Started;
        session.deadline = Instant::now() + IDLE_TIMEOUT;
        if chunk.index == 0 && session.head.is_none() {
            let status = chunk.status as u16;
            session.head = Some(ChunkHead { status, content_type: chunk.content_type });
            self.report_first_token(session).await;
        }
        let parts = match session.assembly.chunk(chunk.index, chunk.data) {
            Ok(parts) => parts,
            Err(error) => return Some(OfferOutcome::Failed(error)),
        };
        for part in parts {
            if let Err(error) = self.forward(session, part).await {
                return Some(OfferOutcome::Failed(error));
            }
        }
        session.whole()
    }

    async fn forward(
        &mut self,
        session: &mut ActiveOffer,
        part: bytes::Bytes,
    ) -> egretgate_core::Result<()> {
        if let Some(head) = session.head.take()
            && self.head.is_none()
        {
            self.send_head(head.status, head.content_type).await?;
        }
        self.send_data(part).await?;
        if let Some(chunks) = session.grants.consume(1) {
            session.send(LinkMessage::Credit { ticket: session.ticket, chunks }).await;
        }
        Ok(())
    }

    async fn report_first_token(&mut self, session: &mut ActiveOffer) {
        self.first_token = Some(self.arrival.elapsed());
        let (reply, noted) = oneshot::channel();
        let flight = session.chosen.in_flight.clone();
        let first = FleetMessage::FirstToken { key: session.chosen.key, in_flight: flight, reply };
        let _ = self.handles.fleet.send(first).await;
        if let Ok(flight) = noted.await {
            session.chosen.in_flight = flight;
        }
    }

    async fn handle_end(&mut self, session: &mut ActiveOffer, end: &End) -> Option<OfferOutcome> {
        self.tokens = end.tokens;
        let error = (!end.code.is_empty()).then(|| {
            let kind = ErrorKind::from_code(&end.code).unwrap_or(ErrorKind::AnswerCut);
            Error::new(kind, "the upstream broke the answer off")
        });
        if let Err(error) = session.assembly.end(end.chunks, error) {
            return Some(OfferOutcome::Failed(error));
        }
        if end.chunks == 0 && self.head.is_none() {
            let status = end.status as u16;
            if let Err(error) = self.send_head(status, String::new()).await {
                return Some(OfferOutcome::Failed(error));
            }
        }
        session.whole()
    }
}

fn unknown(detail: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, detail)
}

fn cut(detail: &str) -> Error {
    Error::new(ErrorKind::AnswerCut, detail)
}

fn gone(stage: Stage) -> Error {
    let ran = if stage == Stage::Started { Execution::Executed } else { Execution::Unknown };
    Error::new(ErrorKind::CallerGone, "the caller went away").with_execution(ran)
}
