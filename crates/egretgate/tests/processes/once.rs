//! Calls that may not be repeated run at most once, whatever dies, freezes or is lost.
//!
//! The oracle is the service's own count of executions by key.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate::core::record::{Body, decode};
use egretgate_fakes::log::{Log, Outage};
use egretgate_fakes::relay::{Block, Relay};
use egretgate_fakes::service::Service;
use futures::{StreamExt, stream};
use tokio::task::JoinHandle;

use crate::bed::{Bed, Kind, Process, ready, until};
use crate::caller::{Told, tag, tag_within};

/// Time without a record after which the entries have read back all of theirs.
const QUIET: Duration = Duration::from_millis(400);
/// Deadline of a call that is expected to meet it.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time by which an answer that needs no waiting must be there.
const AT_ONCE: Duration = Duration::from_secs(3);
/// Time that the service takes for a call that is to be caught under way.
const UNDER_WAY: Duration = Duration::from_millis(1500);

/// Deadline of a call whose entry freezes: shorter than the entry's read of the log may take.
const FROZEN: Duration = Duration::from_millis(700);
/// Cases that run side by side.
const AT_A_TIME: usize = 3;

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The same key through both entries at once.
    Together,
    /// The log takes records and loses its answers.
    LostAnswers,
    /// The entry dies after its intent is in the log and before it has read it back.
    EntryKilledBefore,
    /// The entry dies while the service runs the call.
    EntryKilledAfter,
    /// The side process dies while the service runs the call.
    SideKilled,
    /// The entry freezes after its intent is in the log, and wakes after the deadline. Two guards
    /// stand against a late run: the call's expiry, and the check right before the offer.
    EntryFrozen,
    /// The log refuses everything for a while.
    Refusing,
    /// The log answers nothing for a while.
    Hanging,
    /// The key is used again with another body.
    Reused,
}

struct Case {
    fault: Fault,
    /// Executions at the end, after the last try through the entry that is left.
    executions: u64,
}

const CASES: [Case; 9] = [
    Case { fault: Fault::Together, executions: 1 },
    Case { fault: Fault::LostAnswers, executions: 1 },
    Case { fault: Fault::EntryKilledBefore, executions: 0 },
    Case { fault: Fault::EntryKilledAfter, executions: 1 },
    Case { fault: Fault::SideKilled, executions: 1 },
    Case { fault: Fault::EntryFrozen, executions: 1 },
    Case { fault: Fault::Refusing, executions: 1 },
    Case { fault: Fault::Hanging, executions: 1 },
    Case { fault: Fault::Reused, executions: 1 },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_runs_at_most_once() {
    stream::iter(CASES).for_each_concurrent(AT_A_TIME, run_case).await;
}

async fn run_case(case: Case) {
    let ledger = Ledger::start().await;
    let key = format!("{:?}", case.fault);
    let service = ledger.run(case.fault, &key).await;
    assert_eq!(service.executions(&key), case.executions, "{key}");
    assert!(service.keys().values().all(|count| *count <= 1), "{:?}", service.keys());
    assert!(service.ids().values().all(|count| *count <= 1), "{:?}", service.ids());
}

/// One service behind a side process, and two entries; the first reaches the log by a relay.
struct Ledger {
    bed: Bed,
    service: Service,
    side: Process,
    relay: Relay,
    first: Process,
    second: Process,
}

impl Ledger {
    async fn start() -> Self {
        let bed = Bed::start().await;
        let service = Service::start().await.expect("loopback");
        let side = bed.side("ledger-1", Kind::Plain, service.address());
        let relay = Relay::start(bed.log.address()).await.expect("loopback");
        let first = bed.entry_with("entry-1", relay.address());
        let second = bed.entry("entry-2");
        bed.declare(&first).await;
        ready(second.address("admin")).await;
        let ledger = Self { bed, service, side, relay, first, second };
        for entry in [ledger.one(), ledger.two()] {
            let told = whole_in_time(entry, "warm-up").await;
            assert!(matches!(told, Told::Whole(_)), "{told:?}");
        }
        ledger
    }

    fn one(&self) -> SocketAddr {
        self.first.address("callers")
    }

    fn two(&self) -> SocketAddr {
        self.second.address("callers")
    }

    async fn run(self, fault: Fault, key: &str) -> Service {
        match fault {
            Fault::Together => self.together(key).await,
            Fault::LostAnswers => self.lost_answers(key).await,
            Fault::EntryKilledBefore => self.entry_killed_before(key).await,
            Fault::EntryKilledAfter => self.entry_killed_after(key).await,
            Fault::SideKilled => self.side_killed(key).await,
            Fault::EntryFrozen => self.entry_frozen(key).await,
            Fault::Refusing => self.log_out(key, Outage::Refuse).await,
            Fault::Hanging => self.log_out(key, Outage::Hang).await,
            Fault::Reused => self.reused(key).await,
        }
    }

    async fn together(self, key: &str) -> Service {
        for round in 0..8 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            let calls = [self.one(), self.two(), self.one(), self.two()]
                .map(|entry| spawn_tag(entry, &key, DEADLINE));
            let mut told = Vec::new();
            for call in calls {
                told.push(call.await.expect("no panic"));
            }
            assert!(matches!(told[0], Told::Whole(_)), "{key}: {told:?}");
            assert!(told.iter().all(|one| *one == told[0]), "{key}: {told:?}");
        }
        self.service
    }

    async fn lost_answers(self, key: &str) -> Service {
        for round in 0..4 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            self.bed.log.lose_answers(3);
            let calls = [self.one(), self.two()].map(|entry| spawn_tag(entry, &key, 2 * DEADLINE));
            for call in calls {
                let told = call.await.expect("no panic");
                assert!(matches!(told, Told::Whole(_)), "{key}: {told:?}");
            }
        }
        self.service
    }

    async fn entry_killed_before(self, key: &str) -> Service {
        let call = self.intent_unread(key, DEADLINE).await;
        let two = self.two();
        drop(self.first);
        assert_eq!(call.await.expect("no panic"), Told::Broken);
        self.relay.set_block(Block::None);
        let again = tag_within(two, key, key, DEADLINE).await;
        assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        self.service
    }

    async fn entry_killed_after(self, key: &str) -> Service {
        let call = self.under_way(key).await;
        let two = self.two();
        drop(self.first);
        assert_eq!(call.await.expect("no panic"), Told::Broken);
        for _ in 0..2 {
            let again = tag_within(two, key, key, DEADLINE).await;
            assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        }
        self.service
    }

    async fn side_killed(self, key: &str) -> Service {
        let call = self.under_way(key).await;
        let (one, two) = (self.one(), self.two());
        drop(self.side);
        let told = call.await.expect("no panic");
        assert!(matches!(&told, Told::Error { ran, .. } if ran != "no"), "{told:?}");
        let _side = self.bed.side("ledger-2", Kind::Plain, self.service.address());
        for entry in [two, one] {
            let again = tag_within(entry, key, key, DEADLINE).await;
            assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        }
        let other = whole_in_time(two, "another").await;
        assert!(matches!(other, Told::Whole(_)), "{other:?}");
        self.service
    }

    async fn entry_frozen(self, key: &str) -> Service {
        for round in 0..6 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            let call = self.intent_unread(&key, FROZEN).await;
            self.first.freeze();
            self.relay.set_block(Block::None);
            let beside = tag_within(self.two(), &key, &key, FROZEN * 3 / 2).await;
            assert_eq!(beside.code(), "outcome_unknown", "{beside:?}");
            self.first.signal("CONT");
            let told = call.await.expect("no panic");
            assert!(told.is_not_run(), "{told:?}");
            assert_eq!(self.service.executions(&key), 0, "the deadline had passed");
            let again = whole_in_time(self.two(), &key).await;
            assert!(matches!(again, Told::Whole(_)), "{again:?}");
        }
        self.service
    }

    async fn log_out(self, key: &str, outage: Outage) -> Service {
        self.bed.log.set_outage(outage);
        for entry in [self.one(), self.two(), self.one(), self.two()] {
            let begin = Instant::now();
            let told = tag_within(entry, key, key, 4 * DEADLINE).await;
            assert!(told.is_not_run() && told.is_back(), "{outage:?}: {told:?}");
            assert_eq!(self.service.executions(key), 0, "{outage:?}: {told:?}");
            if outage == Outage::Refuse {
                assert!(begin.elapsed() < AT_ONCE, "{:?}: {told:?}", begin.elapsed());
            }
        }
        self.bed.log.set_outage(Outage::None);
        let told = whole_in_time(self.one(), key).await;
        assert!(matches!(told, Told::Whole(_)), "{told:?}");
        let again = whole_in_time(self.two(), key).await;
        assert_eq!(again, told);
        self.service
    }

    async fn reused(self, key: &str) -> Service {
        self.service.set_latency(UNDER_WAY);
        let call = spawn_tag(self.one(), key, 2 * DEADLINE);
        until("the call runs", || self.service.executions(key) == 1).await;
        for entry in [self.one(), self.two()] {
            let other = tag_within(entry, key, "other", DEADLINE).await;
            assert_eq!(other.code(), "key_reused", "{other:?}");
        }
        let told = call.await.expect("no panic");
        assert!(matches!(told, Told::Whole(_)), "{told:?}");
        for entry in [self.one(), self.two()] {
            let other = tag_within(entry, key, "other", DEADLINE).await;
            assert_eq!(other.code(), "key_reused", "{other:?}");
            assert_eq!(tag(entry, key).await, told);
        }
        self.service
    }

    /// Starts a call through the first entry and returns while the service runs it.
    async fn under_way(&self, key: &str) -> JoinHandle<Told> {
        self.service.set_latency(UNDER_WAY);
        let call = spawn_tag(self.one(), key, 2 * DEADLINE);
        until("the call runs", || self.service.executions(key) == 1).await;
        call
    }

    /// Waits until the log is quiet: an outcome that is not read back yet would keep the next
    /// intent out of the log.
    async fn settle(&self) {
        let end = Instant::now() + 5 * DEADLINE;
        let mut head = self.bed.log.head();
        loop {
            tokio::time::sleep(QUIET).await;
            let now = self.bed.log.head();
            if now == head {
                return;
            }
            assert!(Instant::now() < end, "the log does not come to rest");
            head = now;
        }
    }

    /// Starts a call through the first entry and returns once its intent is in the log, of which
    /// the entry reads nothing any more.
    async fn intent_unread(&self, key: &str, deadline: Duration) -> JoinHandle<Told> {
        self.settle().await;
        let before = intents(&self.bed.log);
        self.relay.set_block(Block::FromTarget);
        let call = spawn_tag(self.one(), key, deadline);
        until("the intent is in the log", || intents(&self.bed.log) > before).await;
        assert_eq!(self.service.executions(key), 0, "the intent is not read back");
        call
    }
}

fn spawn_tag(entry: SocketAddr, key: &str, deadline: Duration) -> JoinHandle<Told> {
    let key = key.to_owned();
    tokio::spawn(async move { tag_within(entry, &key, &key, deadline).await })
}

/// Asks until the answer is not "not run".
async fn whole_in_time(entry: SocketAddr, key: &str) -> Told {
    let end = Instant::now() + 5 * DEADLINE;
    loop {
        let told = tag(entry, key).await;
        if !told.is_not_run() || Instant::now() >= end {
            return told;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the number of intents in the log.
fn intents(log: &Log) -> usize {
    let count = |data: &bytes::Bytes| match decode(data).ok().and_then(|record| record.body) {
        Some(Body::CallGroup(calls)) => calls.intents.len(),
        _ => 0,
    };
    log.records().iter().map(count).sum()
}
