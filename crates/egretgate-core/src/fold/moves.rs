//! State of version moves.

use std::collections::BTreeMap;

use crate::error::{Error, ErrorKind, Result};
use crate::fold::image::MoveImage;
use crate::ids::{Offset, RouteId, VersionId};
use crate::record::body::{MoveBegin, MoveCancel, MoveStep, Verdict};

/// State of a route's latest version move.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionMove {
    /// Offset of the record that began it.
    pub offset: Offset,
    /// The operator's request.
    pub begin: MoveBegin,
    /// Number of steps accepted so far.
    pub step: u32,
    /// Share of the new version, in millionths.
    pub share_ppm: u32,
    /// Decision of the last step.
    pub verdict: Verdict,
    /// Evidence of the last step.
    pub evidence: String,
}

/// Latest move of each route, and the versions that completed moves brought into service.
#[derive(Debug, Clone, Default)]
pub(crate) struct MoveTable {
    pub(crate) latest: BTreeMap<RouteId, VersionMove>,
    pub(crate) serving: BTreeMap<RouteId, VersionId>,
}

impl VersionMove {
    /// Returns true until the move is done or taken back.
    pub fn is_open(&self) -> bool {
        self.verdict == Verdict::Proceed
    }

    /// Applies a step, or returns the reason for refusing it.
    fn advance(&mut self, step: &MoveStep) -> Result<()> {
        if !self.is_open() {
            return Err(Error::new(ErrorKind::Conflict, "the move has ended"));
        }
        if step.step != self.step + 1 {
            let detail = format!("the move is at step {}", self.step);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        self.step = step.step;
        self.verdict = step.verdict();
        self.evidence.clone_from(&step.evidence);
        self.share_ppm = match self.verdict {
            Verdict::Proceed => step.share_ppm.min(1_000_000),
            Verdict::Done => 1_000_000,
            Verdict::TakenBack => 0,
        };
        Ok(())
    }

    fn image(&self) -> MoveImage {
        MoveImage {
            offset: self.offset,
            begin: Some(self.begin.clone()),
            step: self.step,
            share_ppm: self.share_ppm,
            verdict: self.verdict as i32,
            evidence: self.evidence.clone(),
        }
    }

    fn from_image(image: MoveImage) -> Option<Self> {
        Some(Self {
            offset: image.offset,
            step: image.step,
            share_ppm: image.share_ppm,
            verdict: image.verdict(),
            begin: image.begin?,
            evidence: image.evidence,
        })
    }
}

impl MoveTable {
    /// Returns true while a move of the route is in progress.
    pub(crate) fn is_open(&self, route: &str) -> bool {
        self.latest.get(route).is_some_and(VersionMove::is_open)
    }

    /// Starts a move; `serving` is the version that serves the route now.
    pub(crate) fn begin(&mut self, offset: Offset, begin: &MoveBegin, serving: &str) -> Result<()> {
        if self.is_open(&begin.route) {
            return Err(Error::new(ErrorKind::Conflict, "a move of this route is under way"));
        }
        if begin.from != serving {
            let detail = format!("version {serving} serves route {}", begin.route);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        if begin.from == begin.to {
            return Err(Error::new(ErrorKind::InvalidDeclaration, "both versions are the same"));
        }
        let state = VersionMove {
            offset,
            begin: begin.clone(),
            step: 0,
            share_ppm: 0,
            verdict: Verdict::Proceed,
            evidence: String::new(),
        };
        self.latest.insert(begin.route.clone(), state);
        Ok(())
    }

    /// Applies a step and returns the move after it, or the reason for refusing the step.
    pub(crate) fn step(&mut self, step: &MoveStep) -> Result<&VersionMove> {
        let missing = || Error::new(ErrorKind::Conflict, "no move of this route");
        let state = self.latest.get_mut(&step.route).ok_or_else(missing)?;
        state.advance(step)?;
        if state.verdict == Verdict::Done {
            self.serving.insert(step.route.clone(), state.begin.to.clone());
        }
        Ok(state)
    }

    /// Takes a move back at an operator's request, or returns the reason for refusing it.
    pub(crate) fn cancel(&mut self, cancel: &MoveCancel) -> Result<()> {
        let none = || Error::new(ErrorKind::Conflict, "no move of this route is under way");
        let state = self.latest.get_mut(&cancel.route).filter(|state| state.is_open());
        let state = state.ok_or_else(none)?;
        state.verdict = Verdict::TakenBack;
        state.share_ppm = 0;
        state.evidence = format!("cancelled by {}: {}", cancel.operator, cancel.reason);
        Ok(())
    }

    pub(crate) fn images(&self) -> Vec<MoveImage> {
        self.latest.values().map(VersionMove::image).collect()
    }

    pub(crate) fn from_images(
        images: Vec<MoveImage>,
        serving: BTreeMap<RouteId, VersionId>,
    ) -> Self {
        let moves = images.into_iter().filter_map(VersionMove::from_image);
        let latest = moves.map(|state| (state.begin.route.clone(), state)).collect();
        Self { latest, serving }
    }
}
