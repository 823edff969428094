//! Whether an upstream has room for one more request.

use super::share::SlotShare;
use super::upstream::UpstreamState;

/// Returns true if this entry may send one more request to the upstream.
///
/// Its own part of the slots is its to use, with one request waiting at the upstream at most. Any
/// other slot may be taken while `margin` slots stay free for entries whose reports are on their
/// way.
pub(super) fn has_room(standing: &UpstreamState, share: SlotShare, margin: u32) -> bool {
    let slots = standing.listed.slots;
    let used = standing.own_running + standing.peer_running;
    let own = standing.own_running < share.slots(&standing.listed.id, slots) && used <= slots;
    own || is_free(used, slots, margin)
}

/// Returns true if the upstream has a free slot besides the margin for a short call. One whose
/// answer is overdue holds no slot any more; a stream that pauses still does.
pub(super) fn has_free_slot(standing: &UpstreamState, margin: u32) -> bool {
    is_free(standing.active() + standing.peer_running, standing.listed.slots, margin)
}

fn is_free(used: u32, slots: u32, margin: u32) -> bool {
    used + margin.min(slots / 2) < slots
}

/// Returns true if the upstream has room besides `left` slots for more urgent requests.
pub(super) fn has_unreserved_slot(standing: &UpstreamState, left: u32) -> bool {
    standing.own_running + standing.peer_running + left < standing.listed.slots
}
