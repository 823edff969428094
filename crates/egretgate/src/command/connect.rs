//! Connections to entries.

use egretgate_operator::{Client, ClientError};
use egretgate_settings::{Secret, client};

use super::failure::{Failure, Result};
use super::output::Output;

/// Connects to the first reachable entry of `settings.addresses`.
pub(super) async fn first(settings: &client::Settings, output: &mut Output<'_>) -> Result<Client> {
    let token = settings.token.as_ref().map(Secret::expose);
    for &address in &settings.addresses {
        match Client::connect(address, token).await {
            Ok(client) => return Ok(client),
            Err(error @ ClientError::Unreachable(_)) => output.progress(error),
            Err(error) => return Err(error.into()),
        }
    }
    Err(Failure::unreachable("no entry is reachable; nothing was sent"))
}
