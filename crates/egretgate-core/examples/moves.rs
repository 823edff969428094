//! Prints a table of simulated version moves: the results of good and bad versions over many seeds.

#[path = "support/moves_model.rs"]
mod model;

use std::process::ExitCode;
use std::thread;

use model::{FakeVersion, HolderCrashes, Run, run};

/// Simulated moves of each fake version.
const SEEDS: u64 = 200;
/// Threads among which the runs are divided.
const THREADS: u64 = 4;

fn main() -> ExitCode {
    println!(
        "| version | holder dies | runs | done | taken back | of these unproven | served p50 | \
         served max | harmed p50 | minutes p50 | minutes max | share max | minute share max | \
         after verdict |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut met = true;
    for version in FakeVersion::ALL {
        for crashes in [HolderCrashes::None, HolderCrashes::Always] {
            let runs = runs(version, crashes);
            print(version, crashes, &runs);
            met &= meets(version, &runs);
        }
    }
    println!("targets met: {met}");
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns true if at most 1% of good moves were taken back, or if every bad one was, after at
/// most 5% of its routes' requests.
fn meets(version: FakeVersion, runs: &[Run]) -> bool {
    let done = runs.iter().filter(|run| run.done).count();
    if version == FakeVersion::Good {
        return (runs.len() - done) * 100 <= runs.len();
    }
    done == 0 && runs.iter().all(|run| run.max_share <= 0.05 && run.served_late == 0)
}

/// Runs every seed of a fake version.
fn runs(version: FakeVersion, crashes: HolderCrashes) -> Vec<Run> {
    thread::scope(|scope| {
        let worker = |first| {
            move || {
                (first..SEEDS)
                    .step_by(THREADS as usize)
                    .map(|seed| run(version, seed, crashes))
                    .collect::<Vec<_>>()
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(worker(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    })
}

fn print(version: FakeVersion, crashes: HolderCrashes, runs: &[Run]) {
    let done = runs.iter().filter(|run| run.done).count();
    let unproven = runs
        .iter()
        .filter(|run| run.reason == Some(egretgate_core::moves::TakeBackReason::Unproven))
        .count();
    let sorted = |value: fn(&Run) -> u64| {
        let mut values: Vec<u64> = runs.iter().map(value).collect();
        values.sort_unstable();
        values
    };
    let served = sorted(|run| run.served);
    let harmed = sorted(|run| run.harmed);
    let seconds = sorted(|run| run.seconds);
    let half = runs.len() / 2;
    let max_percent = |value: fn(&Run) -> f64| 100.0 * runs.iter().map(value).fold(0.0, f64::max);
    println!(
        "| {} | {:?} | {} | {done} | {} | {unproven} | {} | {} | {} | {:.1} | {:.1} | {:.2}% | {:.2}% | {} |",
        version.as_str(),
        crashes,
        runs.len(),
        runs.len() - done,
        served[half],
        served[served.len() - 1],
        harmed[half],
        seconds[half] as f64 / 60.0,
        seconds[seconds.len() - 1] as f64 / 60.0,
        max_percent(|run| run.max_share),
        max_percent(|run| run.minute_share),
        runs.iter().map(|run| run.served_late).sum::<u64>(),
    );
}
