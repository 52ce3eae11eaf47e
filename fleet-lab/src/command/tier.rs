//! The command `tier`.

use super::{CommandError, TierOptions};
use fleet_lab::discovery::{DiscoveryOptions, ListChangeAction};
use fleet_lab::endpoint::{EndpointHost, EndpointOptions, ServiceTime};
use fleet_lab::loopback_tier::{LoopbackTier, LoopbackTierOptions};
use fleet_lab::sidecar::configuration::{
    RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

const SECONDS_PER_MINUTE: u64 = 60;
/// The class of requests that are safe to repeat.
const SAFE_CLASS: &str = "browse";
/// The class of requests that must never run twice.
const UNSAFE_CLASS: &str = "order";
/// The priority weight of the unsafe class. That of the safe class is 1.
const UNSAFE_PRIORITY_WEIGHT: f64 = 5.0;
/// The deadline of requests of both classes.
const DEADLINE: Duration = Duration::from_secs(2);
const ENDPOINT_THREADS: usize = 1;
const SEED: u64 = 1;
const SIDECAR_LIMITS: ResourceLimits = ResourceLimits {
    memory_mb: 128,
    descriptors: 1_024,
};
const ENDPOINT_OPTIONS: EndpointOptions = EndpointOptions {
    cores: 4,
    queue: 32,
    service_time: ServiceTime::Exponential {
        mean_milliseconds: 20.0,
    },
    slow_start: None,
    load_reports: true,
    answer_bytes: 64,
    error_rate: 0.0,
};
const DISCOVERY_OPTIONS: DiscoveryOptions = DiscoveryOptions {
    calls_per_second: 100.0,
    queue_timeout: Duration::from_secs(5),
    heartbeat: Duration::from_secs(2),
    entries_per_second: None,
    on_change: ListChangeAction::SendChange,
    retained_changes: 100,
};

/// Runs a tier on loopback for the given number of minutes, or until a signal ends the process.
pub(super) fn run(options: &TierOptions) -> Result<(), CommandError> {
    let host = EndpointHost::start(ENDPOINT_THREADS, SEED).map_err(CommandError::EndpointHost)?;
    let tier_options = LoopbackTierOptions {
        endpoints: options.endpoints,
        name_prefix: "endpoint",
        endpoint: &ENDPOINT_OPTIONS,
        next_sidecars: &[],
        discovery: DISCOVERY_OPTIONS,
    };
    let tier = LoopbackTier::start(&host, &tier_options)?;
    let document = sidecar_configuration(&tier).document_at(options.listen, options.admin);
    write_configuration(&options.configuration, &format!("{document:#}\n"))?;
    println!("discovery listens on {}", tier.discovery_address());
    for endpoint in tier.entries() {
        println!("{} listens on {}", endpoint.name, endpoint.address);
    }
    println!(
        "the sidecar's configuration is in {}",
        options.configuration.display()
    );
    println!(
        "the tier ends after {} minutes, or on SIGINT or SIGTERM",
        options.minutes
    );
    thread::sleep(Duration::from_secs(options.minutes * SECONDS_PER_MINUTE));
    Ok(())
}

/// Returns the configuration of the only sidecar that sends to this tier.
fn sidecar_configuration(tier: &LoopbackTier) -> SidecarConfiguration {
    let class = |name: &str, is_unsafe, priority_weight| RequestClass {
        name: name.into(),
        is_unsafe,
        priority_weight,
        deadline: DEADLINE,
    };
    let classes = vec![
        class(SAFE_CLASS, false, 1.0),
        class(UNSAFE_CLASS, true, UNSAFE_PRIORITY_WEIGHT),
    ];
    SidecarConfiguration {
        name: "sidecar-0".into(),
        ..tier.sidecar_configuration(TierPosition::ONLY, classes, SIDECAR_LIMITS, SEED)
    }
}

/// Writes the configuration to a temporary file and renames it. A sidecar never reads a partial configuration.
fn write_configuration(file: &Path, text: &str) -> Result<(), CommandError> {
    let temporary = file.with_extension("new");
    let written = create_parent_folder(file)
        .and_then(|()| fs::write(&temporary, text))
        .and_then(|()| fs::rename(&temporary, file));
    written.map_err(|source| CommandError::WriteConfiguration {
        file: file.to_owned(),
        source,
    })
}

fn create_parent_folder(file: &Path) -> io::Result<()> {
    file.parent().map_or(Ok(()), fs::create_dir_all)
}
