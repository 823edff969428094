//! Operators' calls that read the state, and those on version moves and the quarantine, which may
//! also change it.

use std::time::{SystemTime, UNIX_EPOCH};

use egretgate_core::declaration::Declarations;
use egretgate_core::diff::{Item, Section};
use egretgate_core::fold::{ConfigState, OperatorAction};
use egretgate_core::record::body::{self, MoveBegin, Verdict};
use egretgate_core::record::{self, Body, chain};
use egretgate_core::{ErrorKind, Result};
use egretgate_link::message::LogRecord;
use egretgate_operator::{Page, proto};
use tokio::sync::oneshot;

use super::apply::record_kind;
use super::zones::zones_of;
use super::{Operator, stopping_error};
use crate::entry::tally::TallyMessage;

impl Operator {
    pub(super) async fn get(&self, request: proto::GetRequest) -> Result<proto::GetReply> {
        self.inspect(move |journal| {
            let config = journal.state().config();
            let wanted = request.kind().section();
            let sections = Section::ALL
                .into_iter()
                .filter(|section| wanted.is_none_or(|wanted| wanted == *section));
            let mut items = Vec::new();
            for section in sections {
                items.extend(section_items(config, section, &request.name));
            }
            let digest = config.digest().as_bytes().to_vec();
            proto::GetReply { items, offset: config.next_offset(), digest }
        })
        .await
    }

    pub(super) async fn records(&self, page: Page) -> Result<Vec<proto::Record>> {
        self.inspect(move |journal| {
            let config = journal.state().config();
            let records = journal.recent_records().iter_from(page.from).take(page.limit);
            records.map(|record| record_of(record, config)).collect()
        })
        .await
    }

    pub(super) async fn moves(&self, request: proto::MoveRequest) -> Result<proto::MoveReply> {
        use proto::move_request::Action;
        let author = request.author.unwrap_or_default();
        let (offset, route) = match request.action {
            Some(Action::Begin(begin)) => {
                let route = begin.route.clone();
                (self.append(Body::MoveBegin(begin_of(author, begin))).await?, route)
            }
            Some(Action::Cancel(cancel)) => {
                let cancelled = body::MoveCancel {
                    operator: author.operator,
                    reason: author.reason,
                    route: cancel.route.clone(),
                };
                (self.append(Body::MoveCancel(cancelled)).await?, cancel.route)
            }
            Some(Action::Show(show)) => (0, show.route),
            None => (0, String::new()),
        };
        let moves = self.inspect(move |journal| moves_of(journal.state().config(), &route)).await?;
        Ok(proto::MoveReply { offset, moves })
    }

    pub(super) async fn quarantine(
        &self,
        request: proto::QuarantineRequest,
    ) -> Result<proto::QuarantineReply> {
        let offset = if request.lift.is_empty() {
            0
        } else {
            let author = request.author.unwrap_or_default();
            let lift = body::Lift {
                operator: author.operator,
                digest: request.lift.into(),
                reason: author.reason,
            };
            self.append(Body::Lift(lift)).await?
        };
        let suspects = self
            .inspect(|journal| {
                let quarantine = journal.state().config().quarantine();
                let suspect = |(digest, deaths): (egretgate_core::Digest, u32)| proto::Suspect {
                    digest: digest.as_bytes().to_vec(),
                    deaths,
                    quarantined: quarantine.is_quarantined(&digest),
                };
                quarantine.iter().map(suspect).collect()
            })
            .await?;
        Ok(proto::QuarantineReply { offset, suspects })
    }

    pub(super) async fn burn(&self) -> Result<proto::BurnReply> {
        let declared = Box::new(self.handles.view.borrow().directory.declared().clone());
        let (reply, rows) = oneshot::channel();
        let _ = self.handles.tally.send(TallyMessage::Rows { declared, reply }).await;
        let rows = rows.await.map_err(|_| stopping_error())?;
        Ok(proto::BurnReply {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            since_s: self.started.elapsed().as_secs(),
            rows: rows.into_iter().map(proto::BurnRow::from).collect(),
        })
    }

    pub(super) async fn status(&self) -> Result<proto::StatusReply> {
        let sides = self.sides().await?;
        let (instance, zone) = (self.instance.clone(), self.zone.clone());
        self.inspect(move |journal| {
            let config = journal.state().config();
            let digest = config.digest().as_bytes().to_vec();
            let own = proto::Process {
                role: "entry".to_owned(),
                instance,
                zone,
                offset: config.next_offset(),
                digest: digest.clone(),
                age_ms: 0,
            };
            let zones = zones_of(config, &sides);
            let sides = sides.into_iter().map(|side| proto::Process {
                role: "side".to_owned(),
                instance: side.upstream,
                zone: side.zone,
                offset: side.offset,
                digest: side.digest.to_vec(),
                age_ms: side.age.as_millis() as u64,
            });
            proto::StatusReply {
                offset: config.next_offset(),
                digest,
                log_reachable: journal.is_log_up(),
                processes: std::iter::once(own).chain(sides).collect(),
                zones,
            }
        })
        .await
    }
}

fn section_items(config: &ConfigState, section: Section, name: &str) -> Vec<proto::Item> {
    let declared = config.declarations();
    let kind = record_kind(section);
    let wanted = |item_name: &String| name.is_empty() || item_name == name;
    let item = |(name, item): (&String, Item)| {
        proto::Item::new(name.clone(), config.revision(kind, name), item)
    };
    named_items(declared, section).filter(|(name, _)| wanted(name)).map(item).collect()
}

fn named_items(
    declared: &Declarations,
    section: Section,
) -> Box<dyn Iterator<Item = (&String, Item)> + '_> {
    match section {
        Section::Tiers => {
            Box::new(declared.tiers.iter().map(|(name, spec)| (name, Item::Tier(spec.clone()))))
        }
        Section::Teams => {
            Box::new(declared.teams.iter().map(|(name, spec)| (name, Item::Team(spec.clone()))))
        }
        Section::Services => Box::new(
            declared.services.iter().map(|(name, spec)| (name, Item::Service(spec.clone()))),
        ),
        Section::Routes => {
            Box::new(declared.routes.iter().map(|(name, spec)| (name, Item::Route(spec.clone()))))
        }
    }
}

fn record_of(logged: &LogRecord, config: &ConfigState) -> proto::Record {
    let prev = <[u8; 32]>::try_from(logged.prev.as_ref()).unwrap_or_default();
    let prev = blake3::Hash::from_bytes(prev);
    let digest = chain::extend(&prev, logged.offset, &logged.data);
    let body = record::decode(&logged.data).ok().and_then(|record| record.body);
    let author = body.as_ref().and_then(Body::requested_by);
    let action: Option<&OperatorAction> =
        config.actions().rev().find(|action| action.offset == logged.offset);
    let refused = action.and_then(|action| action.refusal);
    proto::Record {
        offset: logged.offset,
        prev: prev.as_bytes().to_vec(),
        digest: digest.as_bytes().to_vec(),
        kind: body.as_ref().map(|body| body.as_str().to_owned()).unwrap_or_default(),
        operator: author.map(|(operator, _)| operator.to_owned()).unwrap_or_default(),
        reason: author.map(|(_, reason)| reason.to_owned()).unwrap_or_default(),
        outcome: match (action, refused) {
            (None, _) => String::new(),
            (Some(_), None) => "accepted".to_owned(),
            (Some(_), Some(kind)) => ErrorKind::code(kind).to_owned(),
        },
        detail: action.map(|action| action.detail.clone()).unwrap_or_default(),
        data: logged.data.to_vec(),
    }
}

fn begin_of(author: proto::Author, begin: proto::MoveBegin) -> MoveBegin {
    let steps = if begin.steps_ppm.is_empty() {
        egretgate_core::moves::MovePlan::DEFAULT_STEPS_PPM.to_vec()
    } else {
        begin.steps_ppm
    };
    MoveBegin {
        operator: author.operator,
        reason: author.reason,
        route: begin.route,
        from: begin.from,
        to: begin.to,
        steps,
        budget_ppm: begin.budget_ppm,
        end_ms: begin.end_ms,
        cap: begin.cap,
        begin_ms: unix_ms(SystemTime::now()),
    }
}

pub(super) fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn moves_of(config: &ConfigState, route: &str) -> Vec<proto::MoveState> {
    let wanted = |version_move: &&egretgate_core::fold::VersionMove| {
        route.is_empty() || version_move.begin.route == route
    };
    config.moves().values().filter(wanted).map(move_of).collect()
}

fn move_of(version_move: &egretgate_core::fold::VersionMove) -> proto::MoveState {
    let verdict = match version_move.verdict {
        Verdict::Proceed => "running",
        Verdict::Done => "done",
        Verdict::TakenBack => "taken back",
    };
    proto::MoveState {
        route: version_move.begin.route.clone(),
        from: version_move.begin.from.clone(),
        to: version_move.begin.to.clone(),
        verdict: verdict.to_owned(),
        share_ppm: version_move.share_ppm,
        step: version_move.step,
        end_ms: version_move.begin.end_ms,
        evidence: version_move.evidence.clone(),
        operator: version_move.begin.operator.clone(),
        reason: version_move.begin.reason.clone(),
    }
}
