//! Whether an upstream has room for one more request.

use super::share::Share;
use super::standing::Standing;

/// Part of an upstream's slots that stay free of requests while more urgent ones are refused
/// elsewhere: enough that the entries which refuse see room.
const KEPT_FREE: f64 = 1.0 / 3.0;

/// Returns true if this entry may send one more request to the upstream.
///
/// Its own part of the slots is its to use, with one request waiting at the upstream at most. Any
/// other slot may be taken while `margin` slots stay free for entries whose reports are on their
/// way.
pub(super) fn has_room(standing: &Standing, share: Share, margin: u32) -> bool {
    let slots = standing.listed.slots;
    let used = standing.own + standing.others;
    let own = standing.own < share.slots(&standing.listed.id, slots) && used <= slots;
    own || used + margin.min(slots / 2) < slots
}

/// Returns true if the upstream has room to spare beside more urgent requests.
pub(super) fn has_spare(standing: &Standing) -> bool {
    let slots = f64::from(standing.listed.slots);
    f64::from(standing.own + standing.others) < (slots * (1.0 - KEPT_FREE)).floor()
}
