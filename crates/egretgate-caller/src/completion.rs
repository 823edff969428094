//! Parses the part of a completion request's body that scheduling needs.

use egretgate_core::{Error, ErrorKind, Result};
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the prompt's start that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 256;
/// Assumed mean bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a completion request that scheduling needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Model that the caller addresses.
    pub model: String,
    /// True if the caller wants a stream of tokens.
    pub stream: bool,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Longest answer that the caller allows, in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt's start.
    pub prefix_hash: u64,
}

#[derive(Debug, Deserialize)]
struct Body<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

impl CompletionRequest {
    /// Parses the body of a completion or chat completion.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the body is not JSON of a completion. The error contains no
    /// part of the body.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let body: Body<'_> = serde_json::from_slice(body).map_err(|error| bad_json(&error))?;
        let text = body.messages.or(body.prompt).map(RawValue::get);
        let Some(text) = text else {
            return Err(Error::new(ErrorKind::BadRequest, "neither messages nor prompt is given"));
        };
        let start = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        Ok(Self {
            model: body.model,
            stream: body.stream,
            prompt_tokens: (text.len() / BYTES_PER_TOKEN).max(1) as u32,
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            prefix_hash: xxh3_64(start),
        })
    }
}

fn bad_json(error: &serde_json::Error) -> Error {
    let problem = match error.classify() {
        serde_json::error::Category::Data => "a field has the wrong type or is missing",
        _ => "the body is not valid JSON",
    };
    let detail = format!("{problem}, at line {} column {}", error.line(), error.column());
    Error::new(ErrorKind::BadRequest, detail)
}
