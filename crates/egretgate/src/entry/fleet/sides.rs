//! Side processes: their links, membership and load reports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::choice::{LoadReport, Upstream, UpstreamKey};
use egretgate_core::gate::Signal;
use egretgate_core::membership::{Listing, MembershipChange as Change};
use egretgate_core::{Incarnation, ServiceId, Tier, UpstreamId, ZoneId};
use egretgate_link::message::{DeathReport, Heartbeat, Load, Welcome};
use egretgate_platform::{Instance, InstanceState};
use slog::{info, warn};
use tokio::sync::mpsc;

use super::{Fleet, LinkKey, SideStatus};
use crate::entry::journal::JournalMessage;
use crate::entry::link::{LINK_CHANNEL_CAPACITY, Link, LinkMessage};

/// A side process in the instance list, or one that is still connected.
#[derive(Debug)]
pub(super) struct SideProcess {
    pub(super) name: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) messages: mpsc::Sender<LinkMessage>,
    /// Set once the side process has sent its first [`Welcome`].
    pub(super) identity: Option<SideIdentity>,
    pub(super) connected: bool,
    pub(super) offset: u64,
    pub(super) digest: Bytes,
    /// Time of the last load report, or of the first listing before any report.
    pub(super) last_report: Instant,
}

/// Identity of a side process, from its [`Welcome`].
#[derive(Debug, Clone)]
pub(super) struct SideIdentity {
    pub(super) key: UpstreamKey,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneId,
    pub(super) service: ServiceId,
}

impl Fleet {
    pub(super) fn handle_up(&mut self, key: LinkKey, welcome: Welcome) {
        let Some(side) = self.sides.get_mut(key) else { return };
        side.connected = true;
        let upstream = Upstream {
            id: side.name.clone(),
            zone: welcome.zone.clone(),
            service: welcome.service.clone(),
            versions: welcome.versions.clone(),
        };
        let upstream_key = match &side.identity {
            Some(identity) if identity.service == welcome.service => {
                self.choice.set_versions(identity.key, upstream.versions);
                identity.key
            }
            _ => self.choice.insert(upstream),
        };
        side.identity = Some(SideIdentity {
            key: upstream_key,
            incarnation: welcome.incarnation,
            zone: welcome.zone,
            service: welcome.service,
        });
        let _ = side.messages.try_send(LinkMessage::Heartbeat(self.heartbeat.clone()));
        self.by_upstream.insert(upstream_key, key);
        self.handle_load(key, &welcome.load.unwrap_or_default());
    }

    pub(super) fn handle_down(&mut self, key: LinkKey) {
        let Some(side) = self.sides.get_mut(key) else { return };
        side.connected = false;
        let ended = self.copy_checks.remove_upstream(key);
        self.end_copy_checks(ended);
        let Some(side) = self.sides.get(key) else { return };
        let Some(identity) = side.identity.clone() else { return };
        let name = side.name.clone();
        let changes = self.membership.record_disconnect(&name, identity.incarnation);
        self.log_changes(&changes);
        self.update_weight(&name, identity.key);
    }

    pub(super) fn handle_leaving(&mut self, key: LinkKey) {
        let Some(side) = self.sides.get(key) else { return };
        let Some(identity) = side.identity.clone() else { return };
        let name = side.name.clone();
        let changes = self.membership.record_goodbye(&name, identity.incarnation);
        self.log_changes(&changes);
        self.update_weight(&name, identity.key);
    }

    pub(super) fn handle_load(&mut self, key: LinkKey, load: &Load) {
        let now = Instant::now();
        let Some(side) = self.sides.get_mut(key) else { return };
        let Some(identity) = side.identity.clone() else { return };
        let name = side.name.clone();
        side.last_report = now;
        side.offset = load.offset;
        side.digest = load.digest.clone();
        let changes =
            self.membership.record_heartbeat(&name, &identity.zone, identity.incarnation, now);
        self.log_changes(&changes);
        let report = report_of(load);
        self.choice.record_report(identity.key, report, now);
        let signal = Signal { lowest_tier: report.lowest_tier, shed_tier: report.shed_tier };
        self.gate(&identity.service).record_signal(identity.key, signal, now);
        if !self.traffic.is_empty() {
            self.samples.merge(identity.incarnation, &load.samples);
        }
        self.update_weight(&name, identity.key);
    }

    /// Sets the weight of an upstream in the choice, according to its membership state.
    pub(super) fn update_weight(&mut self, name: &str, key: UpstreamKey) {
        let weight = self.membership.weight(name, Instant::now());
        self.choice.set_weight(key, weight);
    }

    pub(super) fn handle_death(&mut self, key: LinkKey, report: DeathReport) {
        let Some(id) = self.sides.get(key).and_then(|side| side.identity.as_ref()) else { return };
        let message = JournalMessage::Death { key, incarnation: id.incarnation, report };
        self.send_to_journal(message);
    }

    /// Sends to the journal without waiting, since the journal sometimes waits for this task.
    /// Returns false if the message was dropped. That does no lasting harm: side processes repeat
    /// their requests and death reports.
    pub(super) fn send_to_journal(&self, message: JournalMessage) -> bool {
        self.journal.try_send(message).is_ok()
    }

    pub(super) fn send_to_side(&self, key: LinkKey, message: LinkMessage) {
        if let Some(side) = self.sides.get(key) {
            let _ = side.messages.try_send(message);
        }
    }

    pub(super) fn broadcast(&self, message: impl Fn() -> LinkMessage) {
        for side in self.sides.values() {
            let _ = side.messages.try_send(message());
        }
    }

    /// Sends a heartbeat to every side process at once, so that those behind request the new
    /// records.
    pub(super) fn broadcast_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.heartbeat = heartbeat;
        self.broadcast(|| LinkMessage::Heartbeat(self.heartbeat.clone()));
    }

    pub(super) fn handle_listing(&mut self, instances: &[Instance]) {
        for instance in instances {
            let known = self
                .sides
                .values()
                .any(|side| side.name == instance.name && side.address == instance.address);
            if !known {
                self.add_side(instance);
            }
            let listing = match instance.state {
                InstanceState::Live => Listing::Live,
                InstanceState::Leaving => Listing::Leaving,
            };
            let changes = self.membership.record_listing(&instance.name, listing, Instant::now());
            self.log_changes(&changes);
        }
        self.remove_unlisted(instances);
        self.update_weights();
    }

    pub(super) fn add_side(&mut self, instance: &Instance) {
        let (messages, receiver) = mpsc::channel(LINK_CHANNEL_CAPACITY);
        let side = SideProcess {
            name: instance.name.clone(),
            address: instance.address,
            messages,
            identity: None,
            connected: false,
            offset: 0,
            digest: Bytes::new(),
            last_report: Instant::now(),
        };
        let key = self.sides.insert(side);
        let link = Link::new(
            key,
            instance.address,
            self.identity.clone(),
            receiver,
            self.self_sender.clone(),
        );
        tokio::spawn(link.run());
        info!(self.log, "side process listed";
            "upstream" => &instance.name, "address" => instance.address);
    }

    /// Removes side processes that are neither listed nor connected. A connected one stays: its
    /// absence from a list that lost data proves nothing.
    pub(super) fn remove_unlisted(&mut self, instances: &[Instance]) {
        let unlisted: Vec<LinkKey> = self
            .sides
            .iter()
            .filter(|(_, side)| !side.connected)
            .filter(|(_, side)| {
                !instances
                    .iter()
                    .any(|instance| instance.name == side.name && instance.address == side.address)
            })
            .map(|(key, _)| key)
            .collect();
        for key in unlisted {
            let Some(side) = self.sides.remove(key) else { continue };
            let _ = side.messages.try_send(LinkMessage::Stop);
            let Some(identity) = side.identity else { continue };
            self.by_upstream.remove(&identity.key);
            self.choice.remove(identity.key);
            self.gate(&identity.service).remove(identity.key);
        }
    }

    pub(super) fn tick(&mut self) {
        let changes = self.membership.tick(Instant::now());
        self.log_changes(&changes);
        self.update_weights();
        let ended = self.copy_checks.expire(Instant::now());
        self.end_copy_checks(ended);
        self.report_evidence();
    }

    pub(super) fn update_weights(&mut self) {
        let upstreams: Vec<(UpstreamId, UpstreamKey)> = self
            .sides
            .values()
            .filter_map(|side| Some((side.name.clone(), side.identity.as_ref()?.key)))
            .collect();
        for (name, key) in upstreams {
            self.update_weight(&name, key);
        }
    }

    pub(super) fn log_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Joined(name) => info!(self.log, "upstream joined"; "upstream" => name),
                Change::Suspected(name) => {
                    warn!(self.log, "upstream suspected"; "upstream" => name);
                }
                Change::Left(name) => info!(self.log, "upstream leaving"; "upstream" => name),
                Change::Died(name) => warn!(self.log, "upstream died"; "upstream" => name),
                Change::ZoneUnreachable(zone) => warn!(self.log, "zone cut"; "zone" => zone),
                Change::ZoneReachable(zone) => info!(self.log, "zone back"; "zone" => zone),
            }
        }
    }

    fn reported_requests(&self, side: &SideProcess) -> u32 {
        let view = side.identity.as_ref().and_then(|identity| self.choice.view(identity.key));
        view.map_or(0, |view| view.report().queued + view.report().running)
    }

    pub(super) fn status(&self) -> Vec<SideStatus> {
        let status = |side: &SideProcess| SideStatus {
            upstream: side.name.clone(),
            offset: side.offset,
            digest: side.digest.clone(),
            connected: side.connected,
            zone: side.identity.as_ref().map(|identity| identity.zone.clone()).unwrap_or_default(),
            age: side.last_report.elapsed(),
            requests: self.reported_requests(side),
        };
        self.sides.values().map(status).collect()
    }
}

fn report_of(load: &Load) -> LoadReport {
    let rank = |plus_one: u32| plus_one.checked_sub(1).map(|rank| rank as Tier);
    LoadReport {
        queued: load.queued,
        running: load.running,
        limit: load.limit,
        pending_tokens: load.waiting_tokens,
        first_token: Duration::from_micros(load.first_us),
        inter_token: Duration::from_micros(load.between_us),
        lowest_tier: rank(load.lowest),
        shed_tier: rank(load.shed),
        healthy: load.healthy,
    }
}
