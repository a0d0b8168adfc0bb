//! Runs the `cicadalock` binary and checks its output and exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use yare::parameterized;

fn cicadalock(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cicadalock"))
        .current_dir(workspace_root())
        .args(arguments)
        .output()
        .expect("the binary starts")
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[parameterized(
    jylland = { "floejtelaan", "jylland" },
    fyn = { "floejtelaan", "fyn" },
    sjaelland = { "floejtelaan", "sjaelland" },
    centro_a = { "consorcio", "co-centro-a" },
    centro_b = { "consorcio", "co-centro-b" },
    centro_c = { "consorcio", "co-centro-c" },
)]
fn the_example_configurations_have_no_findings(deployment: &str, site: &str) {
    let base = format!("examples/{deployment}/base.toml");
    let overlay = format!("examples/{deployment}/{site}.toml");
    let output = cicadalock(&["check", "--base", &base, "--overlay", &overlay]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
}

#[test]
fn every_fault_of_a_file_is_reported_at_once() {
    let path = "crates/cicadalock/tests/data/ten-faults.toml";
    let output = cicadalock(&["check", "--base", path]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr_text(&output));
}

#[test]
fn an_overlay_that_changes_nothing_is_a_finding() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let overlay = folder.path().join("overlay.toml");
    std::fs::write(
        &overlay,
        "[[services]]\nname = \"udlaan\"\nslots = 4\n\n[limits]\nqueue_per_kind = 512\n",
    )
    .expect("the overlay is written");
    let overlay = overlay.display().to_string();
    let output = cicadalock(&[
        "check",
        "--base",
        "examples/floejtelaan/base.toml",
        "--overlay",
        &overlay,
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr_text(&output),
        format!("{overlay}:3: services.udlaan.slots: has the same value as in the base\n")
    );
}

#[test]
fn the_merged_configuration_is_printed() {
    let output = cicadalock(&[
        "check",
        "--base",
        "examples/floejtelaan/base.toml",
        "--overlay",
        "examples/floejtelaan/fyn.toml",
        "--print",
    ]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("name = \"raadgiver\"\nprotocol = \"completions\"\nslots = 12"),
        "{text}"
    );
}

#[test]
fn a_bundle_holds_the_base_and_its_overlays() {
    let output = cicadalock(&[
        "bundle",
        "--base",
        "examples/consorcio/base.toml",
        "--overlay",
        "co-centro-a=examples/consorcio/co-centro-a.toml",
    ]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    let text = String::from_utf8_lossy(&output.stdout);
    let release = cicadalock::core::config::ConfigRelease::parse(&text)
        .expect("the bundle parses as a release");
    let config = release.config_for("co-centro-a").expect("no findings");
    assert_eq!(config.services()[1].slots, 6);
}

#[parameterized(
    whole = { &["--help"] },
    router = { &["router", "--help"] },
    sidecar = { &["sidecar", "--help"] },
    check = { &["check", "--help"] },
    bundle = { &["bundle", "--help"] },
    status = { &["status", "--help"] },
)]
fn help_prints_to_stdout_and_succeeds(arguments: &[&str]) {
    let output = cicadalock(arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    assert!(!output.stdout.is_empty());
}

#[parameterized(
    unknown_flag = { &["router", "--nothing"], 2 },
    no_settings = { &["router", "--settings", "/does/not/exist"], 2 },
    no_base = { &["check", "--base", "/does/not/exist"], 2 },
    unreachable_process = { &["status", "127.0.0.1:9"], 1 },
)]
fn exit_codes_distinguish_findings_from_failures(arguments: &[&str], code: i32) {
    assert_eq!(cicadalock(arguments).status.code(), Some(code));
}
