//! Error answers in the format of the OpenAI API.

use bytes::Bytes;
use egretgate_core::Error;
use salvo::Response;
use salvo::http::{HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

/// Header that states whether a failed request was executed.
const EXECUTION_HEADER: HeaderName = HeaderName::from_static("x-egret-ran");

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    ran: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the JSON body that describes `error` to a caller.
pub fn error_body(error: &Error) -> Bytes {
    let answer = error.kind.answer();
    let error_type = if answer.status < 500 { "invalid_request_error" } else { "server_error" };
    let fields = ErrorFields {
        message: &error.detail,
        r#type: error_type,
        code: answer.code,
        ran: error.execution.as_str(),
        retry_after_ms: error.retry_after.map(|delay| delay.as_millis() as u64),
    };
    serde_json::to_vec(&ErrorBody { error: fields }).unwrap_or_default().into()
}

/// Returns the server-sent event that ends a stream cut by `error`.
pub fn error_event(error: &Error) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(&error_body(error));
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Writes `error` as the whole response.
pub(crate) fn write_error(error: &Error, response: &mut Response) {
    let answer = error.kind.answer();
    response.status_code(StatusCode::from_u16(answer.status).unwrap_or_default());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(EXECUTION_HEADER, HeaderValue::from_static(error.execution.as_str()));
    if answer.retryable {
        let seconds = error.retry_after.map_or(1, |delay| delay.as_millis().div_ceil(1000) as u64);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    let _ = response.write_body(error_body(error));
}
