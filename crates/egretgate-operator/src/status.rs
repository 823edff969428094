//! Errors as statuses of remote procedure calls, and back.

use std::time::Duration;

use egretgate_core::{Error, ErrorKind, Execution};
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Status};

/// Metadata that holds the code of the error kind.
const KIND: &str = "egretgate-code";
/// Metadata that says whether the request was run.
const RAN: &str = "egretgate-ran";
/// Metadata that holds the time after which another try is welcome, in milliseconds.
const AFTER_MS: &str = "egretgate-after-ms";

/// Returns the status that tells `error`.
pub(crate) fn from_error(error: &Error) -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert(KIND, MetadataValue::from_static(error.kind.code()));
    metadata.insert(RAN, MetadataValue::from_static(error.execution.as_str()));
    if let Some(after) = error.retry_after {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        metadata.insert(AFTER_MS, MetadataValue::from(after));
    }
    Status::with_metadata(code(error.kind), error.detail.clone(), metadata)
}

/// Returns the error that `status` tells, or `None` if it did not come from a server of ours.
pub(crate) fn to_error(status: &Status) -> Option<Error> {
    let text = |key| status.metadata().get(key).and_then(|value| value.to_str().ok());
    let kind = ErrorKind::from_code(text(KIND)?)?;
    let ran = match text(RAN) {
        Some("no") => Execution::NotRun,
        Some("yes") => Execution::Executed,
        _ => Execution::Unknown,
    };
    let after = text(AFTER_MS).and_then(|after| after.parse().ok()).map(Duration::from_millis);
    Some(Error { kind, execution: ran, detail: status.message().to_owned(), retry_after: after })
}

const fn code(kind: ErrorKind) -> Code {
    match kind {
        ErrorKind::BadRequest
        | ErrorKind::UnknownTier
        | ErrorKind::KeyReused
        | ErrorKind::InvalidDeclaration => Code::InvalidArgument,
        ErrorKind::UnknownRoute | ErrorKind::UnknownModel => Code::NotFound,
        ErrorKind::TooLarge | ErrorKind::Overloaded | ErrorKind::TeamLimit => {
            Code::ResourceExhausted
        }
        ErrorKind::SlowRequest | ErrorKind::DeadlineHopeless | ErrorKind::DeadlinePassed => {
            Code::DeadlineExceeded
        }
        ErrorKind::NoUpstream
        | ErrorKind::LogOutage
        | ErrorKind::Stopping
        | ErrorKind::NotReady => Code::Unavailable,
        ErrorKind::Quarantined => Code::PermissionDenied,
        ErrorKind::Conflict | ErrorKind::Fenced => Code::Aborted,
        ErrorKind::UnknownTeam | ErrorKind::Unauthenticated => Code::Unauthenticated,
        ErrorKind::CallerGone => Code::Cancelled,
        ErrorKind::UpstreamError
        | ErrorKind::AnswerCut
        | ErrorKind::OutcomeUnknown
        | ErrorKind::Internal => Code::Unknown,
    }
}
