//! One offer of a request to one upstream.

use std::time::{Duration, Instant};

use egretgate_core::reply::{Assembly, AssemblyState, ReceiveWindow};
use egretgate_core::{Error, ErrorKind, Execution, Ticket};
use egretgate_link::message::{Chunk, End, Offer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use crate::entry::fleet::{Chosen, FleetMessage};
use crate::entry::flight::Flight;
use crate::entry::link::{EVENT_DEPTH, Event, LinkMessage};

pub(crate) use crate::entry::link::CREDIT_WINDOW;

/// Time within which a side process must prove that a withdrawn request was not run.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence of a running answer.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How one offer ended.
pub(crate) enum Offered {
    /// The caller has the whole answer.
    Whole,
    /// Proven not run there; another upstream may be asked.
    Refused(Error),
    /// Final.
    Failed(Error),
}

/// Where an offer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Offered or queued.
    Waiting,
    /// Withdrawn after its deadline; the proof is awaited.
    Withdrawn,
    /// Dispatched.
    Started,
}

/// One offer under way.
pub(crate) struct Session {
    chosen: Chosen,
    ticket: Ticket,
    events: mpsc::Receiver<Event>,
    assembly: Assembly,
    grants: ReceiveWindow,
    head: Option<ChunkHead>,
    stage: Stage,
    /// When to stop waiting in the present stage.
    patience: Instant,
}

/// What the first chunk tells of the answer.
struct ChunkHead {
    status: u16,
    content_type: String,
}

impl Session {
    /// Sends the offer.
    pub(crate) async fn start(chosen: Chosen, offer: Offer, deadline: Instant) -> Self {
        let (sender, events) = mpsc::channel(EVENT_DEPTH);
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
            patience: deadline,
        }
    }

    async fn tell(&self, message: LinkMessage) {
        let _ = self.chosen.link.send(message).await;
    }

    /// Moves on when patience ends. Returns the final result, if there is one.
    async fn lose_patience(&mut self) -> Option<Offered> {
        match self.stage {
            Stage::Waiting => {
                self.stage = Stage::Withdrawn;
                self.patience = Instant::now() + PROOF_TIMEOUT;
                self.tell(LinkMessage::Withdraw(self.ticket)).await;
                None
            }
            Stage::Withdrawn => Some(Offered::Failed(unknown("no proof after the deadline"))),
            Stage::Started => Some(Offered::Failed(cut("the upstream fell silent"))),
        }
    }

    fn refused(&self, kind: ErrorKind, after: Option<Duration>) -> Offered {
        let kind = if self.stage == Stage::Withdrawn { ErrorKind::DeadlinePassed } else { kind };
        let mut error = Error::new(kind, "refused by the upstream's side process")
            .with_execution(Execution::NotRun);
        error.retry_after = after;
        Offered::Refused(error)
    }

    fn whole(&self) -> Option<Offered> {
        (*self.assembly.state() == AssemblyState::Complete).then_some(Offered::Whole)
    }

    /// A connection that is gone proves nothing of what it carried.
    fn lost(&self) -> Offered {
        match self.stage {
            Stage::Started => Offered::Failed(cut("the side process was lost")),
            Stage::Waiting | Stage::Withdrawn => {
                Offered::Failed(unknown("the side process was lost"))
            }
        }
    }
}

impl Flight {
    /// Follows an offer to its end.
    pub(crate) async fn follow(&mut self, mut session: Session) -> Offered {
        let offered = self.receive(&mut session).await;
        if !matches!(offered, Offered::Refused(_)) {
            // What still runs there must not wait for credit that never comes, nor a whole answer
            // be kept for another connection.
            session.tell(LinkMessage::Withdraw(session.ticket)).await;
        }
        session.tell(LinkMessage::Forget(session.ticket)).await;
        let Chosen { key, flight, .. } = session.chosen;
        let ended = FleetMessage::Ended { key, flight, tokens: self.tokens };
        let _ = self.desks.fleet.send(ended).await;
        offered
    }

    async fn receive(&mut self, session: &mut Session) -> Offered {
        loop {
            let patience = sleep_until(session.patience.into());
            let ended = tokio::select! {
                event = session.events.recv() => self.handle(session, event).await,
                () = self.call.reply.closed() => Some(Offered::Failed(gone(session.stage))),
                () = patience => session.lose_patience().await,
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
    }

    async fn handle(&mut self, session: &mut Session, event: Option<Event>) -> Option<Offered> {
        match event {
            Some(Event::Queued) => None,
            Some(Event::Started) => {
                session.stage = Stage::Started;
                session.patience = Instant::now() + IDLE_TIMEOUT;
                None
            }
            Some(Event::Refused { kind, after }) => Some(session.refused(kind, after)),
            Some(Event::Chunk(chunk)) => self.handle_chunk(session, chunk).await,
            Some(Event::End(end)) => self.handle_end(session, &end).await,
            Some(Event::Lost) | None => Some(session.lost()),
        }
    }

    async fn handle_chunk(&mut self, session: &mut Session, chunk: Chunk) -> Option<Offered> {
        session.stage = Stage::Started;
        session.patience = Instant::now() + IDLE_TIMEOUT;
        if chunk.index == 0 && session.head.is_none() {
            let status = chunk.status as u16;
            session.head = Some(ChunkHead { status, content_type: chunk.content_type });
            self.note_first(session).await;
        }
        let parts = match session.assembly.chunk(chunk.index, chunk.data) {
            Ok(parts) => parts,
            Err(error) => return Some(Offered::Failed(error)),
        };
        for part in parts {
            if let Err(error) = self.pass(session, part).await {
                return Some(Offered::Failed(error));
            }
        }
        session.whole()
    }

    async fn pass(
        &mut self,
        session: &mut Session,
        part: bytes::Bytes,
    ) -> egretgate_core::Result<()> {
        if let Some(head) = session.head.take()
            && self.head.is_none()
        {
            self.send_head(head.status, head.content_type).await?;
        }
        self.send_data(part).await?;
        if let Some(chunks) = session.grants.consume(1) {
            session.tell(LinkMessage::Credit { ticket: session.ticket, chunks }).await;
        }
        Ok(())
    }

    async fn note_first(&mut self, session: &mut Session) {
        self.first = Some(self.begin.elapsed());
        let (reply, noted) = oneshot::channel();
        let flight = session.chosen.flight.clone();
        let first = FleetMessage::First { key: session.chosen.key, flight, reply };
        let _ = self.desks.fleet.send(first).await;
        if let Ok(flight) = noted.await {
            session.chosen.flight = flight;
        }
    }

    async fn handle_end(&mut self, session: &mut Session, end: &End) -> Option<Offered> {
        self.tokens = end.tokens;
        let error = (!end.code.is_empty()).then(|| {
            let kind = ErrorKind::from_code(&end.code).unwrap_or(ErrorKind::AnswerCut);
            Error::new(kind, "the upstream broke the answer off")
        });
        if let Err(error) = session.assembly.end(end.chunks, error) {
            return Some(Offered::Failed(error));
        }
        if end.chunks == 0 && self.head.is_none() {
            let status = end.status as u16;
            if let Err(error) = self.send_head(status, String::new()).await {
                return Some(Offered::Failed(error));
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
