//! The configuration state that every process keeps, folded from configuration records only.

use std::collections::{BTreeMap, VecDeque};

use blake3::Hash;
use prost::Message;

use crate::declaration::Declarations;
use crate::error::{Error, ErrorKind, Result};
use crate::fold::actions::{MAX_OPERATOR_ACTIONS, OperatorAction};
use crate::fold::image::{ConfigImage, LeaseImage, ServingImage};
use crate::fold::items::DeclaredItems;
use crate::fold::moves::{MoveTable, VersionMove};
use crate::fold::quarantine::Quarantine;
use crate::fold::writers::Writers;
use crate::fold::zones::{DrainedZone, ZoneTable};
use crate::fold::{Applied, FoldEffect, RecordId, StateSection, bytes_of, corrupt};
use crate::ids::{Offset, Revision, RouteId, VersionId, ZoneId};
use crate::lease::{Lease, RecordPosition, move_lease};
use crate::record::body::{
    Change, Claim, Kind, Lift, MoveBegin, MoveStep, Release, Renew, Verdict,
};
use crate::record::{self, Body, Record, chain};

/// Largest number of leases kept; beyond it one is removed: the released lease with the oldest
/// record, or the held lease with the oldest record if none is released.
const MAX_LEASES: usize = 4_096;

/// Declarations, leases, moves, quarantine, drained zones and operator actions.
#[derive(Debug, Clone)]
pub struct ConfigState {
    next_offset: Offset,
    chain: Hash,
    items: DeclaredItems,
    leases: BTreeMap<String, Lease>,
    moves: MoveTable,
    quarantine: Quarantine,
    zones: ZoneTable,
    /// The newest actions, oldest first; at most [`MAX_OPERATOR_ACTIONS`].
    actions: VecDeque<OperatorAction>,
    writers: Writers,
}

/// How one process's configuration compares with another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStatus {
    /// Both processes applied the same records.
    Same,
    /// This process lacks records from `from` on.
    Behind {
        /// Offset of the first record to request.
        from: Offset,
    },
    /// The other process lacks records.
    Ahead,
    /// Both are at the same offset but applied different records: request the whole state.
    Diverged,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            next_offset: 0,
            chain: chain::START_DIGEST,
            items: DeclaredItems::default(),
            leases: BTreeMap::new(),
            moves: MoveTable::default(),
            quarantine: Quarantine::default(),
            zones: ZoneTable::default(),
            actions: VecDeque::new(),
            writers: Writers::default(),
        }
    }
}

impl ConfigState {
    /// Returns the offset after the last applied configuration record. Never decreases.
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the chain digest at [`ConfigState::next_offset`].
    pub const fn digest(&self) -> &Hash {
        &self.chain
    }

    /// Returns the declarations in force.
    pub const fn declarations(&self) -> &Declarations {
        self.items.declared()
    }

    /// Returns the revision of an item; 0 if it is absent.
    pub fn revision(&self, kind: Kind, name: &str) -> Revision {
        self.items.revision(kind, name)
    }

    /// Returns the state of a lease, if it was ever claimed.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Returns the latest move of each route.
    pub const fn moves(&self) -> &BTreeMap<RouteId, VersionMove> {
        &self.moves.latest
    }

    /// Returns the version that serves a route when no move is in progress.
    pub fn serving_version(&self, route: &str) -> Option<&VersionId> {
        let spec = self.declarations().routes.get(route)?;
        let declared = self.declarations().services.get(&spec.service).map(|spec| &spec.version);
        self.moves.serving.get(route).or(declared)
    }

    /// Returns the versions that completed moves brought into service, by route.
    pub fn moved_versions(&self) -> BTreeMap<RouteId, VersionId> {
        self.moves.serving.clone()
    }

    /// Returns the quarantine.
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the drained zones by name.
    pub const fn drained_zones(&self) -> &BTreeMap<ZoneId, DrainedZone> {
        &self.zones.drained
    }

    /// Returns the revision of a zone; 0 if it is not drained.
    pub fn zone_revision(&self, zone: &str) -> Revision {
        self.zones.revision(zone)
    }

    /// Returns the newest operator actions, oldest first.
    pub fn actions(&self) -> impl DoubleEndedIterator<Item = &OperatorAction> + ExactSizeIterator {
        self.actions.iter()
    }

    /// Compares this state with another process's, which is at `next_offset` with the chain digest
    /// `digest`.
    pub fn compare(&self, next_offset: Offset, digest: &[u8]) -> SyncStatus {
        if next_offset > self.next_offset {
            return SyncStatus::Behind { from: self.next_offset };
        }
        if next_offset < self.next_offset {
            return SyncStatus::Ahead;
        }
        if digest == self.chain.as_bytes() { SyncStatus::Same } else { SyncStatus::Diverged }
    }

    /// Applies the configuration record at `offset` if `prev` is the chain digest before it.
    ///
    /// Returns [`FoldEffect::Gap`] if a record in between is missing.
    pub fn apply_after(&mut self, prev: &Hash, offset: Offset, bytes: &[u8]) -> Applied {
        if offset >= self.next_offset && *prev != self.chain {
            return Applied {
                offset,
                id: None,
                effect: FoldEffect::Gap { next: self.next_offset },
            };
        }
        self.apply(offset, bytes)
    }

    /// Applies the configuration record at `offset`; other records change nothing.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Applied {
        if offset < self.next_offset || !record::is_config(bytes) {
            return Applied { offset, id: None, effect: FoldEffect::AlreadyApplied };
        }
        self.next_offset = offset + 1;
        self.chain = chain::extend(&self.chain, offset, bytes);
        match record::decode(bytes) {
            Ok(record) => {
                let effect = self.apply_record(offset, &record);
                Applied { offset, id: Some(RecordId::of(&record)), effect }
            }
            Err(fault) => Applied { offset, id: None, effect: FoldEffect::Skipped(fault) },
        }
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) -> FoldEffect {
        if !self.writers.admit(record.writer, record.sequence, offset) {
            return FoldEffect::Duplicate;
        }
        let Some(body) = &record.body else {
            return FoldEffect::Skipped(record::Fault::Corrupt);
        };
        let position = RecordPosition { offset, writer: record.writer, sequence: record.sequence };
        let result = record::body::check(body).and_then(|()| self.apply_body(position, body));
        self.record_action(offset, body, result.as_ref().err());
        result.map_or_else(FoldEffect::Refused, FoldEffect::Accepted)
    }

    fn apply_body(&mut self, position: RecordPosition, body: &Body) -> Result<StateSection> {
        match body {
            Body::Change(change) => self.apply_change(change).map(|()| StateSection::Declarations),
            Body::Claim(claim) => self.apply_claim(claim, position).map(|()| StateSection::Leases),
            Body::Renew(renew) => self.apply_renew(renew, position).map(|()| StateSection::Leases),
            Body::Release(release) => {
                self.apply_release(release, position).map(|()| StateSection::Leases)
            }
            Body::MoveBegin(begin) => {
                self.begin_move(begin, position).map(|()| StateSection::Moves)
            }
            Body::MoveCancel(cancel) => self.moves.cancel(cancel).map(|()| StateSection::Moves),
            Body::MoveStep(step) => self.step_move(step, position).map(|()| StateSection::Moves),
            Body::Death(death) => {
                self.quarantine.add_death(position.offset, death);
                Ok(StateSection::Quarantine)
            }
            Body::Clear(clear) => {
                self.quarantine.clear(clear);
                Ok(StateSection::Quarantine)
            }
            Body::Lift(lift) => self.apply_lift(lift).map(|()| StateSection::Quarantine),
            Body::ZoneOrder(order) => {
                self.zones.apply(position.offset, order).map(|()| StateSection::Zones)
            }
            Body::CallGroup(_) | Body::Tick(_) | Body::Chunk(_) => {
                Err(Error::new(ErrorKind::Internal, "not a configuration record"))
            }
        }
    }

    fn apply_change(&mut self, change: &Change) -> Result<()> {
        self.check_no_move(change)?;
        let reset = self.routes_with_new_version(change);
        self.items.apply(change)?;
        for route in reset {
            self.moves.serving.remove(&route);
        }
        let deleted = change.deletes.iter().filter(|delete| delete.kind() == Kind::Route);
        for delete in deleted {
            self.moves.serving.remove(&delete.name);
            self.moves.latest.remove(&delete.name);
        }
        Ok(())
    }

    /// Refuses a change of a route, or of its service's version, while a move of the route is in
    /// progress.
    fn check_no_move(&self, change: &Change) -> Result<()> {
        let conflict = |route: &str| {
            let detail = format!("a version move of route {route} is under way");
            Err(Error::new(ErrorKind::Conflict, detail))
        };
        let puts = change.puts.iter().map(|item| (item.kind(), &item.name));
        let deletes = change.deletes.iter().map(|delete| (delete.kind(), &delete.name));
        for (kind, name) in puts.chain(deletes) {
            if kind == Kind::Route && self.moves.is_open(name) {
                return conflict(name);
            }
        }
        self.routes_with_new_version(change)
            .iter()
            .find(|route| self.moves.is_open(route))
            .map_or(Ok(()), |route| conflict(route))
    }

    /// Returns the routes whose service gets a different version by the change.
    fn routes_with_new_version(&self, change: &Change) -> Vec<RouteId> {
        let services = &self.declarations().services;
        let differs = |name: &str, spec: &str| {
            let version = serde_json::from_str::<serde_json::Value>(spec).ok();
            let version = version.and_then(|spec| Some(spec.get("version")?.as_str()?.to_owned()));
            let current = services.get(name).map(|spec| &spec.version);
            version.as_ref() != current
        };
        let puts = change.puts.iter().filter(|item| item.kind() == Kind::Service);
        let changed = puts.filter(|item| differs(&item.name, &item.spec)).map(|item| &item.name);
        let changed = changed.collect::<Vec<_>>();
        let routes = self.declarations().routes.iter();
        let affected = routes.filter(|(_, route)| changed.contains(&&route.service));
        affected.map(|(name, _)| name.clone()).collect()
    }

    fn apply_claim(&mut self, claim: &Claim, position: RecordPosition) -> Result<()> {
        let lease = Lease::claim(self.leases.get(&claim.name), claim, position)?;
        self.leases.insert(claim.name.clone(), lease);
        self.evict_lease();
        Ok(())
    }

    fn evict_lease(&mut self) {
        if self.leases.len() <= MAX_LEASES {
            return;
        }
        let key = |(name, lease): &(&String, &Lease)| {
            (lease.holder.is_some(), lease.last_offset, (*name).clone())
        };
        if let Some(name) = self.leases.iter().min_by_key(key).map(|(name, _)| name.clone()) {
            self.leases.remove(&name);
        }
    }

    fn apply_renew(&mut self, renew: &Renew, position: RecordPosition) -> Result<()> {
        self.leases.get_mut(&renew.name).ok_or_else(unclaimed)?.renew(renew, position)
    }

    fn apply_release(&mut self, release: &Release, position: RecordPosition) -> Result<()> {
        self.leases.get_mut(&release.name).ok_or_else(unclaimed)?.release(release, position)
    }

    fn begin_move(&mut self, begin: &MoveBegin, position: RecordPosition) -> Result<()> {
        let unknown = || {
            let detail = format!("route {} is not declared", begin.route);
            Error::new(ErrorKind::InvalidDeclaration, detail)
        };
        let serving = self.serving_version(&begin.route).cloned().ok_or_else(unknown)?;
        self.moves.begin(position.offset, begin, &serving)
    }

    fn step_move(&mut self, step: &MoveStep, position: RecordPosition) -> Result<()> {
        let lease = self.leases.get(&move_lease(&step.route));
        if !lease.is_some_and(|lease| lease.is_held_by(position.writer, step.fence)) {
            return Err(Error::new(ErrorKind::Fenced, "step of an older claim"));
        }
        self.moves.step(step).map(|_| ())
    }

    fn apply_lift(&mut self, lift: &Lift) -> Result<()> {
        if self.quarantine.lift(lift) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Conflict, "the digest is not quarantined"))
    }

    /// Adds the operator action for a change, a lift, a zone order or a record of a move.
    fn record_action(&mut self, offset: Offset, body: &Body, error: Option<&Error>) {
        let Some(mut action) = self.new_action(offset, body) else {
            return;
        };
        if let Some(error) = error {
            action = action.with_refusal(error);
        }
        if self.actions.len() == MAX_OPERATOR_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back(action);
    }

    fn new_action(&self, offset: Offset, body: &Body) -> Option<OperatorAction> {
        if let Some((operator, reason)) = body.requested_by() {
            return Some(OperatorAction::new(offset, body.as_str(), operator, reason));
        }
        let Body::MoveStep(step) = body else {
            return None;
        };
        let begin = self.moves.latest.get(&step.route).map(|state| &state.begin);
        let (operator, reason) =
            begin.map_or(("", ""), |begin| (begin.operator.as_str(), begin.reason.as_str()));
        let mut action = OperatorAction::new(offset, body.as_str(), operator, reason);
        action.detail.clone_from(&step.evidence);
        action.verdict = match step.verdict() {
            Verdict::Proceed => format!("share {} ppm", step.share_ppm),
            Verdict::Done => "done".into(),
            Verdict::TakenBack => "taken back".into(),
        };
        Some(action)
    }

    /// Encodes the state; equal states have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        self.image().encode_to_vec()
    }

    /// Decodes a state encoded by [`ConfigState::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ConfigImage::decode(bytes).map_err(|_| corrupt()).and_then(Self::from_image)
    }

    pub(crate) fn image(&self) -> ConfigImage {
        let lease = |(name, lease): (&String, &Lease)| LeaseImage {
            name: name.clone(),
            holder: lease.holder,
            fence: lease.fence,
            last_offset: lease.last_offset,
            sequence: lease.sequence,
            ttl_ms: lease.ttl_ms,
        };
        let serving = |(route, version): (&RouteId, &VersionId)| ServingImage {
            route: route.clone(),
            version: version.clone(),
        };
        ConfigImage {
            next_offset: self.next_offset,
            chain: bytes_of(&self.chain),
            items: self.items.images(),
            revision_floor: self.items.revision_floor(),
            leases: self.leases.iter().map(lease).collect(),
            moves: self.moves.images(),
            serving: self.moves.serving.iter().map(serving).collect(),
            quarantine: Some(self.quarantine.image()),
            actions: self.actions.iter().map(OperatorAction::image).collect(),
            writers: self.writers.image(),
            zones: self.zones.images(),
        }
    }

    pub(crate) fn from_image(image: ConfigImage) -> Result<Self> {
        let chain = <[u8; 32]>::try_from(image.chain.as_ref()).map_err(|_| corrupt())?;
        let serving = image.serving.into_iter().map(|image| (image.route, image.version));
        let lease = |image: LeaseImage| {
            let lease = Lease {
                holder: image.holder,
                fence: image.fence,
                last_offset: image.last_offset,
                sequence: image.sequence,
                ttl_ms: image.ttl_ms,
            };
            (image.name, lease)
        };
        Ok(Self {
            next_offset: image.next_offset,
            chain: Hash::from_bytes(chain),
            items: DeclaredItems::from_images(&image.items, image.revision_floor)?,
            leases: image.leases.into_iter().map(lease).collect(),
            moves: MoveTable::from_images(image.moves, serving.collect()),
            quarantine: Quarantine::from_image(image.quarantine.unwrap_or_default()),
            actions: image.actions.into_iter().map(OperatorAction::from_image).collect(),
            writers: Writers::from_image(image.writers),
            zones: ZoneTable::from_images(image.zones),
        })
    }
}

fn unclaimed() -> Error {
    Error::new(ErrorKind::Fenced, "the lease was never claimed")
}
