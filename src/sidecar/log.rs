//! The log: lines on standard error.

/// Writes one line of the log in one system call. A failure is ignored: the sidecar goes on without a reader of its log.
macro_rules! log {
    ($($text:tt)*) => {{
        let line = format!("balancer-sidecar: {}\n", format_args!($($text)*));
        let _ = std::io::Write::write_all(&mut std::io::stderr(), line.as_bytes());
    }};
}
