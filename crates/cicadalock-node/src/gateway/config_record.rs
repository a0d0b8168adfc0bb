use std::sync::Arc;

use cicadalock_core::serving::ServingConfig;

/// The configuration in force, and what the store shows beside it.
///
/// An older version is never taken. After the store came back from an older copy, the version in force may
/// have been written again with other contents; they are taken once.
#[derive(Debug, Default)]
pub(super) struct ConfigRecord {
    in_force: Option<Arc<ServingConfig>>,
    /// Contents that were replaced under the version in force, and must not come back with a copy.
    replaced: Vec<Arc<ServingConfig>>,
    may_be_rewritten: bool,
    /// Version that the store showed last.
    shown: Option<u64>,
    is_behind: bool,
}

/// How the version that the store shows compares with the one in force, once that has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigCourse {
    /// The store shows an older version.
    Behind {
        /// Version in force.
        version: u64,
        /// Version that the store shows.
        shown: u64,
    },
    /// The store shows the version in force or a newer one again.
    CaughtUp {
        /// Version in force.
        version: u64,
    },
}

impl ConfigRecord {
    /// Records that the store came back from an older copy.
    pub(super) const fn begin_era(&mut self) {
        self.may_be_rewritten = true;
    }

    /// Records a configuration that the store shows, and returns it if it is to be in force.
    pub(super) fn offer(&mut self, config: ServingConfig) -> Option<Arc<ServingConfig>> {
        self.shown = Some(config.version());
        let config = Arc::new(config);
        match self.in_force.take() {
            None => {}
            Some(known) if config.version() > known.version() => self.replaced.clear(),
            Some(known) if self.is_rewritten(&known, &config) => self.replaced.push(known),
            Some(known) => {
                self.in_force = Some(known);
                return None;
            }
        }
        self.may_be_rewritten = false;
        self.in_force = Some(Arc::clone(&config));
        Some(config)
    }

    /// Returns whether the version that the store showed last is older than the one in force.
    pub(super) fn shows_older(&self) -> bool {
        let version = self.in_force.as_ref().map(|config| config.version());
        self.shown < version
    }

    fn is_rewritten(&self, known: &ServingConfig, config: &Arc<ServingConfig>) -> bool {
        self.may_be_rewritten
            && config.version() == known.version()
            && **config != *known
            && !self.replaced.contains(config)
    }

    /// Returns whether the store fell behind the version in force, or caught up, since the last call.
    pub(super) fn take_course(&mut self) -> Option<ConfigCourse> {
        let version = self.in_force.as_ref()?.version();
        let shown = self.shown?;
        if self.shows_older() == self.is_behind {
            return None;
        }
        self.is_behind = self.shows_older();
        Some(if self.is_behind {
            ConfigCourse::Behind { version, shown }
        } else {
            ConfigCourse::CaughtUp { version }
        })
    }
}
