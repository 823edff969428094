//! `apply`: shows a diff, sends it as one change and waits until it is in force.

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

/// Most bytes of one change's items, well below the largest record.
const BATCH_BYTES: usize = 128 << 10;
/// Bytes that an item takes in a record beside its name and declaration.
const ITEM_BYTES: usize = 32;
/// Longest wait until a change is in force everywhere, in seconds, if not given.
const DEFAULT_WAIT_S: u64 = 30;
/// Time between two looks at what is in force.
const POLL: Duration = Duration::from_millis(100);

/// `apply FILE`.
pub(super) static SPEC: Spec = Spec {
    words: &["apply"],
    operands: &["FILE"],
    about: "Makes a declaration file the state in force: diff, change, wait.",
    flags: &[
        Flag {
            name: "dry-run",
            unit: "",
            help: "Shows the diff and whether it would be accepted; changes nothing.",
        },
        Flag {
            name: "wait",
            unit: "[=SECONDS]",
            help: "Longest wait until in force everywhere; 0 does not wait [default: 30].",
        },
    ],
    remote: true,
};

/// Items in force with their revisions.
#[derive(Default)]
struct Current {
    declared: Declarations,
    revisions: BTreeMap<(Section, String), u64>,
}

/// Applies a declaration file.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let dry_run = parsed.has("dry-run");
    let wait = parsed.parsed("wait", "a whole number of seconds", DEFAULT_WAIT_S)?;
    let author = if dry_run { None } else { Some(parsed.author()?) };
    let wanted = check::read(parsed.operand(0).unwrap_or_default())?;
    let mut client = connect::first(&parsed.settings, output).await?;
    let current = Current::read(&mut client).await?;
    let changes = diff::diff(&current.declared, &wanted);
    if changes.is_empty() {
        return output.line("no change: the file is in force as it stands");
    }
    for change in &changes {
        output.text(&unified(change))?;
    }
    let batches = batches(&changes);
    let whole = current.request(&changes, None, true);
    if dry_run || batches.len() > 1 {
        // Several records are not accepted as one, so the whole is checked before the first.
        accepted(client.apply(whole).await?)?;
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
    in_force(&mut client, offset, start, Duration::from_secs(wait), output).await
}

impl Current {
    async fn read(client: &mut Client) -> Result<Self> {
        let reply = client.get(proto::GetRequest::default()).await?;
        let mut current = Self::default();
        for entry in reply.items {
            let item = entry.to_item().map_err(|error| eyre!(error))?;
            let key = (item.section(), entry.name.clone());
            current.revisions.insert(key, entry.revision);
            diff::put(&mut current.declared, entry.name, item);
        }
        Ok(current)
    }

    fn request(
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

/// Sends each batch and returns the offset of the last.
async fn send(
    client: &mut Client,
    current: &Current,
    batches: &[&[Change]],
    author: Option<&proto::Author>,
    output: &mut Output<'_>,
) -> Result<Offset> {
    let mut offset = 0;
    for (index, batch) in batches.iter().enumerate() {
        let reply = client.apply(current.request(batch, author, false)).await;
        let reply = reply.map_err(unsure).and_then(accepted);
        let reply = reply.map_err(|failure| part(failure, index, batches.len()))?;
        offset = reply.offset;
        if batches.len() > 1 {
            output.progress(format_args!("part {} of {} accepted", index + 1, batches.len()));
        }
    }
    Ok(offset)
}

/// Adds what to do about a lost answer: the diff of a second run shows what was accepted.
fn unsure(error: ClientError) -> Failure {
    let lost = match &error {
        ClientError::Lost(_) => true,
        ClientError::Refused(error) => error.execution == Execution::Unknown,
        ClientError::Unreachable(_) => false,
    };
    let mut failure = Failure::from(error);
    if lost {
        let what = "the change may have been accepted; run apply again to see what is left";
        failure.report = failure.report.wrap_err(what);
    }
    failure
}

/// Adds which part failed, if there are several.
fn part(mut failure: Failure, index: usize, count: usize) -> Failure {
    if count > 1 {
        let what = format!("part {} of {count} failed; {index} were accepted", index + 1);
        failure.report = failure.report.wrap_err(what);
    }
    failure
}

/// Returns the reply if the change was accepted, else one line for each refusal.
fn accepted(reply: proto::ApplyReply) -> Result<proto::ApplyReply> {
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

/// Waits until every process known to the entry has folded the record at `offset`, and tells the
/// time since `start`, when the change was sent.
async fn in_force(
    client: &mut Client,
    offset: Offset,
    start: Instant,
    wait: Duration,
    output: &mut Output<'_>,
) -> Result<()> {
    let end = Instant::now() + wait;
    let mut known: Option<Vec<proto::Process>> = None;
    loop {
        match timeout_at(end, client.status()).await {
            Ok(Ok(reply)) => {
                let behind = |process: &proto::Process| process.offset <= offset;
                if !reply.processes.is_empty() && !reply.processes.iter().any(behind) {
                    let count = reply.processes.len();
                    let took = start.elapsed().as_millis();
                    let text = format!("in force everywhere: {count} processes after {took} ms");
                    return output.line(text);
                }
                known = Some(reply.processes.into_iter().filter(behind).collect());
            }
            Ok(Err(error @ ClientError::Refused(_))) => return Err(error.into()),
            // The entry may come back within the wait.
            Ok(Err(_)) | Err(_) => {}
        }
        if Instant::now() + POLL >= end {
            return Err(Failure::unreachable(missing(wait, known)));
        }
        sleep(POLL).await;
    }
}

fn missing(wait: Duration, known: Option<Vec<proto::Process>>) -> String {
    let wait = wait.as_secs();
    let Some(behind) = known else {
        return format!("accepted, but after {wait} s it is not known where it is in force");
    };
    let lines = behind.iter().map(|process| {
        let proto::Process { role, instance, zone, offset, age_ms, .. } = process;
        format!("  {role} {instance} in {zone}: at offset {offset}, heard {age_ms} ms ago")
    });
    let lines: Vec<String> = lines.collect();
    format!("accepted, but after {wait} s not in force in\n{}", lines.join("\n"))
}

/// Splits changes so that each part fits in a record, in order.
fn batches(changes: &[Change]) -> Vec<&[Change]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, change) in changes.iter().enumerate() {
        let size = size(change);
        if index > start && bytes + size > BATCH_BYTES {
            parts.push(&changes[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += size;
    }
    parts.push(&changes[start..]);
    parts
}

fn size(change: &Change) -> usize {
    let spec = change.after.as_ref().and_then(|item| serde_json::to_string(item).ok());
    change.name.len() + ITEM_BYTES + spec.map_or(0, |spec| spec.len())
}

/// Returns a change as a unified diff of the item's text.
fn unified(change: &Change) -> String {
    let text = |item: &Option<Item>| item.as_ref().map(Item::to_toml).unwrap_or_default();
    let (before, after) = (text(&change.before), text(&change.after));
    let path = change.path();
    let side = |item: &Option<Item>| if item.is_some() { path.as_str() } else { "(absent)" };
    let diff = TextDiff::from_lines(before.as_str(), after.as_str());
    diff.unified_diff().header(side(&change.before), side(&change.after)).to_string()
}
