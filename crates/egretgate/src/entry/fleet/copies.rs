//! Copies of a suspect, which must have ended before it starts again.

use std::time::Instant;

use egretgate_core::Digest;
use egretgate_core::copy_check::CheckResult;
use egretgate_core::poison::QuarantineState;
use slog::info;
use tokio::sync::oneshot;

use super::{Fleet, LinkKey};
use crate::entry::link::LinkMessage;

impl Fleet {
    /// Starts a request, or begins a check of every side process of its service if it is a suspect.
    pub(super) fn start_copy(
        &mut self,
        digest: Digest,
        state: QuarantineState,
        service: &str,
        reply: oneshot::Sender<bool>,
    ) {
        if state == QuarantineState::Clear || self.copies.contains(&digest) {
            return self.reply_start(digest, state, reply);
        }
        let serves = |identity: &super::sides::SideIdentity| identity.service == service;
        let asked = self
            .sides
            .iter()
            .filter(|(_, side)| side.connected && side.identity.as_ref().is_some_and(serves));
        let asked: Vec<LinkKey> = asked.map(|(key, _)| key).collect();
        for key in &asked {
            self.send_to_side(*key, LinkMessage::CopyQuery(digest));
        }
        let ended = self.copy_checks.begin(digest, asked, reply, Instant::now());
        self.end_copy_checks(ended);
    }

    /// Starts the suspects whose checks have ended without a copy, and refuses the others.
    pub(super) fn end_copy_checks(
        &mut self,
        ended: impl IntoIterator<Item = CheckResult<oneshot::Sender<bool>>>,
    ) {
        for CheckResult { digest, requester, is_clear } in ended {
            if is_clear {
                self.reply_start(digest, QuarantineState::Suspect, requester);
            } else {
                info!(self.log, "suspect held back"; "digest" => digest.to_string());
                let _ = requester.send(false);
            }
        }
    }

    fn reply_start(
        &mut self,
        digest: Digest,
        state: QuarantineState,
        reply: oneshot::Sender<bool>,
    ) {
        let is_started = self.copies.start(digest, state);
        if reply.send(is_started).is_err() && is_started {
            self.copies.end(&digest);
        }
    }
}
