//! The task that owns the connection to one side process and reconnects it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::{Digest, ErrorKind, Incarnation, Ticket};
use egretgate_link::Codec;
use egretgate_link::message::{
    Chunk, CopyQuery, Credit, DeathAck, DeathReport, End, Heartbeat, Hello, Load, Offer, Records,
    Refused, SnapshotRequest, TicketId, TicketQuery, TicketStatus, ToEntry, ToSide, Welcome,
    Withdraw, to_entry, to_side,
};
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::codec::Framed;

use crate::entry::fleet::{FleetMessage, LinkKey};

/// Timeout for connecting and for the first frame.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial delay between two attempts to connect.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay between two attempts to connect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// Time after the loss of a connection within which open requests can still be recovered.
const RECOVERY_WINDOW: Duration = Duration::from_millis(1500);
/// Interval between two checks for silence of the side process.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any frame after which a connection counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Capacity of a link's message channel.
pub(crate) const LINK_CHANNEL_CAPACITY: usize = 1024;
/// Number of chunks that a side process may send ahead of credit.
pub(crate) const CREDIT_WINDOW: u32 = 64;
/// Capacity of a request's event channel: the credit window and the frames around it.
pub(crate) const EVENT_CHANNEL_CAPACITY: usize = CREDIT_WINDOW as usize * 2 + 8;

type Connection = Framed<TcpStream, Codec<ToEntry, ToSide>>;

/// Messages to a link.
#[derive(Debug)]
pub(crate) enum LinkMessage {
    /// Offer a request; its events go to `events`.
    Offer { offer: Offer, events: mpsc::Sender<Event> },
    /// Withdraw a queued request, or cancel a running one.
    Withdraw(Ticket),
    /// The caller has taken more chunks.
    Credit { ticket: Ticket, chunks: u32 },
    /// The request's task needs no more events.
    Forget(Ticket),
    /// Send a heartbeat with the entry's configuration offset.
    Heartbeat(Heartbeat),
    /// Send configuration records that the side process requested.
    Records(Records),
    /// Request the side process's configuration state.
    SnapshotRequest,
    /// Tell that this entry knows of the death with this number.
    DeathAck(u64),
    /// Ask whether a request with this digest runs.
    CopyQuery(Digest),
    /// Close the connection and end the task.
    Stop,
}

/// Events of one request.
#[derive(Debug)]
pub(crate) enum Event {
    /// The request is queued.
    Queued,
    /// The request counts as dispatched.
    Started,
    /// The request is proven not run by this side process.
    Refused { kind: ErrorKind, retry_after: Option<Duration> },
    /// Part of the answer.
    Chunk(Chunk),
    /// The end of the answer.
    End(End),
    /// The connection was lost, and the request can't be recovered.
    Lost,
}

/// Identity of the entry, for the first frame.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Shared token of the links.
    pub token: String,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Instance name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
}

/// A link to one side process.
#[derive(Debug)]
pub(crate) struct Link {
    key: LinkKey,
    address: SocketAddr,
    identity: Identity,
    messages: mpsc::Receiver<LinkMessage>,
    fleet: mpsc::Sender<FleetMessage>,
    /// Offered requests whose tasks still need events.
    open_requests: HashMap<Ticket, OpenRequest>,
    /// Incarnation of the side process on the last connection.
    side_incarnation: Option<Incarnation>,
    /// When the connection was lost; `None` while connected or before the first connection.
    disconnected: Option<Instant>,
}

#[derive(Debug)]
struct OpenRequest {
    events: mpsc::Sender<Event>,
    /// Index of the first chunk not yet received.
    next_chunk: u64,
    /// Number of chunks that the caller has taken. At most `next_chunk`.
    taken_chunks: u64,
}

/// Outcome of one attempt to connect.
enum ConnectOutcome {
    Connected(Box<Connection>, Welcome),
    Failed,
    /// The link must stop.
    Stopped,
}

/// Why a connection is no longer served.
enum ServeEnd {
    /// The connection was lost.
    Lost,
    /// The link must stop.
    Stopped,
}

impl Link {
    /// Returns a link to the side process at `address`.
    pub(crate) fn new(
        key: LinkKey,
        address: SocketAddr,
        identity: Identity,
        messages: mpsc::Receiver<LinkMessage>,
        fleet: mpsc::Sender<FleetMessage>,
    ) -> Self {
        Self {
            key,
            address,
            identity,
            messages,
            fleet,
            open_requests: HashMap::new(),
            side_incarnation: None,
            disconnected: None,
        }
    }

    /// Connects, serves and reconnects until [`LinkMessage::Stop`].
    pub(crate) async fn run(mut self) {
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            match self.connect().await {
                ConnectOutcome::Connected(connection, welcome) => {
                    delay = MIN_RECONNECT_DELAY;
                    if matches!(self.serve(*connection, welcome).await, ServeEnd::Stopped) {
                        break;
                    }
                    self.disconnected = Some(Instant::now());
                    let _ = self.fleet.send(FleetMessage::Down(self.key)).await;
                }
                ConnectOutcome::Failed if self.wait(delay).await => {
                    delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                }
                ConnectOutcome::Failed | ConnectOutcome::Stopped => break,
            }
        }
        self.fail_open_requests();
    }

    /// Tries to connect once. Handles messages meanwhile, so that offers are refused without delay.
    async fn connect(&mut self) -> ConnectOutcome {
        let attempt = timeout(CONNECT_TIMEOUT, dial(self.address, self.identity.clone()));
        tokio::pin!(attempt);
        loop {
            tokio::select! {
                connected = &mut attempt => return match connected.ok().flatten() {
                    Some((connection, welcome)) => {
                        ConnectOutcome::Connected(Box::new(connection), welcome)
                    }
                    None => ConnectOutcome::Failed,
                },
                message = self.messages.recv() => match message {
                    Some(LinkMessage::Stop) | None => return ConnectOutcome::Stopped,
                    Some(message) => self.handle_unconnected(message),
                },
            }
        }
    }

    /// Waits before the next attempt. Returns false if the link must stop.
    async fn wait(&mut self, delay: Duration) -> bool {
        let until = Instant::now() + delay;
        loop {
            if self.disconnected.is_some_and(|since| since.elapsed() > RECOVERY_WINDOW) {
                self.fail_open_requests();
            }
            let remaining = until.saturating_duration_since(Instant::now());
            tokio::select! {
                () = sleep(remaining) => return true,
                message = self.messages.recv() => match message {
                    Some(LinkMessage::Stop) | None => return false,
                    Some(message) => self.handle_unconnected(message),
                },
            }
        }
    }

    /// Handles a message without a connection. An offer that was never sent is proven not run.
    fn handle_unconnected(&mut self, message: LinkMessage) {
        match message {
            LinkMessage::Offer { events, .. } => {
                let event = Event::Refused { kind: ErrorKind::NoUpstream, retry_after: None };
                let _ = events.try_send(event);
            }
            LinkMessage::Forget(ticket) => {
                self.open_requests.remove(&ticket);
            }
            LinkMessage::Credit { ticket, chunks } => {
                self.count_taken(ticket, chunks);
            }
            _ => {}
        }
    }

    /// Serves a connection until it is lost or the link must stop.
    async fn serve(&mut self, mut connection: Connection, welcome: Welcome) -> ServeEnd {
        if self.recover(&mut connection, welcome.incarnation).await.is_none() {
            return ServeEnd::Lost;
        }
        self.disconnected = None;
        let _ = self.fleet.send(FleetMessage::Up { key: self.key, welcome }).await;
        let mut silence_check = interval(SILENCE_CHECK_INTERVAL);
        silence_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_frame = Instant::now();
        loop {
            tokio::select! {
                frame = connection.next() => match frame {
                    Some(Ok(frame)) => {
                        last_frame = Instant::now();
                        self.handle_frame(frame).await;
                    }
                    Some(Err(_)) | None => return ServeEnd::Lost,
                },
                message = self.messages.recv() => match message {
                    Some(LinkMessage::Stop) | None => return ServeEnd::Stopped,
                    Some(message) => {
                        if self.handle_message(&mut connection, message).await.is_none() {
                            return ServeEnd::Lost;
                        }
                    }
                },
                _ = silence_check.tick() => {
                    if last_frame.elapsed() > SILENCE_TIMEOUT {
                        return ServeEnd::Lost;
                    }
                }
            }
        }
    }

    /// Asks for the status of each open request after a reconnect. Returns `None` if the connection
    /// was lost again.
    async fn recover(
        &mut self,
        connection: &mut Connection,
        side_incarnation: Incarnation,
    ) -> Option<()> {
        if self.side_incarnation.is_some_and(|known| known != side_incarnation) {
            self.fail_open_requests();
        }
        self.side_incarnation = Some(side_incarnation);
        for (ticket, request) in &self.open_requests {
            let OpenRequest { next_chunk, taken_chunks, .. } = *request;
            let query = TicketQuery { ticket: Some((*ticket).into()), next_chunk, taken_chunks };
            connection.feed(to_side::Body::Query(query).into()).await.ok()?;
        }
        connection.flush().await.ok()
    }

    /// Handles a message while connected. Returns `None` if its frame could not be written.
    async fn handle_message(
        &mut self,
        connection: &mut Connection,
        message: LinkMessage,
    ) -> Option<()> {
        let body = match message {
            LinkMessage::Offer { offer, events } => {
                let ticket = Ticket::from(offer.ticket.unwrap_or_default());
                self.open_requests
                    .insert(ticket, OpenRequest { events, next_chunk: 0, taken_chunks: 0 });
                to_side::Body::Offer(offer)
            }
            LinkMessage::Withdraw(ticket) => {
                to_side::Body::Withdraw(Withdraw { ticket: Some(ticket.into()) })
            }
            LinkMessage::Credit { ticket, chunks } => {
                let Some(taken_chunks) = self.count_taken(ticket, chunks) else { return Some(()) };
                to_side::Body::Credit(Credit { ticket: Some(ticket.into()), taken_chunks })
            }
            LinkMessage::Forget(ticket) => {
                self.open_requests.remove(&ticket);
                return Some(());
            }
            LinkMessage::Heartbeat(heartbeat) => to_side::Body::Heartbeat(heartbeat),
            LinkMessage::Records(records) => to_side::Body::Records(records),
            LinkMessage::SnapshotRequest => to_side::Body::SnapshotRequest(SnapshotRequest {}),
            LinkMessage::DeathAck(sequence) => to_side::Body::DeathAck(DeathAck { sequence }),
            LinkMessage::CopyQuery(digest) => {
                let digest = Bytes::copy_from_slice(digest.as_bytes());
                to_side::Body::CopyQuery(CopyQuery { digest })
            }
            LinkMessage::Stop => return None,
        };
        connection.send(body.into()).await.ok()
    }

    /// Adds to the chunks that the caller has taken. Returns their total.
    fn count_taken(&mut self, ticket: Ticket, chunks: u32) -> Option<u64> {
        let request = self.open_requests.get_mut(&ticket)?;
        request.taken_chunks += u64::from(chunks);
        Some(request.taken_chunks)
    }

    async fn handle_frame(&mut self, frame: ToEntry) {
        let Some(body) = frame.body else { return };
        match body {
            to_entry::Body::Welcome(_) => {}
            to_entry::Body::Queued(queued) => self.notify(queued.ticket, Event::Queued),
            to_entry::Body::Started(started) => self.notify(started.ticket, Event::Started),
            to_entry::Body::Refused(refused) => self.handle_refused(refused).await,
            to_entry::Body::Chunk(chunk) => self.handle_chunk(chunk),
            to_entry::Body::End(mut end) => {
                self.report_load(end.load.take()).await;
                self.notify(end.ticket, Event::End(end));
            }
            to_entry::Body::TicketState(state) => self.handle_ticket_state(&state),
            to_entry::Body::Load(load) => self.report_load(Some(load)).await,
            to_entry::Body::Goodbye(_) => self.send_to_fleet(FleetMessage::Leaving(self.key)).await,
            to_entry::Body::DeathReport(report) => self.handle_death(report).await,
            to_entry::Body::RecordsRequest(request) => {
                self.send_to_fleet(FleetMessage::RecordsRequest {
                    key: self.key,
                    from: request.from,
                })
                .await;
            }
            to_entry::Body::CopyState(state) => {
                if let Some(digest) = Digest::from_slice(&state.digest) {
                    let (key, running) = (self.key, state.running);
                    self.send_to_fleet(FleetMessage::CopyState { key, digest, running }).await;
                }
            }
            to_entry::Body::Snapshot(snapshot) => self.handle_snapshot(snapshot.state).await,
        }
    }

    async fn handle_refused(&mut self, mut refused: Refused) {
        self.report_load(refused.load.take()).await;
        let kind = ErrorKind::from_code(&refused.code).unwrap_or(ErrorKind::Overloaded);
        let retry_after = (refused.after_ms > 0).then(|| Duration::from_millis(refused.after_ms));
        self.notify(refused.ticket, Event::Refused { kind, retry_after });
    }

    fn handle_chunk(&mut self, chunk: Chunk) {
        let ticket = Ticket::from(chunk.ticket.unwrap_or_default());
        if let Some(request) = self.open_requests.get_mut(&ticket)
            && chunk.index == request.next_chunk
        {
            request.next_chunk += 1;
        }
        self.notify(chunk.ticket, Event::Chunk(chunk));
    }

    /// Handles the answer to a query. An answer by another incarnation of the side process proves
    /// nothing.
    fn handle_ticket_state(&mut self, state: &egretgate_link::message::TicketState) {
        if self.side_incarnation != Some(state.incarnation) {
            return self.notify(state.ticket, Event::Lost);
        }
        match state.status() {
            TicketStatus::Queued | TicketStatus::Running => {}
            TicketStatus::Unseen | TicketStatus::Refused => {
                let event = Event::Refused { kind: ErrorKind::NoUpstream, retry_after: None };
                self.notify(state.ticket, event);
            }
            TicketStatus::Ended => self.notify(state.ticket, Event::Lost),
        }
    }

    async fn handle_death(&self, report: DeathReport) {
        self.send_to_fleet(FleetMessage::Death { key: self.key, report }).await;
    }

    async fn handle_snapshot(&self, state: Bytes) {
        self.send_to_fleet(FleetMessage::Snapshot(state)).await;
    }

    async fn report_load(&self, load: Option<Load>) {
        if let Some(load) = load {
            self.send_to_fleet(FleetMessage::Load { key: self.key, load }).await;
        }
    }

    async fn send_to_fleet(&self, message: FleetMessage) {
        let _ = self.fleet.send(message).await;
    }

    /// Sends an event to the request's task. If its channel is full, the side process sent more
    /// than its credit, and the request is dropped.
    fn notify(&mut self, ticket: Option<TicketId>, event: Event) {
        let ticket = Ticket::from(ticket.unwrap_or_default());
        let Some(request) = self.open_requests.get(&ticket) else { return };
        if request.events.try_send(event).is_err() {
            self.open_requests.remove(&ticket);
        }
    }

    /// Tells every open request that it can't be recovered.
    fn fail_open_requests(&mut self) {
        for (_, request) in self.open_requests.drain() {
            let _ = request.events.try_send(Event::Lost);
        }
    }
}

/// Connects to a side process and exchanges the first frames.
async fn dial(address: SocketAddr, identity: Identity) -> Option<(Connection, Welcome)> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut connection: Connection = Framed::new(stream, Codec::new());
    let Identity { token, incarnation, instance, zone } = identity;
    let hello = Hello { token, incarnation, instance, zone };
    connection.send(to_side::Body::Hello(hello).into()).await.ok()?;
    match connection.next().await?.ok()?.body? {
        to_entry::Body::Welcome(welcome) => Some((connection, welcome)),
        _ => None,
    }
}
