//! Version moves: the entry that holds a move's lease judges the evidence and records each step.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use egretgate_core::moves::{
    Budget, Cap, Controller, Decision, Evidence, FULL_SHARE_PPM, Finding, MovePlan, Progress,
    TakeBackReason,
};
use egretgate_core::record::body::{MoveStep, Verdict};
use egretgate_core::record::{Body, MAX_TEXT_BYTES};
use egretgate_core::{RouteId, fold};
use slog::info;

use crate::entry::fleet::{FleetMessage, RouteSplit};
use crate::entry::journal::Journal;

/// Parts per million.
const PPM: f64 = 1e6;

/// This entry's measurements of one version move, which are not in the log.
#[derive(Debug)]
struct TrackedMove {
    /// Last step read from the log.
    step: u32,
    /// When this entry read that step.
    step_started: SystemTime,
    evidence: Evidence,
}

/// The open version moves.
#[derive(Debug, Default)]
pub(super) struct TrackedMoves {
    by_route: BTreeMap<RouteId, TrackedMove>,
}

impl TrackedMoves {
    /// Updates the tracked moves from the state. A new window of evidence starts at each new step.
    fn sync<'a>(&mut self, moves: impl Iterator<Item = &'a fold::VersionMove>, now: SystemTime) {
        let mut by_route = BTreeMap::new();
        for version_move in moves.filter(|version_move| version_move.is_open()) {
            let tracked = self.by_route.remove(&version_move.begin.route);
            let mut tracked = tracked.unwrap_or_else(|| TrackedMove {
                step: version_move.step,
                step_started: now,
                evidence: Evidence::default(),
            });
            if tracked.step != version_move.step {
                tracked.step = version_move.step;
                tracked.step_started = now;
                tracked.evidence.start_window();
            }
            by_route.insert(version_move.begin.route.clone(), tracked);
        }
        self.by_route = by_route;
    }

    /// Merges measurements of side processes into every move.
    pub(super) fn merge(&mut self, evidence: &Evidence) {
        for tracked in self.by_route.values_mut() {
            tracked.evidence.merge_all(evidence);
        }
    }
}

impl Journal {
    /// Tells the fleet how the traffic of each route with an open move is split.
    pub(super) async fn publish_splits(&mut self) {
        self.tracked_moves.sync(self.state.config().moves().values(), SystemTime::now());
        let splits = self
            .state
            .config()
            .moves()
            .values()
            .filter(|version_move| version_move.is_open() && version_move.step > 0)
            .filter_map(|version_move| {
                let tracked = self.tracked_moves.by_route.get(&version_move.begin.route)?;
                let plan = self.plan_of(version_move)?;
                let progress =
                    Progress::at_step(version_move.step as usize - 1, tracked.step_started);
                Some(RouteSplit { route: version_move.begin.route.clone(), plan, progress })
            })
            .collect();
        let _ = self.fleet.send(FleetMessage::Splits(splits)).await;
    }

    /// Judges each move whose lease this entry holds, and appends the next step if one is decided.
    pub(super) fn advance_moves(&mut self) {
        if !self.config_outbox.is_idle() {
            return;
        }
        let routes: Vec<RouteId> = self.tracked_moves.by_route.keys().cloned().collect();
        for route in routes {
            let Some(step) = self.next_step(&route) else { continue };
            info!(self.log, "version move";
                "route" => &route, "step" => step.step, "share_ppm" => step.share_ppm,
                "verdict" => format!("{:?}", step.verdict()));
            if self.config_outbox.push(Body::MoveStep(step)).is_ok() {
                self.send_config();
            }
        }
    }

    fn next_step(&self, route: &str) -> Option<MoveStep> {
        let fencing_number = self.leases.fencing_number(route, Instant::now())?;
        let version_move = self.state.config().moves().get(route)?;
        let tracked = self.tracked_moves.by_route.get(route)?;
        let plan = self.plan_of(version_move)?;
        let (verdict, share, evidence) = if version_move.step == 0 {
            (Verdict::Proceed, plan.share(0), "started".to_owned())
        } else {
            let progress = Progress::at_step(version_move.step as usize - 1, tracked.step_started);
            let now = SystemTime::now();
            match Controller.decide(&plan, progress, &tracked.evidence, now) {
                Decision::Hold => return None,
                Decision::Step { share, .. } => (Verdict::Proceed, share, "enough".to_owned()),
                Decision::TakeBack(reason, findings) => {
                    (Verdict::TakenBack, 0, describe(reason_text(&reason), &findings))
                }
                Decision::Done(findings) => {
                    (Verdict::Done, FULL_SHARE_PPM, describe("proven", &findings))
                }
            }
        };
        Some(MoveStep {
            route: route.to_owned(),
            fence: fencing_number,
            step: version_move.step + 1,
            share_ppm: share,
            verdict: verdict.into(),
            evidence,
        })
    }

    fn plan_of(&self, version_move: &fold::VersionMove) -> Option<MovePlan> {
        let begin = &version_move.begin;
        let declared = self.state.config().declarations();
        let margin = f64::from(begin.budget_ppm) / PPM;
        let default = Budget::default();
        let or_default = |value: f64| if margin > 0.0 { margin } else { value };
        let start = UNIX_EPOCH + Duration::from_millis(begin.begin_ms);
        let end = UNIX_EPOCH + Duration::from_millis(begin.end_ms);
        let duration = end.duration_since(start).unwrap_or_default();
        let dwell = default.min_dwell.min(duration / (4 * begin.steps.len().max(1) as u32));
        Some(MovePlan {
            service: declared.routes.get(&begin.route)?.service.clone(),
            routes: vec![begin.route.clone()],
            from: begin.from.clone(),
            to: begin.to.clone(),
            steps: begin.steps.clone(),
            cap: Cap::InFlight(begin.cap.max(1)),
            budget: Budget {
                errors: or_default(default.errors),
                slow_first_token: or_default(default.slow_first_token),
                slow_inter_token: or_default(default.slow_inter_token),
                min_dwell: dwell,
                ..default
            },
            begin: start,
            end,
        })
    }
}

fn reason_text(reason: &TakeBackReason) -> &'static str {
    match reason {
        TakeBackReason::Worse => "worse",
        TakeBackReason::Stopped(_) => "stopped",
        TakeBackReason::Unproven => "unproven at the end time",
    }
}

fn describe(summary: &str, findings: &[Finding]) -> String {
    let mut text = summary.to_owned();
    for finding in findings {
        let line = format!("; {finding}");
        if text.len() + line.len() > MAX_TEXT_BYTES {
            break;
        }
        text.push_str(&line);
    }
    text
}
