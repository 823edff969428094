//! Old records of the log expire; a new entry then starts from the keeper's snapshot.

use std::time::{Duration, Instant};

use egretgate::core::record::{Body, decode};
use egretgate::operator::{Client, proto};
use egretgate_fakes::relay::Relay;
use egretgate_fakes::service::Service;

use crate::caller::{Reply, tag};
use crate::testbed::{Kind, Testbed, wait_until_ready};

/// Number of filler records, which make a snapshot due.
const FILLER_RECORDS: usize = 400;
/// Longest wait for the keeper's snapshot, or for an entry to read up to an offset.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of records that the log keeps at the end.
const KEPT_RECORDS: usize = 40;

/// Timing of the last quarter of the filler, relative to the snapshot that the first three quarters
/// make due.
struct Case {
    /// Delay of the connection between the first entry, which is the keeper, and the log.
    delay: Duration,
    /// Time between the first three quarters and the last one.
    wait: Duration,
}

const CASES: [Case; 3] = [
    // At once.
    Case { delay: Duration::ZERO, wait: Duration::ZERO },
    // While the snapshot is being appended: the log then keeps records that it doesn't cover.
    Case { delay: Duration::from_millis(300), wait: Duration::from_millis(330) },
    // After the snapshot: the records that expire at the end include the snapshot itself.
    Case { delay: Duration::ZERO, wait: Duration::from_millis(600) },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_starts_from_a_snapshot_once_the_oldest_records_are_gone() {
    for case in CASES {
        run_case(&case).await;
    }
}

async fn run_case(case: &Case) {
    let testbed = Testbed::start().await;
    let service = Service::start().await.expect("loopback");
    let _side = testbed.side("ledger-1", Kind::Plain, service.address());
    let relay = Relay::start(testbed.log.address()).await.expect("loopback");
    let first = testbed.entry_with("entry-1", relay.address());
    testbed.declare(&first).await;
    let reply = tag(first.address("callers"), "before").await;
    assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
    let declared = get_declarations(&first).await;

    relay.set_delay(case.delay);
    let before = testbed.log.head() as usize;
    append_filler(&testbed, FILLER_RECORDS * 3 / 4);
    tokio::time::sleep(case.wait).await;
    append_filler(&testbed, FILLER_RECORDS / 4);
    let filled_end = testbed.log.head();
    wait_for_snapshot(&testbed, before).await;
    // A record that expires before any entry has read it is lost for good.
    wait_until_read(&first, filled_end).await;
    testbed.log.set_max_records(KEPT_RECORDS);
    testbed.log.push(vec![0xff; 64]);
    assert!(testbed.log.oldest() > 0, "the oldest records are gone");

    let second = testbed.entry("entry-2");
    wait_until_ready(second.address("admin")).await;
    let again = tag(second.address("callers"), "before").await;
    assert_eq!(again, reply, "the key's outcome was carried by the snapshot");
    assert_eq!(service.executions("before"), 1);
    assert_eq!(get_declarations(&second).await.items, declared.items);
}

fn append_filler(testbed: &Testbed, records: usize) {
    for _ in 0..records {
        testbed.log.push(vec![0xff; 64]);
    }
}

/// Waits for a snapshot after the first `before` records.
async fn wait_for_snapshot(testbed: &Testbed, before: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        let chunk = |record: &bytes::Bytes| {
            decode(record).is_ok_and(|record| matches!(record.body, Some(Body::Chunk(_))))
        };
        let records = testbed.log.records();
        if records.iter().skip(before).any(chunk) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no snapshot in time");
}

async fn wait_until_read(entry: &crate::testbed::Process, offset: u64) {
    let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        let status = client.status().await.expect("answered");
        if status.offset >= offset {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not read up to {offset} in time");
}

async fn get_declarations(entry: &crate::testbed::Process) -> proto::GetReply {
    let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
    client.get(proto::GetRequest::default()).await.expect("answered")
}
