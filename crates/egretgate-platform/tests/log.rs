//! The log client: batches, expiry, outages and lost answers.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use egretgate_fakes::log::{Log, Outage};
use egretgate_fakes::relay::{Block, Relay};
use egretgate_platform::{Error, LogClient};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Much longer than [`SHORT_TIMEOUT`], so that the two keep their order on a busy machine.
const LATE_DELAY: Duration = Duration::from_secs(1);
const NO_WAIT: Duration = Duration::ZERO;

async fn start(timeout: Duration) -> (Log, LogClient) {
    let log = Log::start().await.unwrap();
    let client = LogClient::new(log.address(), timeout);
    (log, client)
}

fn records(names: &[&'static str]) -> Vec<Bytes> {
    names.iter().map(|name| Bytes::from_static(name.as_bytes())).collect()
}

#[tokio::test]
async fn a_batch_is_one_request_and_stays_together() {
    let (log, client) = start(TIMEOUT).await;
    assert_eq!(client.append(&records(&["a"])).await, Ok(0));
    assert_eq!(client.append(&records(&["b", "", "\u{0}c"])).await, Ok(1));
    assert_eq!((log.counts().appends, log.counts().records), (2, 4));
    let batch = client.read(1, 2, NO_WAIT).await.unwrap();
    assert_eq!((batch.oldest_offset, batch.end_offset), (0, 4));
    let read: Vec<_> = batch.records.iter().map(|entry| (entry.offset, &entry.data[..])).collect();
    assert_eq!(read, [(1, &b"b"[..]), (2, b"")]);
}

#[tokio::test]
async fn an_append_reports_whether_it_took_effect() {
    struct Case {
        name: &'static str,
        fault: fn(&Log),
        refused: bool,
        effect: bool,
    }
    let cases = [
        Case {
            name: "lost answer",
            fault: |log| log.lose_answers(1),
            refused: false,
            effect: true,
        },
        Case {
            name: "503",
            fault: |log| log.set_outage(Outage::Refuse),
            refused: false,
            effect: false,
        },
        Case {
            name: "hangs",
            fault: |log| log.set_outage(Outage::Hang),
            refused: false,
            effect: false,
        },
        Case {
            name: "down",
            fault: |log| log.crash(Duration::from_mins(1)),
            refused: true,
            effect: false,
        },
    ];
    for Case { name, fault, refused, effect } in cases {
        let (log, client) = start(SHORT_TIMEOUT).await;
        fault(&log);
        if refused {
            while tokio::net::TcpStream::connect(log.address()).await.is_ok() {}
        }
        let error = client.append(&records(&["a"])).await.unwrap_err();
        assert_eq!(error.is_refused(), refused, "{name}: {error}");
        log.set_outage(Outage::None);
        assert_eq!(log.records().len(), usize::from(effect), "{name}");
    }
}

#[tokio::test]
async fn an_effect_may_come_after_the_caller_gave_up() {
    let (log, client) = start(SHORT_TIMEOUT).await;
    log.set_effect_delay(LATE_DELAY);
    assert_matches!(client.append(&records(&["a"])).await, Err(Error::Unknown(_)));
    let patient = LogClient::new(log.address(), TIMEOUT);
    let batch = patient.read(0, 1, TIMEOUT).await.unwrap();
    assert_eq!(batch.records[0].data, "a");
}

#[tokio::test]
async fn expired_records_show_as_a_gap() {
    let (log, client) = start(TIMEOUT).await;
    client.append(&records(&["a", "b", "c", "d"])).await.unwrap();
    log.set_max_records(2);
    let batch = client.read(0, 10, NO_WAIT).await.unwrap();
    assert_eq!((batch.oldest_offset, batch.end_offset, batch.records[0].offset), (2, 4, 2));
    client.append(&records(&["e"])).await.unwrap();
    let batch = client.read(4, 10, NO_WAIT).await.unwrap();
    assert_eq!((batch.oldest_offset, batch.end_offset, batch.records[0].offset), (3, 5, 4));
}

#[tokio::test]
async fn a_waiting_read_returns_with_the_next_record() {
    let (log, client) = start(TIMEOUT).await;
    assert_eq!(client.read(0, 10, SHORT_TIMEOUT).await.unwrap().records, []);
    let reading = tokio::spawn(async move { client.read(0, 10, TIMEOUT).await });
    time::sleep(SHORT_TIMEOUT).await;
    log.push("a");
    assert_eq!(reading.await.unwrap().unwrap().records[0].data, "a");
}

/// Guards against wrong reports of an append's effect: one writer appends under faults, and the log
/// is read at the end. A record whose append succeeded is at its offset, a refused one is absent,
/// and no record is there twice.
#[tokio::test]
async fn appends_report_their_effect_correctly() {
    for seed in 0..4 {
        fuzz(seed).await;
    }
}

async fn fuzz(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let log = Log::start().await.unwrap();
    let relay = Relay::start(log.address()).await.unwrap();
    let client = LogClient::new(relay.address(), SHORT_TIMEOUT);
    let mut results = Vec::new();
    for number in 0..200 {
        let fault = rng.random_range(0..24);
        match fault {
            0 => log.lose_answers(1),
            1 => log.set_outage(Outage::Refuse),
            2 => log.set_outage(Outage::Hang),
            3 => relay.set_block(Block::FromTarget),
            4 => relay.set_block(Block::ToTarget),
            5 => relay.cut(),
            6 => log.crash(Duration::from_millis(2)),
            7 => log.set_effect_delay(SHORT_TIMEOUT * 2),
            _ => {}
        }
        let record = Bytes::from(format!("{number}"));
        results.push((record.clone(), client.append(&[record]).await));
        relay.set_block(Block::None);
        log.set_outage(Outage::None);
        log.set_effect_delay(NO_WAIT);
    }
    // Longer than any delayed append.
    time::sleep(SHORT_TIMEOUT * 4).await;
    let all = log.records();
    for (record, result) in results {
        let count = all.iter().filter(|other| **other == record).count();
        match result {
            Ok(offset) => assert_eq!((count, &all[offset as usize]), (1, &record), "seed {seed}"),
            Err(Error::Refused(detail)) => assert_eq!(count, 0, "seed {seed}: {detail}"),
            Err(Error::Unknown(_)) => assert!(count <= 1, "seed {seed}"),
        }
    }
}
