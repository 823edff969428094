//! The end of a request whose engine died, at a side process with two entries that the test plays.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_fakes::engine::{Engine, EngineSpec};
use egretgate_link::Codec;
use egretgate_link::message::{
    DeathAck, Hello, Offer, TicketId, ToEntry, ToSide, to_entry, to_side,
};
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::caller::body;
use crate::testbed::{Kind, Testbed};

const POISON_PROMPT: &str = "venom";
/// Time for which the end must be held back.
const HELD: Duration = Duration::from_millis(200);
/// Time within which it must come once nothing is awaited.
const SOON: Duration = Duration::from_secs(5);

/// An entry's side of a link.
struct Entry {
    connection: Framed<TcpStream, Codec<ToEntry, ToSide>>,
}

impl Entry {
    async fn connect(side: SocketAddr, incarnation: u64) -> Self {
        let stream = TcpStream::connect(side).await.expect("the side process listens");
        let mut entry = Self { connection: Framed::new(stream, Codec::new()) };
        let hello = Hello { incarnation, ..Hello::default() };
        entry.send(to_side::Body::Hello(hello)).await;
        entry
            .wait_for(SOON, |body| matches!(body, to_entry::Body::Welcome(_)))
            .await
            .expect("welcome");
        entry
    }

    async fn send(&mut self, body: to_side::Body) {
        self.connection.send(body.into()).await.expect("connected");
    }

    async fn acknowledge(&mut self, sequence: u64) {
        self.send(to_side::Body::DeathAck(DeathAck { sequence })).await;
    }

    /// Returns the first frame of a kind, if it arrives in time.
    async fn wait_for(
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

    /// Returns the number of the death that the side process reports.
    async fn wait_for_death(&mut self) -> u64 {
        let is_death = |body: &to_entry::Body| matches!(body, to_entry::Body::DeathReport(_));
        match self.wait_for(SOON, is_death).await {
            Some(to_entry::Body::DeathReport(report)) => report.sequence,
            other => panic!("no death reported: {other:?}"),
        }
    }

    async fn gets_end(&mut self, limit: Duration) -> bool {
        self.wait_for(limit, |body| matches!(body, to_entry::Body::End(_))).await.is_some()
    }
}

/// Guards against a caller that sends a request again through an entry that doesn't know yet that
/// an engine died while it ran.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_request_waits_until_all_entries_know_of_the_death() {
    #[derive(Debug, PartialEq)]
    enum Second {
        Acknowledges,
        Disconnects,
        StaysSilent,
    }
    for second_does in [Second::Acknowledges, Second::Disconnects, Second::StaysSilent] {
        let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
        engine.set_poison(Some(POISON_PROMPT));
        let side = Testbed::unlisted_side("writer-1", Kind::Engine, engine.address(), "v1");
        let mut first = Entry::connect(side.address("link"), 1).await;
        let mut second = Entry::connect(side.address("link"), 2).await;
        let offer = Offer {
            ticket: Some(TicketId { entry: 1, sequence: 1 }),
            deadline_ms: 20_000,
            output_tokens: 8,
            digest: Bytes::from_static(b"digest of venom!"),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body: body(POISON_PROMPT, 8).into(),
            credit: 64,
            stream: true,
            ..Offer::default()
        };
        first.send(to_side::Body::Offer(offer)).await;
        let sequence = first.wait_for_death().await;
        assert_eq!(second.wait_for_death().await, sequence);
        let reported = Instant::now();
        first.acknowledge(sequence).await;
        assert!(!first.gets_end(HELD).await, "{second_does:?}: the second entry may not know");
        match second_does {
            Second::Acknowledges => second.acknowledge(sequence).await,
            Second::Disconnects => drop(second),
            Second::StaysSilent => {}
        }
        assert!(first.gets_end(SOON).await, "{second_does:?}: no end");
        assert!(reported.elapsed() < SOON, "{second_does:?}");
    }
}
