use cicadalock_platform::PlatformDialect;
use std::process::ExitCode;
use std::time::Duration;

use super::flags::{Emulate, Run, Soak, Trial, TrialCmd};
use crate::capacity::{print_capacity, print_slopes};
use crate::emulator::{EmulatorOptions, LoadFile, emulate, plot_outcomes};
use crate::report::{TrialReport, plot_report};
use crate::scenario::{SCENARIOS, ScenarioOptions, SizeOptions, find_scenario, run_scenario};
use crate::soak::{SoakOptions, SoakSize, run_soak};
use crate::standin::{EngineOptions, ServiceOptions, run_engine, run_platform, run_service};

/// Scenario that runs if `--scenario` is absent.
const DEFAULT_SCENARIO: &str = "quick";

/// Largest `--scale` of a soak; its 240 endpoints fit the addresses of one network.
const MAX_SOAK_SCALE: usize = 40;

/// Duration of the load if `--seconds` is absent, in seconds.
const DEFAULT_SECONDS: u64 = 10;

const POLICIES: [&str; 4] = ["fleet", "sidecar", "router", "push"];

/// Runs the command that the arguments of this process name.
///
/// If the first argument is `cicadalock`, the rest goes to the command line of the product.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<std::ffi::OsString> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "cicadalock") {
        let status =
            cicadalock_node::cli::run_command::<PlatformDialect, _>(arguments.into_iter().skip(1));
        return ExitCode::from(status.code());
    }
    let flags = Trial::from_vec(arguments).unwrap_or_else(|error| error.exit());
    let result = match flags.subcommand {
        TrialCmd::Run(flags) => run(&flags),
        TrialCmd::Slopes(_) => {
            print_slopes();
            Ok(())
        }
        TrialCmd::Capacity(flags) => print_capacity(&flags.slopes),
        TrialCmd::Soak(flags) => soak(&flags),
        TrialCmd::Emulate(flags) => run_emulator(&flags),
        TrialCmd::Platform(flags) => run_platform(flags.listen),
        TrialCmd::Engine(flags) => parse_duration_flag(&flags.token).and_then(|token| {
            run_engine(EngineOptions {
                listen: flags.listen,
                batch: flags.batch,
                token,
            })
        }),
        TrialCmd::Service(flags) => parse_duration_flag(&flags.busy).and_then(|busy| {
            run_service(ServiceOptions {
                listen: flags.listen,
                busy,
                checks_fence: flags.check_fence,
            })
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Run) -> std::io::Result<()> {
    if flags.list {
        for entry in SCENARIOS {
            println!("{:<14} {}", entry.name, entry.about);
        }
        return Ok(());
    }
    let name = flags.scenario.as_deref().unwrap_or(DEFAULT_SCENARIO);
    let entry = find_scenario(name).ok_or_else(|| {
        std::io::Error::other(format!(
            "unknown scenario `{name}`; --list prints the names"
        ))
    })?;
    let policy = flags.policy.as_deref().unwrap_or(POLICIES[0]);
    let policies: Vec<&str> = if policy == "all" {
        POLICIES.to_vec()
    } else {
        vec![policy]
    };
    let mut reports = Vec::new();
    for policy in policies {
        let options = ScenarioOptions {
            length: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
            seed: flags.seed.unwrap_or(1),
            policy: policy.to_owned(),
            program: std::env::current_exe()?,
            binary: flags.binary.clone(),
            sizes: SizeOptions {
                routers: flags.routers,
                replicas: flags.replicas,
                customers: flags.customers,
                rate: flags.rate,
            },
        };
        let report = run_scenario(entry, &options)?;
        println!("{report}");
        reports.push(report);
    }
    if reports.len() > 1 {
        print_comparison(&reports);
    }
    if let Some(path) = &flags.json {
        let text = serde_json::to_string_pretty(&reports).map_err(std::io::Error::other)?;
        std::fs::write(path, text)?;
    }
    if let (Some(path), Some(report)) = (&flags.plot, reports.first()) {
        plot_report(report, path).map_err(|error| std::io::Error::other(error.to_string()))?;
    }
    Ok(())
}

/// Emulates a load in virtual time and prints the results.
fn run_emulator(flags: &Emulate) -> std::io::Result<()> {
    let load: LoadFile = std::fs::read_to_string(&flags.load)?
        .parse()
        .map_err(std::io::Error::other)?;
    let options = EmulatorOptions {
        seed: flags.seed.unwrap_or(1),
        length: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
        has_full_knowledge: flags.full_knowledge,
    };
    let table = emulate(&load, &options).map_err(std::io::Error::other)?;
    println!("{table}");
    match &flags.plot {
        Some(path) => {
            plot_outcomes(&table, path).map_err(|error| std::io::Error::other(error.to_string()))
        }
        None => Ok(()),
    }
}

/// Runs the soak test with each seed in turn; returns an error if any seed violates a guarantee.
fn soak(flags: &Soak) -> std::io::Result<()> {
    let folder = flags.folder.clone();
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("cicadalock-soak"));
    let first = flags.seed.unwrap_or_else(rand::random);
    let mut broken = Vec::new();
    for seed in (0..flags.count.unwrap_or(1)).map(|offset| first.wrapping_add(offset)) {
        let options = SoakOptions {
            seed,
            length: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
            size: SoakSize::scaled(flags.scale.unwrap_or(1).clamp(1, MAX_SOAK_SCALE)),
            has_crashing_lookups: flags.crashing_lookups,
            program: std::env::current_exe()?,
            folder: folder.join(format!("seed-{seed}")),
        };
        let report = run_soak(&options)?;
        println!("{report}");
        if report.broken.is_empty() {
            std::fs::remove_dir_all(&options.folder)?;
        } else {
            let plan = report.plan.steps.iter().map(|step| format!("{step}\n"));
            std::fs::write(options.folder.join("plan.txt"), plan.collect::<String>())?;
            broken.push(seed);
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    let problem = format!(
        "guarantees violated with seeds {broken:?}; logs in {}",
        folder.display()
    );
    Err(std::io::Error::other(problem))
}

/// Prints a table with one row per policy.
fn print_comparison(reports: &[TrialReport]) {
    println!(
        "{:<8} {:>10} {:>10} {:>8} {:>8} {:>11} {:>11} {:>9} {:>9}",
        "policy",
        "gap 1st",
        "gap 2nd",
        "share %",
        "util %",
        "small p50",
        "small p99",
        "kept %",
        "ctl B/s"
    );
    for report in reports {
        let gap = report.gap.unwrap_or_default();
        let small = report.small_wait.unwrap_or(report.wait);
        println!(
            "{:<8} {:>10.0} {:>10.0} {:>8.1} {:>8.1} {:>11.1} {:>11.1} {:>9.1} {:>9.0}",
            report.policy,
            gap.0,
            gap.1,
            report.share_error_percent.unwrap_or_default(),
            report.utilisation_percent,
            small.first_p50,
            small.first_p99,
            report.least_kept_percent.unwrap_or_default(),
            report.control_bytes.0
        );
    }
}

fn parse_duration_flag(text: &str) -> std::io::Result<Duration> {
    humantime::parse_duration(text).map_err(std::io::Error::other)
}
