//! Conversion between errors and gRPC statuses.

use std::time::Duration;

use egretgate_core::{Error, ErrorKind, Execution};
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Status};

/// Metadata key of the error kind's code.
const ERROR_CODE_KEY: &str = "egretgate-code";
/// Metadata key that says whether the request was executed.
const EXECUTION_KEY: &str = "egretgate-ran";
/// Metadata key of the time after which the call may be retried, in milliseconds.
const RETRY_AFTER_KEY: &str = "egretgate-after-ms";

/// Returns the status that carries `error`.
pub(crate) fn from_error(error: &Error) -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert(ERROR_CODE_KEY, MetadataValue::from_static(error.kind.code()));
    metadata.insert(EXECUTION_KEY, MetadataValue::from_static(error.execution.as_str()));
    if let Some(retry_after) = error.retry_after {
        let retry_after = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        metadata.insert(RETRY_AFTER_KEY, MetadataValue::from(retry_after));
    }
    Status::with_metadata(grpc_code(error.kind), error.detail.clone(), metadata)
}

/// Returns the error that `status` carries; `None` if it was not made by [`from_error`].
pub(crate) fn to_error(status: &Status) -> Option<Error> {
    let text = |key| status.metadata().get(key).and_then(|value| value.to_str().ok());
    let kind = ErrorKind::from_code(text(ERROR_CODE_KEY)?)?;
    let execution = match text(EXECUTION_KEY) {
        Some("no") => Execution::NotRun,
        Some("yes") => Execution::Executed,
        _ => Execution::Unknown,
    };
    let retry_after = text(RETRY_AFTER_KEY)
        .and_then(|retry_after| retry_after.parse().ok())
        .map(Duration::from_millis);
    Some(Error { kind, execution, detail: status.message().to_owned(), retry_after })
}

const fn grpc_code(kind: ErrorKind) -> Code {
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
