//! A planned restart begins while a long answer is being passed on.

use crate::lab::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const LENGTH: usize = 32_000_000;
const PART: usize = 64 << 10;
/// 2.1 MB a second.
const PAUSE: Duration = Duration::from_millis(30);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let has_broken_off = Arc::new(AtomicBool::new(false));
    let (flag, log) = (has_broken_off.clone(), record.clone());
    let endpoint = start_endpoint(
        "s-1",
        record,
        Arc::new(move |arrived, stream| {
            let body = answer_body(&arrived.id, LENGTH);
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"
            )?;
            for (number, part) in body.chunks(PART).enumerate() {
                if let Err(error) = stream.write_all(part) {
                    flag.store(true, Ordering::SeqCst);
                    log.line(&format!("endpoint s-1 gives {}: the sidecar has ended the connection after {} bytes: {error}", arrived.id, number * PART));
                    return Err(error);
                }
                thread::sleep(PAUSE);
            }
            log.line(&format!("endpoint s-1 has given all of {}", arrived.id));
            Ok(())
        }),
    );
    let discovery = Discovery::start(vec![endpoint], record);
    let options = SidecarOptions::of_seoul_booking(&discovery);
    let mut sidecar = Sidecar::start(record, &options);
    let (to, log) = (sidecar.listen, record.clone());
    let client = thread::spawn(move || {
        let request = ClientRequest {
            method: "POST",
            id: "a1",
            class: "confirm",
            deadline: 6.0,
            body: b"slot=7",
        };
        send(&log, to, &request, Duration::from_secs(40))
    });
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        record.line("platform: SIGTERM for a planned restart; SIGKILL is due 30 s later");
        sidecar.signal(SIGTERM);
    }
    for _ in 0..300 {
        thread::sleep(Duration::from_millis(100));
        if sidecar.has_ended() {
            record.line("platform: the sidecar's process has ended by itself");
            break;
        }
        if client.is_finished() {
            break;
        }
    }
    if !client.is_finished() && !sidecar.has_ended() {
        unable("the answer was not at its end after 30 s");
    }
    let got = client
        .join()
        .unwrap_or_else(|_| unable("the client failed"));
    thread::sleep(Duration::from_millis(300));
    if got.status != Some(200) {
        unable("the answer did not begin in time");
    }
    let is_right = got.body == answer_body("a1", LENGTH)[..got.body.len()];
    record.line(&format!(
        "the client has {} of {LENGTH} bytes, {}, whole: {}; broken off at the endpoint: {}",
        got.body.len(),
        if is_right { "all right" } else { "wrong" },
        got.is_whole,
        has_broken_off.load(Ordering::SeqCst)
    ));
    if !got.is_whole && !has_broken_off.load(Ordering::SeqCst) {
        unable("the answer is not whole, and the endpoint was not cut off");
    }
    !got.is_whole || !is_right
}
