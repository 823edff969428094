//! What log and metrics say of the process itself, limits, use and why it ends, and the metrics' own
//! memory.

use std::fs;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use egretgate_gateway::Gateway;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::{Logger, crit, info};
use tokio::signal::unix::Signal;
use tokio::time::{MissedTickBehavior, interval};

/// Exit code of a process that ends since one of its tasks has failed; 70 as in `sysexits.h`.
const FAILED: u8 = 70;
/// Interval between two readings of what the process uses, and between two upkeeps of the metrics.
pub(crate) const USE_INTERVAL: Duration = Duration::from_secs(5);

/// Limits that the system sets; `None` if unlimited or unknown.
#[derive(Debug, Default, PartialEq, Eq)]
struct Limits {
    descriptors: Option<u64>,
    /// Bytes of address space.
    address_space: Option<u64>,
}

impl Limits {
    fn read() -> Self {
        let text = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let soft = |name| {
            let values = text.lines().find_map(|line| line.strip_prefix(name))?;
            values.split_whitespace().next()?.parse().ok()
        };
        Self { descriptors: soft("Max open files"), address_space: soft("Max address space") }
    }
}

/// What the process uses; `None` if unknown.
#[derive(Debug, Default, PartialEq, Eq)]
struct Use {
    descriptors: Option<u64>,
    /// Bytes of memory.
    resident: Option<u64>,
    /// Bytes of address space.
    address_space: Option<u64>,
}

impl Use {
    fn read() -> Self {
        let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let bytes = |name| {
            let value = text.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().strip_suffix(" kB")?.parse().ok().map(|kilobytes: u64| kilobytes << 10)
        };
        // The listing itself opens one descriptor.
        let listed = fs::read_dir("/proc/self/fd").ok();
        let descriptors = listed.map(|listed| (listed.count() as u64).saturating_sub(1));
        Self { descriptors, resident: bytes("VmRSS:"), address_space: bytes("VmSize:") }
    }
}

/// Logs the limits of the process, and shows them with its use as metrics from then on. `memory` is
/// the memory that the settings state, in bytes.
pub(crate) fn observe(log: &Logger, memory: Option<usize>) {
    let (limits, used) = (Limits::read(), Use::read());
    info!(log, "process"; "version" => env!("CARGO_PKG_VERSION"), "memory_bytes" => memory,
        "descriptors" => used.descriptors, "descriptor_limit" => limits.descriptors,
        "resident_bytes" => used.resident, "address_space_bytes" => used.address_space,
        "address_space_limit" => limits.address_space);
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    tokio::spawn(async move {
        let mut ticks = interval(USE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let used = Use::read();
            set("egretgate_process_start_seconds", Some(started.as_secs()));
            set("egretgate_open_descriptors", used.descriptors);
            set("egretgate_descriptor_limit", limits.descriptors);
            set("egretgate_resident_bytes", used.resident);
            set("egretgate_address_space_bytes", used.address_space);
            set("egretgate_address_space_limit_bytes", limits.address_space);
        }
    });
}

/// Frees the samples of histograms once in each `period`, also while nobody fetches the metrics.
pub async fn keep_up(handle: PrometheusHandle, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}

/// Waits until the process is to end and returns its exit code.
pub(crate) async fn end(gateway: &Gateway, terminate: &mut Signal, log: &Logger) -> ExitCode {
    tokio::select! {
        _ = terminate.recv() => {
            info!(log, "stop requested"; "signal" => "TERM");
            ExitCode::SUCCESS
        }
        task = gateway.failed() => {
            crit!(log, "process ends"; "task" => task, "exit_code" => FAILED);
            ExitCode::from(FAILED)
        }
    }
}

fn set(gauge: &'static str, value: Option<u64>) {
    if let Some(value) = value {
        metrics::gauge!(gauge).set(value as f64);
    }
}
