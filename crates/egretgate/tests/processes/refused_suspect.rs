//! A request that is refused by a side process after it became a suspect. The test plays the side
//! processes.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use egretgate_link::Codec;
use egretgate_link::message::{
    CopyQuery, CopyState, DeathReport, Load, Offer, Refused, ToEntry, ToSide, Welcome, to_entry,
    to_side,
};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{interval, timeout};
use tokio_util::codec::Framed;

use crate::caller::complete;
use crate::testbed::{Kind, Testbed, ZONE};

const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which an expected frame must arrive.
const SOON: Duration = Duration::from_secs(5);

/// Side processes that the test plays. They report their load by themselves and answer whether they
/// run copies.
struct Sides {
    senders: HashMap<String, mpsc::UnboundedSender<to_entry::Body>>,
    /// Frames that they received, each with the name of its receiver.
    received: mpsc::UnboundedReceiver<(String, to_side::Body)>,
}

impl Sides {
    async fn start(testbed: &Testbed, runs_copy: bool) -> Self {
        let (received_sender, received) = mpsc::unbounded_channel();
        let mut senders = HashMap::new();
        for name in ["writer-1", "writer-2"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            testbed.list(name, Kind::Engine, listener.local_addr().expect("bound"));
            let (sender, outgoing) = mpsc::unbounded_channel();
            senders.insert(name.to_owned(), sender);
            let received = received_sender.clone();
            tokio::spawn(async move {
                let (stream, _) = listener.accept().await.expect("loopback");
                play_side(name, stream, runs_copy, outgoing, received).await;
            });
        }
        Self { senders, received }
    }

    fn send(&self, name: &str, body: to_entry::Body) {
        self.senders[name].send(body).expect("connected");
    }

    /// Returns the next frame of a kind, if it arrives in time.
    async fn wait_for<T>(
        &mut self,
        limit: Duration,
        select: impl Fn(to_side::Body) -> Option<T>,
    ) -> Option<(String, T)> {
        let reading = async {
            loop {
                let (name, body) = self.received.recv().await?;
                if let Some(wanted) = select(body) {
                    return Some((name, wanted));
                }
            }
        };
        timeout(limit, reading).await.ok().flatten()
    }
}

async fn play_side(
    name: &'static str,
    stream: TcpStream,
    runs_copy: bool,
    mut outgoing: mpsc::UnboundedReceiver<to_entry::Body>,
    received: mpsc::UnboundedSender<(String, to_side::Body)>,
) -> Option<()> {
    let mut link = Framed::new(stream, Codec::<ToSide, ToEntry>::new());
    let load = Load { limit: 4, healthy: true, ..Load::default() };
    let mut reports = interval(LOAD_INTERVAL);
    loop {
        let answer = tokio::select! {
            frame = link.next() => match frame?.ok()?.body? {
                to_side::Body::Hello(_) => to_entry::Body::Welcome(Welcome {
                    incarnation: 1,
                    upstream: name.to_owned(),
                    zone: ZONE.to_owned(),
                    service: Kind::Engine.service().to_owned(),
                    versions: vec!["v1".to_owned()],
                    load: Some(load.clone()),
                }),
                to_side::Body::CopyQuery(CopyQuery { digest }) => {
                    to_entry::Body::CopyState(CopyState { digest, running: runs_copy })
                }
                body => {
                    received.send((name.to_owned(), body)).ok()?;
                    continue;
                }
            },
            body = outgoing.recv() => body?,
            _ = reports.tick() => to_entry::Body::Load(load.clone()),
        };
        link.send(answer.into()).await.ok()?;
    }
}

fn offer(body: to_side::Body) -> Option<Offer> {
    if let to_side::Body::Offer(offer) = body { Some(offer) } else { None }
}

/// Guards against a suspect that is offered elsewhere as if nothing had died.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_that_became_a_suspect_runs_alone_or_not_at_all() {
    for runs_copy in [false, true] {
        let testbed = Testbed::start().await;
        let mut sides = Sides::start(&testbed, runs_copy).await;
        let entry = testbed.entry("entry-1");
        testbed.declare(&entry).await;
        // The entry sends a heartbeat once it counts a side process as connected.
        let mut connected = BTreeSet::new();
        while connected.len() < 2 {
            let is_heartbeat = |body| matches!(body, to_side::Body::Heartbeat(_)).then_some(());
            connected.insert(sides.wait_for(SOON, is_heartbeat).await.expect("connected").0);
        }
        let callers = entry.address("callers");
        let call = tokio::spawn(async move { complete(callers, "inspection report", 4).await });
        let (first, offered) = sides.wait_for(SOON, offer).await.expect("an offer");
        let report = DeathReport {
            upstream: first.clone(),
            sequence: 1,
            digests: vec![Bytes::clone(&offered.digest)],
            append: true,
        };
        sides.send(&first, to_entry::Body::DeathReport(report));
        let is_ack = |body| matches!(body, to_side::Body::DeathAck(_)).then_some(());
        sides.wait_for(SOON, is_ack).await.expect("the entry knows of the death");
        let refused =
            Refused { ticket: offered.ticket, code: "no_upstream".into(), ..Refused::default() };
        sides.send(&first, to_entry::Body::Refused(refused));
        if runs_copy {
            let reply = call.await.expect("no panic");
            assert!(reply.is_not_run() && reply.has_retry_after(), "{reply:?}");
            assert!(sides.wait_for(Duration::ZERO, offer).await.is_none(), "beside its copy");
        } else {
            let (second, again) = sides.wait_for(SOON, offer).await.expect("another offer");
            assert_ne!(second, first);
            assert!(again.exclusive, "{again:?}");
        }
    }
}
