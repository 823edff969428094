//! An entry that the test plays, frame by frame.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use egretgate::core::Digest;
use egretgate_link::Codec;
use egretgate_link::message::{
    DeathAck, DeathReport, Hello, Offer, TicketId, ToEntry, ToSide, to_entry, to_side,
};
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::caller::body;

/// Time within which a frame must arrive that nothing holds back.
pub const SOON: Duration = Duration::from_secs(5);

/// An entry's side of a link to a real side process.
#[derive(Debug)]
pub struct PlayedEntry {
    incarnation: u64,
    connection: Framed<TcpStream, Codec<ToEntry, ToSide>>,
}

impl PlayedEntry {
    /// Connects to a side process.
    pub async fn connect(side: SocketAddr, incarnation: u64) -> Self {
        let stream = TcpStream::connect(side).await.expect("the side process listens");
        let mut entry = Self { incarnation, connection: Framed::new(stream, Codec::new()) };
        let hello = Hello { incarnation, ..Hello::default() };
        entry.send(to_side::Body::Hello(hello)).await;
        entry
            .wait_for(SOON, |body| matches!(body, to_entry::Body::Welcome(_)))
            .await
            .expect("welcome");
        entry
    }

    /// Sends a frame.
    pub async fn send(&mut self, body: to_side::Body) {
        self.connection.send(body.into()).await.expect("connected");
    }

    /// Acknowledges the report of a death.
    pub async fn acknowledge(&mut self, sequence: u64) {
        self.send(to_side::Body::DeathAck(DeathAck { sequence })).await;
    }

    /// Returns the first frame of a kind, if it arrives in time.
    pub async fn wait_for(
        &mut self,
        limit: Duration,
        is_wanted: impl Fn(&to_entry::Body) -> bool,
    ) -> Option<to_entry::Body> {
        let reading = async {
            loop {
                let body = self.connection.next().await?.ok()?.body?;
                if is_wanted(&body) {
                    return Some(body);
                }
            }
        };
        timeout(limit, reading).await.ok().flatten()
    }

    /// Offers a streamed completion with this ticket and prompt.
    pub async fn offer(&mut self, sequence: u64, prompt: &str) {
        let offer = Offer {
            ticket: Some(TicketId { entry: self.incarnation, sequence }),
            deadline_ms: 20_000,
            output_tokens: 8,
            digest: Bytes::copy_from_slice(digest(prompt).as_bytes()),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body: body(prompt, 8).into(),
            credit: 64,
            stream: true,
            ..Offer::default()
        };
        self.send(to_side::Body::Offer(offer)).await;
    }

    /// Returns the death that the side process reports.
    pub async fn wait_for_death(&mut self) -> DeathReport {
        let is_death = |body: &to_entry::Body| matches!(body, to_entry::Body::DeathReport(_));
        match self.wait_for(SOON, is_death).await {
            Some(to_entry::Body::DeathReport(report)) => report,
            other => panic!("no death reported: {other:?}"),
        }
    }

    /// Returns whether the last frame about a ticket, an end or a refusal, arrives in time.
    pub async fn gets_end(&mut self, sequence: u64, limit: Duration) -> bool {
        let is_end = |body: &to_entry::Body| {
            let ticket = match body {
                to_entry::Body::End(end) => &end.ticket,
                to_entry::Body::Refused(refused) => &refused.ticket,
                _ => return false,
            };
            ticket.as_ref().is_some_and(|ticket| ticket.sequence == sequence)
        };
        self.wait_for(limit, is_end).await.is_some()
    }
}

/// Returns the digest under which [`PlayedEntry::offer`] offers a prompt.
pub fn digest(prompt: &str) -> Digest {
    Digest::of(&[prompt.as_bytes()])
}
