//! The log: lines on standard error.

/// Writes a line of the log, at once and whole. One that nobody reads any more is no reason to stop.
macro_rules! log {
    ($($text:tt)*) => {{
        let line = format!("balancer-sidecar: {}\n", format_args!($($text)*));
        let _ = std::io::Write::write_all(&mut std::io::stderr(), line.as_bytes());
    }};
}
