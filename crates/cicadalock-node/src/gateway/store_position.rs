use cicadalock_core::id::{Revision, StoreEra};

/// How far the store has been read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StorePosition {
    /// Era of the store, within which revisions only rise; `None` if it has never been named.
    pub era: Option<StoreEra>,
    /// Revision up to which all changes are known.
    pub revision: Revision,
}

/// What an answer says about the store since it was read up to a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreCourse {
    /// The store goes on from the position, as far as the answer tells.
    Forward,
    /// Its revision went back in the same era, or in an unknown one.
    RevisionBack,
    /// It is in another era: the same revision stands for something else.
    OtherEra,
}

/// The store came back from an older copy, and everything was read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRestore {
    /// How far the store had been read before.
    pub former: StorePosition,
    /// How far it has been read now.
    pub present: StorePosition,
}

impl StoreRestore {
    /// Returns whether the copy has a higher revision than the one read before.
    pub(super) fn is_ahead(&self) -> bool {
        self.present.revision > self.former.revision
    }
}

impl StorePosition {
    /// Compares an answer of the store with this position.
    ///
    /// An answer that names no era says nothing about it.
    pub(super) fn course(self, era: Option<StoreEra>, revision: Revision) -> StoreCourse {
        if era.is_some() && era != self.era {
            return StoreCourse::OtherEra;
        }
        if revision < self.revision {
            return StoreCourse::RevisionBack;
        }
        StoreCourse::Forward
    }
}
