//! Configuration changes with concurrent operators, outages of the log, and entries that restart.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate::core::ErrorKind;
use egretgate::operator::{Client, ClientError, proto};
use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use egretgate_fakes::log::Outage;

use crate::caller::complete;
use crate::testbed::{Kind, Process, Testbed, wait_until_ready};

/// Time within which an accepted change must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of rounds of two concurrent changes.
const ROUNDS: u32 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_changes_one_is_accepted_and_in_force_everywhere() {
    let cluster = Cluster::start().await;
    for round in 0..ROUNDS {
        let base = get_team(cluster.operators(0)).await;
        let weights = [10 + 2 * round, 11 + 2 * round];
        let [first, second] = weights.map(|weight| with_weight(&base, weight));
        let (first, second) = tokio::join!(
            put_team(cluster.operators(0), first),
            put_team(cluster.operators(1), second)
        );
        let replies = [first.expect("answered"), second.expect("answered")];
        let accepted = replies.iter().filter(|reply| reply.accepted).count();
        assert_eq!(accepted, 1, "round {round}: {replies:?}");
        for (index, reply) in replies.iter().enumerate() {
            if reply.accepted {
                assert_eq!(reply.in_force, reply.processes, "round {round}: {reply:?}");
                cluster.wait_in_force(reply.offset).await;
                for entry in 0..2 {
                    let now = weight_of(&get_team(cluster.operators(entry)).await);
                    assert_eq!(now, weights[index], "round {round}, entry {entry}");
                }
            } else {
                let conflicts = reply.refusals.iter().all(|refusal| refusal.code == "conflict");
                assert!(conflicts && !reply.refusals.is_empty(), "round {round}: {reply:?}");
            }
        }
    }
}

/// Outage of the log while an entry starts.
struct Case {
    outage: Outage,
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_serves_with_its_peers_state() {
    for Case { outage } in [Case { outage: Outage::Refuse }, Case { outage: Outage::Hang }] {
        let cluster = Cluster::start().await;
        cluster.testbed.log.set_outage(outage);
        let late = cluster.testbed.entry("entry-3");
        wait_until_ready(late.address("admin")).await;
        let own = status(late.address("operators")).await;
        let peer = status(cluster.operators(0)).await;
        assert!(!own.log_reachable, "{outage:?}");
        assert!(own.offset > 0, "{outage:?}");
        assert_eq!((own.offset, &own.digest), (peer.offset, &peer.digest), "{outage:?}");
        let reply = complete(late.address("callers"), "in an outage", 8).await;
        assert_eq!(reply.text(), Some(expected_completion("in an outage", 8)), "{reply:?}");
        cluster.testbed.log.set_outage(Outage::None);
        let end = Instant::now() + 4 * IN_FORCE_TIMEOUT;
        let base = get_team(cluster.operators(0)).await;
        while !put_team(late.address("operators"), with_weight(&base, 7))
            .await
            .is_ok_and(|reply| reply.accepted)
        {
            assert!(Instant::now() < end, "{outage:?}: changes are accepted after the outage");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_in_an_outage_is_refused_plainly_and_a_restart_reads_the_same() {
    let mut cluster = Cluster::start().await;
    let base = get_team(cluster.operators(0)).await;
    assert!(
        put_team(cluster.operators(0), with_weight(&base, 5)).await.expect("accepted").accepted
    );
    let base = get_team(cluster.operators(0)).await;
    cluster.testbed.log.set_outage(Outage::Refuse);
    cluster.wait_for_log(false).await;
    for entry in 0..2 {
        let refused = put_team(cluster.operators(entry), with_weight(&base, 99)).await;
        let plain = matches!(&refused, Err(ClientError::Refused(error))
            if error.kind == ErrorKind::LogOutage);
        assert!(plain, "{refused:?}");
    }
    cluster.testbed.log.set_outage(Outage::None);
    cluster.wait_for_log(true).await;
    for entry in 0..2 {
        assert_eq!(get_team(cluster.operators(entry)).await, base, "nothing was changed");
    }
    cluster.entries.remove(0);
    cluster.entries.push(cluster.testbed.entry("entry-1"));
    wait_until_ready(cluster.entries[1].address("admin")).await;
    cluster.wait_for_same_digest().await;
    for entry in 0..2 {
        assert_eq!(get_team(cluster.operators(entry)).await, base, "entry {entry}");
    }
}

/// Two engines of one service and two entries.
struct Cluster {
    testbed: Testbed,
    _engines: [Engine; 2],
    _sides: [Process; 2],
    entries: Vec<Process>,
}

impl Cluster {
    async fn start() -> Self {
        let testbed = Testbed::start().await;
        let engines = [
            Engine::start(EngineSpec::new()).await.expect("loopback"),
            Engine::start(EngineSpec::new()).await.expect("loopback"),
        ];
        let sides = [
            testbed.side("writer-1", Kind::Engine, engines[0].address()),
            testbed.side("writer-2", Kind::Engine, engines[1].address()),
        ];
        let entries = vec![testbed.entry("entry-1"), testbed.entry("entry-2")];
        testbed.declare(&entries[0]).await;
        let cluster = Self { testbed, _engines: engines, _sides: sides, entries };
        let offset = status(cluster.operators(0)).await.offset;
        cluster.wait_in_force(offset.saturating_sub(1)).await;
        cluster
    }

    fn operators(&self, index: usize) -> SocketAddr {
        self.entries[index].address("operators")
    }

    /// Waits until every process that an entry knows has applied the record at `offset`, at each
    /// entry.
    async fn wait_in_force(&self, offset: u64) {
        let end = Instant::now() + IN_FORCE_TIMEOUT;
        for entry in 0..self.entries.len() {
            loop {
                let status = status(self.operators(entry)).await;
                let all = status.processes.iter().all(|process| process.offset > offset);
                if all && status.processes.len() == 3 {
                    break;
                }
                assert!(Instant::now() < end, "not in force at {offset}: {status:?}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until both entries are at the same offset. Fails if their digests differ there.
    async fn wait_for_same_digest(&self) {
        let end = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let [first, second] = [0, 1].map(|entry| status(self.operators(entry)));
            let (first, second) = tokio::join!(first, second);
            if first.offset == second.offset {
                return assert_eq!(first.digest, second.digest, "at {}", first.offset);
            }
            assert!(Instant::now() < end, "offsets {} and {}", first.offset, second.offset);
        }
    }

    /// Waits until every entry has noticed that the log is reachable or not.
    async fn wait_for_log(&self, reachable: bool) {
        let end = Instant::now() + 4 * IN_FORCE_TIMEOUT;
        for entry in 0..self.entries.len() {
            while status(self.operators(entry)).await.log_reachable != reachable {
                assert!(
                    Instant::now() < end,
                    "entry {entry} does not report log_reachable = {reachable}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn client(operators: SocketAddr) -> Client {
    Client::connect(operators, None).await.expect("serving")
}

async fn status(operators: SocketAddr) -> proto::StatusReply {
    client(operators).await.status().await.expect("answered")
}

/// Returns the declared team with its revision.
async fn get_team(operators: SocketAddr) -> proto::Item {
    let request = proto::GetRequest { kind: proto::Kind::Team.into(), name: "guild".into() };
    let reply = client(operators).await.get(request).await.expect("answered");
    reply.items.into_iter().next().expect("declared")
}

async fn put_team(
    operators: SocketAddr,
    item: proto::Item,
) -> Result<proto::ApplyReply, ClientError> {
    let author = proto::Author { operator: "tests".into(), reason: "new weight".into() };
    let puts = vec![item];
    let request = proto::ApplyRequest { author: Some(author), puts, ..Default::default() };
    client(operators).await.apply(request).await
}

fn with_weight(item: &proto::Item, weight: u32) -> proto::Item {
    let mut item = item.clone();
    if let Some(proto::item::Spec::Team(team)) = &mut item.spec {
        team.weight = weight;
    }
    item
}

fn weight_of(item: &proto::Item) -> u32 {
    match &item.spec {
        Some(proto::item::Spec::Team(team)) => team.weight,
        _ => 0,
    }
}
