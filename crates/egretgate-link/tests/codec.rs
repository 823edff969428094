//! Frames decode however the stream is split; malformed and oversized ones are errors.

use assert_matches::assert_matches;
use bytes::{BufMut, Bytes, BytesMut};
use egretgate_core::Ticket;
use egretgate_link::message::{Chunk, Offer, ToEntry, ToSide, to_entry, to_side};
use egretgate_link::{Codec, Error, MAX_FRAME_BYTES};
use tokio_util::codec::{Decoder, Encoder};

type Side = Codec<ToSide, ToEntry>;
type Entry = Codec<ToEntry, ToSide>;

fn offer(sequence: u64) -> ToSide {
    let ticket = Some(Ticket::new(7, sequence).into());
    let body = Bytes::from(vec![b'x'; sequence as usize * 100]);
    to_side::Body::Offer(Offer { ticket, body, ..Offer::default() }).into()
}

#[test]
fn frames_survive_any_split() {
    let mut written = BytesMut::new();
    for sequence in 1..=3 {
        Entry::new().encode(offer(sequence), &mut written).expect("within the limit");
    }
    for size in [1, 2, 3, 7, 64, written.len()] {
        let (mut codec, mut buffer, mut read) = (Side::new(), BytesMut::new(), Vec::new());
        for part in written.chunks(size) {
            buffer.extend_from_slice(part);
            while let Some(frame) = codec.decode(&mut buffer).expect("well-formed") {
                read.push(frame);
            }
        }
        assert_eq!(read, [offer(1), offer(2), offer(3)], "parts of {size}");
    }
}

#[test]
fn malformed_and_oversized_frames_are_errors() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(3);
    buffer.put_slice(&[0xff, 0xff, 0xff]);
    assert_matches!(Side::new().decode(&mut buffer), Err(Error::Malformed(_)));

    let mut buffer = BytesMut::new();
    buffer.put_u32(MAX_FRAME_BYTES as u32 + 1);
    assert_matches!(Side::new().decode(&mut buffer), Err(Error::Io(_)));

    let data = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let chunk = to_entry::Body::Chunk(Chunk { data, ..Chunk::default() });
    assert_matches!(Side::new().encode(chunk.into(), &mut BytesMut::new()), Err(Error::Io(_)));
}

#[test]
fn a_frame_of_a_newer_schema_has_no_body() {
    let mut buffer = BytesMut::new();
    // Field 99, length-delimited, empty.
    buffer.put_u32(3);
    buffer.put_slice(&[0x9a, 0x06, 0x00]);
    let frame = Side::new().decode(&mut buffer).expect("well-formed").expect("whole");
    assert_eq!(frame.body, None);
}
