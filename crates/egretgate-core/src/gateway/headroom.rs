//! Whether an upstream has headroom for one more request.

use super::share::SlotShare;
use super::upstream::UpstreamState;

/// Returns true if this entry may send one more request to the upstream.
///
/// An entry may always use its own share of the slots, with at most one request waiting at the
/// upstream. It may take any other slot while `margin` slots stay free for entries whose reports
/// are on their way.
pub(super) fn has_headroom(upstream: &UpstreamState, share: SlotShare, margin: u32) -> bool {
    let slots = upstream.listed.slots;
    let running = upstream.running();
    let in_share =
        upstream.own_running < share.slots(&upstream.listed.id, slots) && running <= slots;
    in_share || fits(running, slots, margin)
}

/// Returns true if the upstream has a free slot for a short call besides the margin. A call whose
/// answer is overdue no longer occupies a slot; a stream with a gap between events still does.
pub(super) fn has_free_slot(upstream: &UpstreamState, margin: u32) -> bool {
    fits(upstream.active().saturating_add(upstream.peer_running), upstream.listed.slots, margin)
}

fn fits(running: u32, slots: u32, margin: u32) -> bool {
    running.saturating_add(margin.min(slots / 2)) < slots
}

/// Returns true if the upstream has a free slot besides the `reserved` ones for more urgent
/// requests.
pub(super) fn has_unreserved_slot(upstream: &UpstreamState, reserved: u32) -> bool {
    upstream.running().saturating_add(reserved) < upstream.listed.slots
}
