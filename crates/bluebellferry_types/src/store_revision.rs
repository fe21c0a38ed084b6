//! Revisions of the store, which are comparable within one era only.

/// The number of low bits that hold a store's own revision.
const NUMBER_BITS: u32 = 40;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// An era of the store. Each return of the store from an older copy begins a new one: what was
/// written since the copy was made is lost, and revisions are given out again.
///
/// Only the low 24 bits of an era are kept. Era 0 stands for a store that reports none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates an era from the number that the store reports.
    pub const fn new(era: u64) -> Self {
        Self(era & (u64::MAX >> NUMBER_BITS))
    }

    /// Returns the number of the era.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// A revision of the store with its era. Revisions of a later era are higher, since the store gave
/// them out later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Creates the revision that the store calls `number` in an era.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number & NUMBER_MASK)
    }

    /// Returns the revision from its packed form.
    pub const fn from_packed(packed: u64) -> Self {
        Self(packed)
    }

    /// Returns the era and the number as one integer, which orders revisions.
    pub const fn packed(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// Returns the number by which the store knows the revision in its era.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }
}
