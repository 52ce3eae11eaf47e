//! Many clients read long answers slowly, at a sidecar with little memory.

use crate::lab::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// A third of the descriptors.
const CLIENTS: usize = SOCKETS as usize / 3;
const LENGTH: usize = 4 << 20;
const PIECE: usize = 8 << 10;
const ENDPOINTS: usize = 4;
/// The rate of a slow client, in bytes a second.
const READ_RATE: f64 = 64_000.0;
const DURATION: Duration = Duration::from_secs(20);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let quiet = Record::quiet();
    let endpoint = |number: usize| {
        let answer = |arrived: &Arrived, stream: &mut TcpStream| {
            let body = answer_body(&arrived.id, LENGTH);
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"
            )?;
            for piece in body.chunks(PIECE) {
                stream.write_all(piece)?;
                thread::sleep(Duration::from_millis(1));
            }
            Ok(())
        };
        start_endpoint(&format!("s-{number}"), &quiet, Arc::new(answer))
    };
    let discovery = Discovery::start((0..ENDPOINTS).map(endpoint).collect(), record);
    let options = SidecarOptions {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..SidecarOptions::of_seoul_booking(&discovery)
    };
    let mut sidecar = Sidecar::start(record, &options);
    record.line(&format!(
        "memory at the start, without mapped files: {} kB",
        sidecar.memory_kb().0
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (to, is_over) = (sidecar.listen, is_over.clone());
        clients.push(thread::spawn(move || {
            read_answer(number, to, has_trouble, &is_over)
        }));
        thread::sleep(Duration::from_millis(8)); // 125 requests a second
    }
    record.line(&format!("{CLIENTS} clients have sent one request each"));
    let end = Instant::now() + DURATION;
    let (mut peak, mut is_killed) = (0, false);
    while Instant::now() < end {
        peak = peak.max(sidecar.memory_kb().0);
        if peak > u64::from(MEMORY_MB) * 1024 {
            record.line(&format!("platform: the sidecar has {peak} kB without mapped files, over {MEMORY_MB} MB: it is killed"));
            sidecar.signal(SIGKILL);
            is_killed = true;
            break;
        }
        if sidecar.has_ended() {
            record.line("the sidecar has ended by itself");
            is_killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::SeqCst);
    let results: Vec<&str> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or("failed"))
        .collect();
    let count = |result: &str| results.iter().filter(|other| **other == result).count();
    record.line(&format!(
        "peak {peak} kB without mapped files; answers whole: {}, not whole at the end: {}, refused: {}",
        count("whole"),
        count("being read") + count("broken off"),
        count("refused") + count("failed")
    ));
    is_killed
}

/// Sends one request and reads its answer, slowly if there is trouble. Returns how that ended.
fn read_answer(
    number: usize,
    to: std::net::SocketAddr,
    is_slow: bool,
    is_over: &AtomicBool,
) -> &'static str {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return "failed";
    };
    let head = format!(
        "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: m{number}\r\nX-Class: clinic-list\r\nX-Deadline: 3\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return "failed";
    }
    let mut buffer = vec![0; if is_slow { 6_400 } else { 1 << 16 }];
    let start = Instant::now();
    let mut total = 0;
    while total < LENGTH {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return "broken off",
            Ok(_) if total == 0 && !buffer.starts_with(b"HTTP/1.1 200") => return "refused",
            Ok(count) => total += count,
        }
        if is_over.load(Ordering::SeqCst) {
            return "being read";
        }
        if is_slow {
            let due = Duration::from_secs_f64(total as f64 / READ_RATE);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
    }
    "whole"
}
