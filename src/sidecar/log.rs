//! The log: lines on standard error.

/// Writes one line of the log in one system call. Ignores failures, so the sidecar keeps running if nothing reads its
/// log.
macro_rules! log {
    ($($text:tt)*) => {{
        let line = format!("balancer-sidecar: {}\n", format_args!($($text)*));
        let _ = std::io::Write::write_all(&mut std::io::stderr(), line.as_bytes());
    }};
}
