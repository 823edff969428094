//! Detection of duplicate records by writer and sequence, in bounded memory.

use std::collections::BTreeMap;

use crate::fold::image::WriterImage;
use crate::ids::{Incarnation, Offset};

/// Number of log offsets after its last record at which a writer is forgotten.
const MAX_SILENT_OFFSETS: Offset = 4_000_000;
/// Largest number of writers remembered; beyond it the one with the oldest last record is
/// forgotten.
const MAX_WRITERS: usize = 16_384;

/// Sequence and offset of each writer's last record.
#[derive(Debug, Clone, Default)]
pub(crate) struct Writers {
    last: BTreeMap<Incarnation, LastRecord>,
    /// Writers by the offset of their last record.
    by_offset: BTreeMap<Offset, Incarnation>,
}

#[derive(Debug, Clone, Copy)]
struct LastRecord {
    sequence: u64,
    offset: Offset,
}

impl Writers {
    /// Records the sequence of a writer's record; returns false if the record is a duplicate.
    pub(crate) fn admit(&mut self, writer: Incarnation, sequence: u64, offset: Offset) -> bool {
        self.evict(offset);
        let last = self.last.get(&writer).copied();
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        if let Some(last) = last {
            self.by_offset.remove(&last.offset);
        }
        self.insert(writer, LastRecord { sequence, offset });
        true
    }

    fn insert(&mut self, writer: Incarnation, last: LastRecord) {
        self.last.insert(writer, last);
        self.by_offset.insert(last.offset, writer);
    }

    fn evict(&mut self, offset: Offset) {
        while let Some((&oldest, &writer)) = self.by_offset.first_key_value() {
            if oldest + MAX_SILENT_OFFSETS >= offset && self.last.len() <= MAX_WRITERS {
                return;
            }
            self.by_offset.remove(&oldest);
            self.last.remove(&writer);
        }
    }

    pub(crate) fn image(&self) -> Vec<WriterImage> {
        let image = |(&writer, last): (&Incarnation, &LastRecord)| WriterImage {
            writer,
            sequence: last.sequence,
            offset: last.offset,
        };
        self.last.iter().map(image).collect()
    }

    pub(crate) fn from_image(images: Vec<WriterImage>) -> Self {
        let mut writers = Self::default();
        for image in images {
            let last = LastRecord { sequence: image.sequence, offset: image.offset };
            writers.insert(image.writer, last);
        }
        writers
    }
}
