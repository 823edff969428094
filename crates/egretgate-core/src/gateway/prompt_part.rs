//! Parts of prompts, which requests may share.

use super::peer::name_hash;

/// Hash of the id of a part of a prompt.
pub type PartHash = u64;

/// Returns the hash of a part's id.
pub fn part_hash(id: &str) -> PartHash {
    name_hash(id)
}
