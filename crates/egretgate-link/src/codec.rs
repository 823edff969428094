//! Length-prefixed prost frames over a byte stream.

use std::fmt;
use std::io;
use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame accepted or sent, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a frame could not be read or written. The connection is closed in both cases.
#[derive(Debug)]
pub enum Error {
    /// The stream failed, or a frame was over [`MAX_FRAME_BYTES`].
    Io(io::Error),
    /// The frame is not a valid message.
    Malformed(prost::DecodeError),
}

/// Reads messages of type `In` and writes messages of type `Out`.
#[derive(Debug)]
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Codec<In, Out> {
    /// Returns a codec with the frame limit [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { frames, types: PhantomData }
    }
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Self {
        Self::new()
    }
}

impl<In: Message + Default, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<In>> {
        match self.frames.decode(src)? {
            Some(frame) => Ok(Some(In::decode(frame.freeze())?)),
            None => Ok(None),
        }
    }
}

impl<In, Out: Message> Encoder<Out> for Codec<In, Out> {
    type Error = Error;

    fn encode(&mut self, message: Out, dst: &mut BytesMut) -> Result<()> {
        let frame = Bytes::from(message.encode_to_vec());
        Ok(self.frames.encode(frame, dst)?)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<prost::DecodeError> for Error {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "link stream: {error}"),
            Self::Malformed(error) => write!(f, "link message: {error}"),
        }
    }
}

impl std::error::Error for Error {}
