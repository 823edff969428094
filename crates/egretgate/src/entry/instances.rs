//! The task that polls the platform's instance list.

use std::time::Duration;

use egretgate_platform::InstanceClient;
use slog::{Logger, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::entry::fleet::FleetMessage;

/// Service under which entries are listed; they are not upstreams.
pub(crate) const ENTRY_SERVICE: &str = "egretgate";
/// Interval between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the list until the fleet task has ended. A failed read changes nothing.
pub(crate) async fn run(client: InstanceClient, fleet: mpsc::Sender<FleetMessage>, log: Logger) {
    let mut readable = true;
    while !fleet.is_closed() {
        match client.list().await {
            Ok(mut upstreams) => {
                readable = true;
                let listed = upstreams.len();
                upstreams.retain(|instance| instance.service != ENTRY_SERVICE);
                let entry_count = (listed - upstreams.len()).max(1) as u32;
                let _ = fleet.send(FleetMessage::Listed { upstreams, entry_count }).await;
            }
            Err(error) => {
                if readable {
                    warn!(log, "instance list unreadable"; "error" => error.to_string());
                }
                readable = false;
            }
        }
        sleep(LIST_INTERVAL).await;
    }
}
