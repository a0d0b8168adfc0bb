use std::path::Path;

use cicadalock_core::config::{ConfigRelease, ConfigText, Finding, FleetConfig};

use super::flags::{Bundle, Check};
use super::run::ExitStatus;

/// Runs `cicadalock check`.
pub(super) fn check(flags: &Check) -> ExitStatus {
    let Some(base) = read_text(&flags.base) else {
        return ExitStatus::Findings;
    };
    let overlay = match &flags.overlay {
        Some(path) => match read_text(path) {
            Some(text) => Some(text),
            None => return ExitStatus::Findings,
        },
        None => None,
    };
    if flags.print {
        print!("{}", FleetConfig::print_merged(&base, overlay.as_ref()));
    }
    match FleetConfig::read(&base, overlay.as_ref()) {
        Ok(config) => {
            eprintln!(
                "no findings: {} services, {} kinds, {} customers",
                config.services().len(),
                config.kinds().len(),
                config.customers().len()
            );
            ExitStatus::Success
        }
        Err(findings) => print_findings(&findings),
    }
}

/// Runs `cicadalock bundle`.
pub(super) fn bundle(flags: &Bundle) -> ExitStatus {
    let Some(base) = read_text(&flags.base) else {
        return ExitStatus::Findings;
    };
    let mut release = ConfigRelease::new(base);
    for overlay in &flags.overlay {
        let Some((site, path)) = overlay.split_once('=') else {
            eprintln!("--overlay {overlay}: must have the form SITE=FILE");
            return ExitStatus::Findings;
        };
        let Some(text) = read_text(Path::new(path)) else {
            return ExitStatus::Findings;
        };
        release = release.overlay(site, text);
    }
    match release.config_for("") {
        Ok(_) => {
            println!("{}", release.publish_text());
            ExitStatus::Success
        }
        Err(findings) => print_findings(&findings),
    }
}

fn read_text(path: &Path) -> Option<ConfigText> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Some(ConfigText::new(&name, &text)),
        Err(error) => {
            eprintln!("{name}:0: file: {error}");
            None
        }
    }
}

fn print_findings(findings: &[Finding]) -> ExitStatus {
    for finding in findings {
        eprintln!("{finding}");
    }
    ExitStatus::Findings
}
