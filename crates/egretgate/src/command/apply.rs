//! `apply`: shows the diff to the current state, sends it as one change, or in batches if one
//! record cannot hold it, and waits until it is in force.

use std::collections::BTreeMap;
use std::time::Duration;

use egretgate_core::declaration::Declarations;
use egretgate_core::diff::{self, Change, Item, Section};
use egretgate_core::{Execution, Offset};
use egretgate_operator::{Client, ClientError, proto};
use eyre::eyre;
use similar::TextDiff;
use tokio::time::{Instant, sleep, timeout_at};

use super::args::{Flag, Parsed, Spec};
use super::failure::{Failure, Result};
use super::output::Output;
use super::{check, connect};

/// Maximum size of the items in one change, in bytes; well below the maximum record size.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// Encoding overhead per item in a record, beyond its name and declaration.
const ITEM_OVERHEAD_BYTES: usize = 32;
/// Default of `--wait`, in seconds.
const DEFAULT_WAIT_S: u64 = 30;
/// Interval between status queries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// `apply FILE`.
pub(super) static SPEC: Spec = Spec {
    words: &["apply"],
    operands: &["FILE"],
    about: "Applies a declaration file: shows the diff, sends it and waits until it is in force.",
    flags: &[
        Flag {
            name: "dry-run",
            unit: "",
            help: "Shows the diff and whether it would be accepted; changes nothing.",
        },
        Flag {
            name: "wait",
            unit: "[=SECONDS]",
            help: "Time to wait until it is in force everywhere; 0 does not wait [default: 30].",
        },
    ],
    remote: true,
};

/// Declared items and their revisions, as read from an entry.
#[derive(Default)]
struct CurrentItems {
    declared: Declarations,
    revisions: BTreeMap<(Section, String), u64>,
}

/// Applies a declaration file.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let dry_run = parsed.has("dry-run");
    let wait = parsed.parse_or("wait", "a whole number of seconds", DEFAULT_WAIT_S)?;
    let author = if dry_run { None } else { Some(parsed.author()?) };
    let declared = check::read(parsed.operand(0).unwrap_or_default())?;
    let mut client = connect::first(&parsed.settings, output).await?;
    let current = CurrentItems::read(&mut client).await?;
    let changes = diff::diff(&current.declared, &declared);
    if changes.is_empty() {
        return output.line("no change: the file is already in force");
    }
    for change in &changes {
        output.text(&unified_diff_text(change))?;
    }
    let batches = split_batches(&changes);
    let full_request = current.to_request(&changes, None, true);
    if dry_run || batches.len() > 1 {
        // Batches are accepted one by one, so all changes are checked together before the first one
        // is sent.
        require_accepted(client.apply(full_request).await?)?;
    }
    if dry_run {
        return output.line(format_args!("dry run: {} changes would be accepted", changes.len()));
    }
    let start = Instant::now();
    let offset = send(&mut client, &current, &batches, author.as_ref(), output).await?;
    output.line(format_args!("accepted at offset {offset}"))?;
    if wait == 0 {
        return Ok(());
    }
    wait_in_force(&mut client, offset, start, Duration::from_secs(wait), output).await
}

impl CurrentItems {
    async fn read(client: &mut Client) -> Result<Self> {
        let reply = client.get(proto::GetRequest::default()).await?;
        let mut current = Self::default();
        for message in reply.items {
            let item = message.to_item().map_err(|error| eyre!(error))?;
            let key = (item.section(), message.name.clone());
            current.revisions.insert(key, message.revision);
            diff::put(&mut current.declared, message.name, item);
        }
        Ok(current)
    }

    /// Returns the request for `changes`, based on the revisions that were read.
    fn to_request(
        &self,
        changes: &[Change],
        author: Option<&proto::Author>,
        dry_run: bool,
    ) -> proto::ApplyRequest {
        let mut request =
            proto::ApplyRequest { author: author.cloned(), dry_run, ..Default::default() };
        for change in changes {
            let key = (change.section, change.name.clone());
            let revision = self.revisions.get(&key).copied().unwrap_or(0);
            let name = change.name.clone();
            if let Some(item) = change.after.clone() {
                request.puts.push(proto::Item::new(name, revision, item));
            } else {
                let kind = proto::Kind::from(change.section).into();
                request.deletes.push(proto::Delete { kind, name, revision });
            }
        }
        request
    }
}

/// Sends the batches in order and returns the offset of the last.
async fn send(
    client: &mut Client,
    current: &CurrentItems,
    batches: &[&[Change]],
    author: Option<&proto::Author>,
    output: &mut Output<'_>,
) -> Result<Offset> {
    let mut offset = 0;
    for (index, batch) in batches.iter().enumerate() {
        let reply = client.apply(current.to_request(batch, author, false)).await;
        let reply = reply.map_err(apply_failure).and_then(require_accepted);
        let reply = reply.map_err(|failure| with_batch_number(failure, index, batches.len()))?;
        offset = reply.offset;
        if batches.len() > 1 {
            output.progress(format_args!("part {} of {} accepted", index + 1, batches.len()));
        }
    }
    Ok(offset)
}

/// Returns the failure for `error`. If the answer was lost, the message advises running the command
/// again: the diff then shows the changes that were not accepted.
fn apply_failure(error: ClientError) -> Failure {
    let answer_lost = match &error {
        ClientError::Lost(_) => true,
        ClientError::Refused(error) => error.execution == Execution::Unknown,
        ClientError::Unreachable(_) => false,
    };
    let mut failure = Failure::from(error);
    if answer_lost {
        let context = "the change may have been accepted; run apply again to see what is left";
        failure.report = failure.report.wrap_err(context);
    }
    failure
}

/// Adds the number of the failed batch if there are several.
fn with_batch_number(mut failure: Failure, index: usize, count: usize) -> Failure {
    if count > 1 {
        let context = format!("part {} of {count} failed; {index} were accepted", index + 1);
        failure.report = failure.report.wrap_err(context);
    }
    failure
}

/// Returns the reply if the change was accepted, otherwise a failure with one line per refusal.
fn require_accepted(reply: proto::ApplyReply) -> Result<proto::ApplyReply> {
    if reply.accepted {
        return Ok(reply);
    }
    let lines = reply.refusals.iter().map(|refusal| {
        let section = refusal.kind().section().map_or("change", Section::as_str);
        let proto::Refusal { name, code, detail, revision, .. } = refusal;
        format!("{section}.{name}: {code}: {detail} (revision now {revision})")
    });
    let lines: Vec<String> = lines.collect();
    Err(Failure::refused(format!("refused\n{}", lines.join("\n"))))
}

/// Waits until every process known to the entry has applied the record at `offset`, then prints the
/// time since `start`, when the change was sent.
async fn wait_in_force(
    client: &mut Client,
    offset: Offset,
    start: Instant,
    wait: Duration,
    output: &mut Output<'_>,
) -> Result<()> {
    let deadline = Instant::now() + wait;
    let mut last_behind: Option<Vec<proto::Process>> = None;
    loop {
        match timeout_at(deadline, client.status()).await {
            Ok(Ok(reply)) => {
                let behind = |process: &proto::Process| process.offset <= offset;
                if !reply.processes.is_empty() && !reply.processes.iter().any(behind) {
                    let count = reply.processes.len();
                    let elapsed_ms = start.elapsed().as_millis();
                    let text =
                        format!("in force everywhere: {count} processes after {elapsed_ms} ms");
                    return output.line(text);
                }
                last_behind = Some(reply.processes.into_iter().filter(behind).collect());
            }
            Ok(Err(error @ ClientError::Refused(_))) => return Err(error.into()),
            // The entry may become reachable again before the deadline.
            Ok(Err(_)) | Err(_) => {}
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(Failure::unreachable(timeout_message(wait, last_behind)));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn timeout_message(wait: Duration, last_behind: Option<Vec<proto::Process>>) -> String {
    let wait = wait.as_secs();
    let Some(behind) = last_behind else {
        return format!("accepted, but no status was received within {wait} s");
    };
    let lines = behind.iter().map(|process| {
        let proto::Process { role, instance, zone, offset, age_ms, .. } = process;
        format!("  {role} {instance} in {zone}: at offset {offset}, heard {age_ms} ms ago")
    });
    let lines: Vec<String> = lines.collect();
    format!("accepted, but after {wait} s not in force in\n{}", lines.join("\n"))
}

/// Splits changes, in order, into batches that each fit in a record.
fn split_batches(changes: &[Change]) -> Vec<&[Change]> {
    let mut batches = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, change) in changes.iter().enumerate() {
        let size = item_bytes(change);
        if index > start && bytes + size > MAX_BATCH_BYTES {
            batches.push(&changes[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += size;
    }
    batches.push(&changes[start..]);
    batches
}

/// Returns the approximate size of a change in a record, in bytes.
fn item_bytes(change: &Change) -> usize {
    let spec = change.after.as_ref().and_then(|item| serde_json::to_string(item).ok());
    change.name.len() + ITEM_OVERHEAD_BYTES + spec.map_or(0, |spec| spec.len())
}

/// Returns a unified diff of the item's TOML text.
fn unified_diff_text(change: &Change) -> String {
    let text = |item: &Option<Item>| item.as_ref().map(Item::to_toml).unwrap_or_default();
    let (before, after) = (text(&change.before), text(&change.after));
    let path = change.path();
    let header = |item: &Option<Item>| if item.is_some() { path.as_str() } else { "(absent)" };
    let diff = TextDiff::from_lines(before.as_str(), after.as_str());
    diff.unified_diff().header(header(&change.before), header(&change.after)).to_string()
}
