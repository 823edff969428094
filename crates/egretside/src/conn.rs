//! The task that owns one connection from an entry.

use std::time::Duration;

use egretgate_core::Incarnation;
use egretgate_link::Codec;
use egretgate_link::message::{Hello, ToEntry, ToSide, to_entry, to_side};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::dispatcher::{Attached, DispatcherMessage};
use crate::entries::ConnectionHandle;

/// Timeout for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of a connection's channel of outgoing frames.
const FRAME_CHANNEL_CAPACITY: usize = 1024;
/// Maximum number of frames written between two flushes.
const WRITE_BATCH_FRAMES: usize = 64;

type Connection = Framed<TcpStream, Codec<ToSide, ToEntry>>;

/// Serves one connection until it is closed.
pub(crate) async fn serve(
    stream: TcpStream,
    token: String,
    dispatcher: mpsc::Sender<DispatcherMessage>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut framed = Framed::new(stream, Codec::new());
    let Some(hello) = read_hello(&mut framed, &token).await else { return };
    let entry = hello.incarnation;
    let (frames, outgoing) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
    let close = CancellationToken::new();
    let handle = ConnectionHandle { frames, close: close.clone() };
    let Some(attached) = attach(entry, handle, &dispatcher).await else { return };
    let (mut sink, stream) = framed.split();
    if sink.send(to_entry::Body::Welcome(attached.welcome).into()).await.is_ok() {
        let read = read_frames(stream, entry, &dispatcher);
        tokio::pin!(read);
        tokio::select! {
            written = write_frames(sink, outgoing) => if written.is_some() {
                // Closing the socket with unread input resets the connection, and written frames
                // could be lost.
                read.await;
            },
            () = &mut read => {}
            () = close.cancelled() => {}
        }
    }
    let _ = dispatcher.send(DispatcherMessage::Lost { entry, id: attached.id }).await;
}

/// Returns the first frame if it is a [`Hello`] with the right token.
async fn read_hello(connection: &mut Connection, token: &str) -> Option<Hello> {
    let frame = timeout(HELLO_TIMEOUT, connection.next()).await.ok()??.ok()?;
    match frame.body? {
        to_side::Body::Hello(hello) => {
            let same: bool = hello.token.as_bytes().ct_eq(token.as_bytes()).into();
            same.then_some(hello)
        }
        _ => None,
    }
}

async fn attach(
    entry: Incarnation,
    handle: ConnectionHandle,
    dispatcher: &mpsc::Sender<DispatcherMessage>,
) -> Option<Attached> {
    let (reply, attached) = oneshot::channel();
    dispatcher.send(DispatcherMessage::Attach { entry, handle, reply }).await.ok()?;
    attached.await.ok()
}

/// Writes frames until every sender is dropped, then closes the sending half. Returns `None` if the
/// connection broke.
async fn write_frames(
    mut sink: SplitSink<Connection, ToEntry>,
    mut outgoing: mpsc::Receiver<ToEntry>,
) -> Option<()> {
    let mut batch = Vec::with_capacity(WRITE_BATCH_FRAMES);
    while outgoing.recv_many(&mut batch, WRITE_BATCH_FRAMES).await > 0 {
        for frame in batch.drain(..) {
            sink.feed(frame).await.ok()?;
        }
        sink.flush().await.ok()?;
    }
    sink.close().await.ok()
}

/// Passes frames on to the dispatcher until the entry closes the connection. Frames that arrive
/// after the end of the dispatcher are dropped.
async fn read_frames(
    mut stream: SplitStream<Connection>,
    entry: Incarnation,
    dispatcher: &mpsc::Sender<DispatcherMessage>,
) {
    while let Some(Ok(frame)) = stream.next().await {
        let Some(body) = frame.body else { continue };
        let _ = dispatcher.send(DispatcherMessage::Frame { entry, body }).await;
    }
}
