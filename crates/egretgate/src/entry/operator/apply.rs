//! Operators' changes to the declarations.

use std::time::Instant;

use egretgate_core::check;
use egretgate_core::diff::{self, Item, Section};
use egretgate_core::record::{Body, body};
use egretgate_core::{Error, ErrorKind, Offset, Result, Revision};
use egretgate_operator::proto;

use super::{IN_FORCE_TIMEOUT, Operator};

/// Interval between two checks of which processes have applied a change.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// Number of processes that have applied a change.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AppliedCount {
    in_force: u32,
    processes: u32,
}

impl Operator {
    pub(super) async fn apply(&self, request: proto::ApplyRequest) -> Result<proto::ApplyReply> {
        let change = change_of(&request)?;
        let mut refusals = self.find_conflicts(&change).await?;
        if refusals.is_empty() {
            refusals = self.find_faults(&request)?;
        }
        if request.dry_run || !refusals.is_empty() {
            let accepted = refusals.is_empty();
            return Ok(proto::ApplyReply { accepted, refusals, ..Default::default() });
        }
        match self.append(Body::Change(change.clone())).await {
            Ok(offset) => {
                let applied = self.wait_in_force(offset).await?;
                Ok(proto::ApplyReply {
                    accepted: true,
                    offset,
                    refusals: Vec::new(),
                    in_force: applied.in_force,
                    processes: applied.processes,
                })
            }
            Err(error) if error.kind == ErrorKind::Conflict => {
                let mut refusals = self.find_conflicts(&change).await?;
                if refusals.is_empty() {
                    refusals.push(refusal(proto::Kind::Unspecified, "", &error, 0));
                }
                Ok(proto::ApplyReply { refusals, ..Default::default() })
            }
            Err(error) if error.kind == ErrorKind::InvalidDeclaration => {
                let refusals = vec![refusal(proto::Kind::Unspecified, "", &error, 0)];
                Ok(proto::ApplyReply { refusals, ..Default::default() })
            }
            Err(error) => Err(error),
        }
    }

    /// Returns a refusal for each item whose revision is not the expected one.
    async fn find_conflicts(&self, change: &body::Change) -> Result<Vec<proto::Refusal>> {
        let change = change.clone();
        self.inspect(move |journal| {
            let config = journal.state().config();
            let puts = change.puts.iter().map(|item| (item.kind(), &item.name, item.base_revision));
            let deletes = change
                .deletes
                .iter()
                .map(|delete| (delete.kind(), &delete.name, delete.base_revision));
            puts.chain(deletes)
                .filter_map(|(kind, name, expects)| {
                    let now = config.revision(kind, name);
                    (now != expects).then(|| {
                        let detail = format!("expected revision {expects}, found {now}");
                        let error = Error::new(ErrorKind::Conflict, detail);
                        refusal(wire_kind(kind), name, &error, now)
                    })
                })
                .collect()
        })
        .await
    }

    /// Returns a refusal for each fault in the declarations after the change.
    fn find_faults(&self, request: &proto::ApplyRequest) -> Result<Vec<proto::Refusal>> {
        let mut declared = self.handles.view.borrow().directory.declared().clone();
        for delete in &request.deletes {
            if let Some(section) = delete.kind().section() {
                diff::delete(&mut declared, section, &delete.name);
            }
        }
        for put in &request.puts {
            diff::put(&mut declared, put.name.clone(), put.to_item()?);
        }
        let refused = |fault: check::Fault| {
            let error = Error::new(ErrorKind::InvalidDeclaration, fault.to_string());
            refusal(proto::Kind::Unspecified, "", &error, 0)
        };
        Ok(check::faults(&declared).into_iter().map(refused).collect())
    }

    /// Waits, for at most [`IN_FORCE_TIMEOUT`], until every connected process has applied the
    /// record at `offset`.
    async fn wait_in_force(&self, offset: Offset) -> Result<AppliedCount> {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let sides = self.sides().await?;
            let connected = sides.iter().filter(|side| side.connected);
            let applied = connected.clone().filter(|side| side.offset > offset).count() as u32;
            let count =
                AppliedCount { in_force: applied + 1, processes: connected.count() as u32 + 1 };
            if count.in_force == count.processes || Instant::now() >= deadline {
                return Ok(count);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn change_of(request: &proto::ApplyRequest) -> Result<body::Change> {
    let author = request.author.clone().unwrap_or_default();
    let puts = request.puts.iter().map(put_of).collect::<Result<_>>()?;
    let deletes = request.deletes.iter().map(delete_of).collect::<Result<_>>()?;
    Ok(body::Change { operator: author.operator, reason: author.reason, puts, deletes })
}

fn put_of(item: &proto::Item) -> Result<body::Item> {
    let declared = item.to_item()?;
    let (kind, spec) = match &declared {
        Item::Tier(spec) => (body::Kind::Tier, serde_json::to_string(spec)),
        Item::Team(spec) => (body::Kind::Team, serde_json::to_string(spec)),
        Item::Service(spec) => (body::Kind::Service, serde_json::to_string(spec)),
        Item::Route(spec) => (body::Kind::Route, serde_json::to_string(spec)),
    };
    let spec = spec.map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    Ok(body::Item {
        kind: kind.into(),
        name: item.name.clone(),
        spec,
        base_revision: item.revision,
    })
}

fn delete_of(delete: &proto::Delete) -> Result<body::Delete> {
    let kind = if let Some(section) = delete.kind().section() {
        record_kind(section)
    } else {
        let detail = "a deletion names no kind";
        return Err(Error::new(ErrorKind::InvalidDeclaration, detail));
    };
    let name = delete.name.clone();
    Ok(body::Delete { kind: kind.into(), name, base_revision: delete.revision as Revision })
}

/// Returns the record kind of a section of declarations.
pub(super) const fn record_kind(section: Section) -> body::Kind {
    match section {
        Section::Tiers => body::Kind::Tier,
        Section::Teams => body::Kind::Team,
        Section::Services => body::Kind::Service,
        Section::Routes => body::Kind::Route,
    }
}

const fn wire_kind(kind: body::Kind) -> proto::Kind {
    match kind {
        body::Kind::Tier => proto::Kind::Tier,
        body::Kind::Team => proto::Kind::Team,
        body::Kind::Service => proto::Kind::Service,
        body::Kind::Route => proto::Kind::Route,
        body::Kind::None => proto::Kind::Unspecified,
    }
}

fn refusal(kind: proto::Kind, name: &str, error: &Error, revision: u64) -> proto::Refusal {
    proto::Refusal {
        kind: kind.into(),
        name: name.to_owned(),
        code: error.kind.code().to_owned(),
        detail: error.detail.clone(),
        revision,
    }
}
