//! Tests of the relay: closed connections, blocked directions and delays.

use std::time::Duration;

use egretgate_fakes::relay::{Block, Relay};
use egretgate_fakes::service::Service;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Time without data after which a direction counts as blocked.
const BLOCKED_TIME: Duration = Duration::from_millis(50);
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";

async fn start() -> (Service, Relay, TcpStream) {
    let service = Service::start().await.unwrap();
    let relay = Relay::start(service.address()).await.unwrap();
    let stream = TcpStream::connect(relay.address()).await.unwrap();
    (service, relay, stream)
}

#[tokio::test]
async fn blocked_bytes_pass_once_unblocked() {
    struct Case {
        name: &'static str,
        block: Block,
        executed: u64,
    }
    let cases = [
        Case { name: "to target", block: Block::ToTarget, executed: 0 },
        Case { name: "from target", block: Block::FromTarget, executed: 1 },
        Case { name: "both", block: Block::Both, executed: 0 },
    ];
    for Case { name, block, executed } in cases {
        let (service, relay, mut stream) = start().await;
        relay.set_block(block);
        stream.write_all(REQUEST).await.unwrap();
        let mut buffer = [0; 4096];
        let reached = async {
            while service.total() < executed {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        time::timeout(TIMEOUT, reached).await.expect(name);
        assert!(time::timeout(BLOCKED_TIME, stream.read(&mut buffer)).await.is_err(), "{name}");
        assert_eq!(service.total(), executed, "{name}");
        relay.set_block(Block::None);
        assert!(stream.read(&mut buffer).await.unwrap() > 0, "{name}");
        assert_eq!(service.total(), 1, "{name}");
    }
}

#[tokio::test]
async fn cuts_close_open_connections() {
    struct Case {
        name: &'static str,
        cut: fn(&Relay),
        open_after: bool,
    }
    let cases = [
        Case { name: "cut", cut: Relay::cut, open_after: true },
        Case { name: "down", cut: |relay| relay.set_down(true), open_after: false },
        Case {
            name: "down and up",
            cut: |relay| {
                relay.set_down(true);
                relay.set_down(false);
            },
            open_after: true,
        },
    ];
    for Case { name, cut, open_after } in cases {
        let (_service, relay, mut stream) = start().await;
        let mut buffer = [0; 4096];
        stream.write_all(REQUEST).await.unwrap();
        assert!(stream.read(&mut buffer).await.unwrap() > 0, "{name}");
        cut(&relay);
        let closed = stream.read(&mut buffer).await;
        assert!(!closed.is_ok_and(|bytes| bytes > 0), "{name}");
        let mut next = TcpStream::connect(relay.address()).await.unwrap();
        let _ = next.write_all(REQUEST).await;
        let answered = next.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0);
        assert_eq!(answered, open_after, "{name}");
    }
}

#[tokio::test]
async fn delayed_bytes_arrive_whole_and_in_order() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start(target.local_addr().unwrap()).await.unwrap();
    relay.set_delay(Duration::from_millis(2));
    let sent: Vec<u8> = (0..1_000_000_u32).map(|index| (index % 251) as u8).collect();
    let mut caller = TcpStream::connect(relay.address()).await.unwrap();
    let (mut target_stream, _) = target.accept().await.unwrap();
    let write = async {
        caller.write_all(&sent).await.unwrap();
        caller.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let (read, ()) = tokio::join!(target_stream.read_to_end(&mut received), write);
    read.unwrap();
    assert!(received == sent);
}
