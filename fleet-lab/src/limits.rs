//! Resource limits of the fleet-lab process.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::{debug, warn};

/// Raises the soft limit of descriptors to the hard limit. Fleets and callers use thousands of sockets.
pub fn raise_descriptor_limit() {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    match setrlimit(
        Resource::Nofile,
        Rlimit {
            current: maximum,
            maximum,
        },
    ) {
        Ok(()) => debug!(from = ?current, to = ?maximum, "raised the soft limit of descriptors"),
        Err(error) => warn!(%error, "cannot raise the soft limit of descriptors"),
    }
}
