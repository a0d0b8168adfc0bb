use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{ConfigText, Finding, FleetConfig};
use crate::collect::SortedMap;

/// A published configuration: one base text and the overlays of all sites under one revision.
///
/// Every process validates the whole release, not only its own site, so that all processes accept
/// or reject it alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRelease {
    base: ConfigText,
    overlays: SortedMap<String, ConfigText>,
}

/// Reason why a published text cannot be parsed as a release.
#[derive(Debug, Snafu)]
pub enum ReleaseError {
    /// The text is not valid JSON.
    #[snafu(display("the release is not valid JSON: {source}"))]
    NotJson {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A field is missing or is not a string.
    #[snafu(display("release field `{part}` is missing or not a string"))]
    MissingText {
        /// Dotted path of the field.
        part: String,
    },
}

impl ConfigRelease {
    /// Creates a release without overlays.
    #[must_use]
    pub const fn new(base: ConfigText) -> Self {
        Self {
            base,
            overlays: SortedMap::new(),
        }
    }

    /// Adds the overlay of `site`, replacing an earlier one.
    #[must_use]
    pub fn overlay(mut self, site: &str, overlay: ConfigText) -> Self {
        self.overlays.insert(site.to_owned(), overlay);
        self
    }

    /// Parses a published text: a JSON object with the string `base` and the object `overlays`,
    /// which maps sites to strings. `overlays` may be absent.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if `base` or an overlay is not a string.
    pub fn parse(text: &str) -> Result<Self, ReleaseError> {
        let root: Value = serde_json::from_str(text).context(NotJsonSnafu)?;
        let base = root["base"]
            .as_str()
            .context(MissingTextSnafu { part: "base" })?;
        let mut release = Self::new(ConfigText::new("base", base));
        for (site, overlay) in root["overlays"].as_object().unwrap_or(&Map::new()) {
            let part = format!("overlays.{site}");
            let overlay = overlay.as_str().context(MissingTextSnafu { part })?;
            release = release.overlay(site, ConfigText::new(&format!("overlay {site}"), overlay));
        }
        Ok(release)
    }

    /// Returns the JSON text that [`ConfigRelease::parse`] accepts.
    #[must_use]
    pub fn publish_text(&self) -> String {
        let overlays: Map<String, Value> = self
            .overlays
            .iter()
            .map(|(site, overlay)| (site.clone(), Value::from(&*overlay.text)))
            .collect();
        serde_json::json!({ "base": &*self.base.text, "overlays": overlays }).to_string()
    }

    /// Validates the release for all sites and returns the configuration of `site`.
    ///
    /// A site without an overlay uses the base alone.
    ///
    /// # Errors
    ///
    /// Returns the findings of the base and of all overlays.
    pub fn config_for(&self, site: &str) -> Result<FleetConfig, Vec<Finding>> {
        let mut findings = Vec::new();
        let base_only = FleetConfig::read(&self.base, None);
        let mut selected = None;
        for (name, overlay) in self.overlays.iter() {
            match FleetConfig::read(&self.base, Some(overlay)) {
                Ok(config) if name == site => selected = Some(config),
                Ok(_) => {}
                Err(more) => findings.extend(more),
            }
        }
        let base_only = match base_only {
            Ok(config) => Some(config),
            Err(more) => {
                findings.extend(more);
                None
            }
        };
        if let (true, Some(config)) = (findings.is_empty(), selected.or(base_only)) {
            return Ok(config);
        }
        findings.sort();
        findings.dedup();
        Err(findings)
    }
}
