//! A slow endpoint gives an answer of over 64 KiB in small chunks, without a declared length.

use crate::lab::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The client waits for all of its class's deadline.
const DEADLINE: f64 = 1.8;
const LENGTH: usize = 192 << 10;
/// One every 50 ms: 64,000 bytes a second.
const PART: usize = 3_200;

/// What the endpoint saw of its answers.
#[derive(Default)]
struct Given {
    /// The time at which the first byte of the body was written.
    first_at: f64,
    /// The time at which the sidecar ended the connection while the endpoint was giving, and the bytes given until then.
    cut_off: Option<(f64, usize)>,
}

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let pause = if has_trouble {
        Duration::from_millis(50)
    } else {
        Duration::from_micros(200)
    };
    let given = Arc::new(Mutex::new(Given::default()));
    let (seen, log) = (given.clone(), record.clone());
    let endpoint = start_endpoint(
        "s-1",
        record,
        Arc::new(move |arrived, stream| {
            let body = answer_body(&arrived.id, LENGTH);
            let start = Instant::now();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            for (number, part) in body.chunks(PART).enumerate() {
                if number == 0 {
                    seen.lock().unwrap().first_at = log.now();
                    log.line("endpoint s-1 begins to give its answer");
                }
                let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
                if let Err(error) = stream.write_all(&chunk) {
                    seen.lock().unwrap().cut_off = Some((log.now(), number * PART));
                    log.line(&format!("endpoint s-1: the sidecar has ended the connection after {} bytes: {error}", number * PART));
                    return Err(error);
                }
                let due = pause * (number as u32 + 1);
                thread::sleep(due.saturating_sub(start.elapsed()));
            }
            stream.write_all(b"0\r\n\r\n")?;
            log.line("endpoint s-1 has given all of its answer");
            Ok(())
        }),
    );
    let discovery = Discovery::start(vec![endpoint], record);
    // The aims and deadlines of the site, times 0.3.
    let classes = SEOUL_BOOKING.map(|class| ClassSettings {
        aim_s: class.aim_s * 0.3,
        deadline_s: class.deadline_s * 0.3,
        ..class
    });
    let options = SidecarOptions {
        classes: &classes,
        ..SidecarOptions::of_seoul_booking(&discovery)
    };
    let sidecar = Sidecar::start(record, &options);
    let request = ClientRequest {
        method: "POST",
        id: "b1",
        class: "confirm",
        deadline: DEADLINE,
        body: b"slot=7",
    };
    let got = send(record, sidecar.listen, &request, Duration::from_secs(12));
    thread::sleep(Duration::from_millis(300));
    let given = given.lock().unwrap();
    if given.first_at == 0.0 || given.first_at > got.sent_at + 0.3 {
        unable("the endpoint's answer did not begin at once");
    }
    let is_served =
        got.status == Some(200) && got.is_whole && got.body == answer_body("b1", LENGTH);
    record.line(&format!(
        "served whole: {is_served}; cut off at the endpoint: {:?}",
        given.cut_off
    ));
    if !is_served && given.cut_off.is_none() {
        unable("the answer was not served, and the endpoint was not cut off");
    }
    if !is_served && got.ended_at > got.sent_at + DEADLINE {
        unable("the client's time was over");
    }
    !is_served
}
