//! The command `tier`.

use super::{CommandError, TierOptions};
use fleet_lab::loopback_tier::{LoopbackTier, SidecarAddresses};
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

const SECONDS_PER_MINUTE: u64 = 60;

/// Runs a stand-in tier until its time is over, or a signal comes.
pub(super) fn run(options: &TierOptions) -> Result<(), CommandError> {
    let tier = LoopbackTier::start(options.endpoints).map_err(CommandError::Tier)?;
    let addresses = SidecarAddresses {
        callers: options.listen,
        operators: options.admin,
    };
    let document = tier.sidecar_configuration(addresses);
    write(&options.configuration, &format!("{document:#}\n"))?;
    println!("discovery listens on {}", tier.discovery_address());
    for endpoint in tier.endpoints() {
        println!("{} listens on {}", endpoint.name, endpoint.address);
    }
    println!(
        "a sidecar's configuration is in {}",
        options.configuration.display()
    );
    println!("ends after {} minutes, or with SIGINT", options.minutes);
    thread::sleep(Duration::from_secs(options.minutes * SECONDS_PER_MINUTE));
    Ok(())
}

/// Written aside and moved into place, so that no sidecar reads half of it.
fn write(file: &Path, text: &str) -> Result<(), CommandError> {
    let aside = file.with_extension("new");
    let written = create_folder_of(file)
        .and_then(|()| fs::write(&aside, text))
        .and_then(|()| fs::rename(&aside, file));
    written.map_err(|source| CommandError::WriteConfiguration {
        file: file.to_owned(),
        source,
    })
}

fn create_folder_of(file: &Path) -> io::Result<()> {
    file.parent().map_or(Ok(()), fs::create_dir_all)
}
