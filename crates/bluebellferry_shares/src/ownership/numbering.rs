//! The numbers of an allocator's lists. Members use the list with the highest number that they
//! have received.
//!
//! Lists are numbered in series. A new series begins where no responsive member has a list, for
//! example after all of them have restarted. Its numbers are higher than those of the series
//! before, of which an unresponsive member may still have a list. Two allocators on the sides of a
//! cut never give the same number to two lists, so that one list prevails afterwards.
//!
//! The bits of a number are, from the highest: the time at which the series began, the position of
//! the list in the series, and the tag of the allocator.

/// The bits of an allocator's tag.
const TAG_BITS: u32 = 8;
/// The bits of a list's position in its series, and of the tag.
const INDEX_BITS: u32 = 30;
/// The bits by which the wall-clock time, in milliseconds, is shifted to give the time of a series.
/// All members of a group do not restart twice within 256 ms.
const SERIES_TIME_SHIFT: u32 = 8;

/// The process that numbers lists.
#[derive(Debug, Clone, Copy)]
pub struct ListAllocator {
    /// The wall-clock time of the start, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// A random tag.
    pub tag: u8,
}

impl ListAllocator {
    /// Returns the number of the next list. `known_number` is the highest known number of a list,
    /// or 0 if there is none.
    pub const fn next_number(self, known_number: u64) -> u64 {
        let before = if known_number == 0 {
            (self.started_unix_ms >> SERIES_TIME_SHIFT) << INDEX_BITS
        } else {
            known_number
        };
        (((before >> TAG_BITS) + 1) << TAG_BITS) | self.tag as u64
    }
}

/// Returns the index of a list within its series, which orders its lists; 0 if there is no list.
pub const fn index_in_series(number: u64) -> u64 {
    number & ((1 << INDEX_BITS) - 1)
}

/// Returns the index of a list within the series of another list; 0 if it is not of that series.
pub const fn index_in_series_of(other: u64, number: u64) -> u64 {
    if number >> INDEX_BITS == other >> INDEX_BITS {
        index_in_series(number)
    } else {
        0
    }
}

/// Returns whether a list is the first of its series.
pub const fn is_first(number: u64) -> bool {
    index_in_series(number) >> TAG_BITS == 1
}

/// Returns whether no list can have been announced between two lists.
pub const fn are_consecutive(number: u64, next: u64) -> bool {
    number >> TAG_BITS != 0 && (number >> TAG_BITS) + 1 == next >> TAG_BITS
}
