//! A fake entry for operators: the real server and state machine, without a log service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use blake3::Hash;
use egretgate::command::{self, Exit};
use egretgate_core::burn::Row;
use egretgate_core::declaration::Declarations;
use egretgate_core::diff::{Item, diff};
use egretgate_core::fold::{FoldEffect, State};
use egretgate_core::record::{Body, Record, body, chain};
use egretgate_core::{Error, ErrorKind, Result};
use egretgate_operator::{Call, Server, proto};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub const TOKEN: &str = "0123456789abcdef-token";

/// Behaviour of the fake entry.
#[derive(Debug, Clone, Default)]
pub struct Behaviour {
    /// Reports a side process that never applies a record.
    pub lagging: bool,
    /// Reports a side process at the entry's offset with another digest.
    pub differing_digest: bool,
    /// Offset of the oldest retained record.
    pub oldest_offset: usize,
    /// Team that another operator deletes right after each Get.
    pub concurrent_delete: Option<&'static str>,
    /// Zone that another operator drains right after the first Status.
    pub concurrent_drain: Option<&'static str>,
    /// Makes Apply take effect and drop its answer.
    pub lose_answer: bool,
    /// Rows of the burn report.
    pub rows: Vec<Row>,
    /// Incarnation in the burn report.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub address: SocketAddr,
    /// Number of Apply calls, dry runs excluded.
    pub applies: Arc<AtomicUsize>,
}

struct FakeEntry {
    state: State,
    records: Vec<(Hash, Vec<u8>)>,
    behaviour: Behaviour,
    applies: Arc<AtomicUsize>,
}

pub async fn start(behaviour: Behaviour) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("address");
    let (calls, mut receiver) = mpsc::channel(8);
    let applies = Arc::new(AtomicUsize::new(0));
    let mut fake = FakeEntry {
        state: State::new(),
        records: Vec::new(),
        behaviour,
        applies: Arc::clone(&applies),
    };
    let server = Server::new(Some(TOKEN.to_owned()), calls);
    tokio::spawn(server.serve(listener, std::future::pending()));
    tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            fake.answer(call);
        }
    });
    Entry { address, applies }
}

impl FakeEntry {
    fn answer(&mut self, call: Call) {
        match call {
            Call::Apply(request, reply) => {
                let answer = self.apply(request);
                if !self.behaviour.lose_answer {
                    drop(reply.send(answer));
                }
            }
            Call::Get(_, reply) => {
                drop(reply.send(Ok(self.get())));
                if let Some(team) = self.behaviour.concurrent_delete {
                    self.delete(team);
                }
            }
            Call::Records(page, reply) => {
                let from = self.behaviour.oldest_offset.max(page.from as usize);
                let offsets = from..self.records.len();
                let records = offsets.take(page.limit).map(|offset| self.record(offset));
                drop(reply.send(Ok(records.collect())));
            }
            Call::Zone(request, reply) => drop(reply.send(self.zone(request))),
            Call::Burn(_, reply) => {
                let rows = self.behaviour.rows.iter().cloned().map(Into::into).collect();
                let incarnation = self.behaviour.incarnation;
                let answer = proto::BurnReply { rows, incarnation, ..Default::default() };
                drop(reply.send(Ok(answer)));
            }
            Call::Status(_, reply) => {
                drop(reply.send(Ok(self.status())));
                if let Some(zone) = self.behaviour.concurrent_drain.take() {
                    let author = proto::Author { operator: "rival".into(), reason: "race".into() };
                    let request = proto::ZoneRequest {
                        author: Some(author),
                        zone: zone.into(),
                        action: proto::zone_request::Action::Drain.into(),
                        revision: 0,
                    };
                    self.zone(request).expect("drained");
                }
            }
            Call::Move(_, reply) => {
                let error = Error::new(ErrorKind::UnknownRoute, "no such route");
                drop(reply.send(Err(error)));
            }
            Call::Quarantine(request, reply) => {
                let suspect = proto::Suspect { digest: request.lift, deaths: 2, quarantined: true };
                let answer = proto::QuarantineReply { offset: 7, suspects: vec![suspect] };
                drop(reply.send(Ok(answer)));
            }
        }
    }

    fn apply(&mut self, request: proto::ApplyRequest) -> Result<proto::ApplyReply> {
        if request.dry_run {
            return Ok(proto::ApplyReply { accepted: true, ..Default::default() });
        }
        self.applies.fetch_add(1, Ordering::SeqCst);
        let author = request.author.unwrap_or_default();
        let puts = request.puts.iter().map(|put| {
            let item = put.to_item()?;
            let spec = serde_json::to_string(&item).expect("JSON");
            let kind = kind(&item).into();
            Ok(body::Item { kind, name: put.name.clone(), spec, base_revision: put.revision })
        });
        let deletes = request.deletes.iter().map(|delete| body::Delete {
            kind: delete.kind,
            name: delete.name.clone(),
            base_revision: delete.revision,
        });
        let change = body::Change {
            operator: author.operator,
            reason: author.reason,
            puts: puts.collect::<Result<_>>()?,
            deletes: deletes.collect(),
        };
        if let FoldEffect::Refused(error) = self.append(Body::Change(change))? {
            let (code, detail) = (error.kind.code().to_owned(), error.detail);
            let refusals = vec![proto::Refusal { code, detail, ..Default::default() }];
            return Ok(proto::ApplyReply { refusals, ..Default::default() });
        }
        let offset = self.records.len() as u64 - 1;
        Ok(proto::ApplyReply { accepted: true, offset, ..Default::default() })
    }

    fn zone(&mut self, request: proto::ZoneRequest) -> Result<proto::ZoneReply> {
        let author = request.author.unwrap_or_default();
        let order = body::ZoneOrder {
            operator: author.operator,
            reason: author.reason,
            zone: request.zone,
            action: request.action,
            base_revision: request.revision,
            at_ms: 0,
        };
        if let FoldEffect::Refused(error) = self.append(Body::ZoneOrder(order))? {
            return Err(error);
        }
        let offset = self.records.len() as u64 - 1;
        Ok(proto::ZoneReply { offset, ..Default::default() })
    }

    fn append(&mut self, body: Body) -> Result<FoldEffect> {
        let offset = self.records.len() as u64;
        let bytes = Record::new(1, offset + 1, body).to_bytes()?;
        let prev = *self.state.config().digest();
        let effect = self.state.apply(offset, &bytes).effect;
        self.records.push((prev, bytes));
        Ok(effect)
    }

    fn delete(&mut self, team: &str) {
        let base_revision = self.state.config().revision(body::Kind::Team, team);
        let kind = body::Kind::Team.into();
        let change = body::Change {
            operator: "rival".to_owned(),
            reason: "race".to_owned(),
            puts: Vec::new(),
            deletes: vec![body::Delete { kind, name: team.to_owned(), base_revision }],
        };
        self.append(Body::Change(change)).expect("short record");
    }

    fn get(&self) -> proto::GetReply {
        let config = self.state.config();
        let changes = diff(&Declarations::default(), config.declarations());
        let items = changes.into_iter().filter_map(|change| {
            let item = change.after?;
            let revision = config.revision(kind(&item), &change.name);
            Some(proto::Item::new(change.name, revision, item))
        });
        let digest = config.digest().as_bytes().to_vec();
        proto::GetReply { items: items.collect(), offset: config.next_offset(), digest }
    }

    fn record(&self, offset: usize) -> proto::Record {
        let (prev, data) = &self.records[offset];
        let digest = chain::extend(prev, offset as u64, data);
        proto::Record {
            offset: offset as u64,
            prev: prev.as_bytes().to_vec(),
            digest: digest.as_bytes().to_vec(),
            outcome: "accepted".to_owned(),
            data: data.clone(),
            ..Default::default()
        }
    }

    fn status(&self) -> proto::StatusReply {
        let (offset, digest) = (self.state.config().next_offset(), vec![0; 32]);
        let process = |role: &str, instance: &str, offset| proto::Process {
            role: role.to_owned(),
            instance: instance.to_owned(),
            zone: "olinda".to_owned(),
            offset,
            digest: digest.clone(),
            age_ms: 40,
        };
        let mut processes = vec![process("entry", "entry-1", offset)];
        if self.behaviour.lagging {
            processes.push(process("side", "engine-9", 0));
        }
        if self.behaviour.differing_digest {
            let other = process("side", "engine-8", offset);
            processes.push(proto::Process { digest: vec![1; 32], ..other });
        }
        let drained = self.state.config().drained_zones().iter();
        let zones = drained.map(|(zone, drained)| proto::DrainedZone {
            zone: zone.clone(),
            revision: drained.revision,
            operator: drained.operator.clone(),
            reason: drained.reason.clone(),
            ..Default::default()
        });
        let zones = zones.collect();
        proto::StatusReply { offset, digest: digest.clone(), log_reachable: true, processes, zones }
    }
}

fn kind(item: &Item) -> body::Kind {
    match item {
        Item::Tier(_) => body::Kind::Tier,
        Item::Team(_) => body::Kind::Team,
        Item::Service(_) => body::Kind::Service,
        Item::Route(_) => body::Kind::Route,
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Runs a command against `addresses`, as the operator `ana`.
pub async fn run(addresses: &[SocketAddr], args: &[&str]) -> CommandOutput {
    let addresses = addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let vars = [
        ("EGRETGATE_OPERATOR_ADDRESS", addresses.as_str()),
        ("EGRETGATE_OPERATOR_TOKEN", TOKEN),
        ("EGRETGATE_OPERATOR", "ana"),
        ("EGRETGATE_REASON", "season start"),
    ];
    run_with(&vars, args).await
}

/// Runs a command with the given variables.
pub async fn run_with(vars: &[(&str, &str)], args: &[&str]) -> CommandOutput {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let call = command::Call {
        args: args.iter().map(Into::into).collect(),
        vars: vars.iter().map(|&(name, text)| (name.into(), text.into())).collect(),
        out: &mut out,
        err: &mut err,
    };
    let exit = command::run(call).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    CommandOutput { exit, out: text(out), err: text(err) }
}
