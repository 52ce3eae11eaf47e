//! Tests of the program `simulator-adapter`: its replies, and its errors for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Returns the settings document of an instance that sends requests to a tier. It includes keys that are not known.
fn settings_document(tier: usize) -> String {
    format!(
        r#"{{"balancers": 4, "bounds": {{"cancel": true, "connIdleNs": 5000000000, "connectTimeoutNs": 250000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 1076120, "maxOpen": 43044, "maxRetryAfterNs": 2000000000, "maxStreams": 1, "mayTell": true, "parallelTries": false, "probes": true, "retryAfter": true, "sendCap": 3}}, "categories": [{{"effect": "free", "hardLimitNs": 900000000, "keyScope": "all", "lateShare": 0.0, "memorySpanNs": 5000000000, "name": "look", "objectiveNs": 300000000, "stream": false, "worth": 1.0}}, {{"effect": "guarded", "hardLimitNs": 900000000, "keyScope": "cell", "lateShare": 0.5, "memorySpanNs": 5000000000, "name": "book", "objectiveNs": 300000000, "stream": true, "worth": 3.0}}], "clientHabits": {{"marksRetry": false}}, "customers": [{{"name": "north", "portion": 0.5, "quotaPerS": 50.0}}], "dcs": ["z1", "z2"], "discovery": "subscribe", "family": "chain", "familyInfo": {{"passesDeadline": true, "newKey": 3}}, "fees": {{"crossZone": 0.015, "waste": 0.05, "fleet": 1}}, "granularityNs": 5000000, "models": ["fast"], "myNumber": 0, "overShareWorth": 0.05, "report": {{"fields": ["err_ps", "depth"], "how": "inline"}}, "rules": {{"answerSlackNs": 20000000, "askWithinNs": 10000000000, "coldFrom": 0.38, "drainGraceNs": 2000000000, "fallMultiple": 3.0, "fallNs": 1000000000, "warmWithinNs": 8900000000}}, "scoringMix": {{"whole": 1.0}}, "stages": ["front", "back"], "tier": {tier}, "weightSource": "rough", "worthBy": "request", "zone": "z1", "unheardOf": [1, 2]}}"#
    )
}

/// Runs the adapter on an input.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Writing fails if the adapter has already exited because of a malformed line.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Runs the adapter on a valid input. Returns its replies without `ok`, one per batch, and then the empty text that
/// follows the last `ok`.
fn replies(input: &str) -> Vec<String> {
    let output = run_adapter(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("text");
    text.split("ok\n").map(str::to_string).collect()
}

/// Returns the lines that start an instance and send it a cached list of two endpoints.
fn instance_start(instance: usize) -> String {
    format!(
        "new_instance nonce64={} sidecarId=sidecar/{instance} params={}\n\
         directory list=0 records=2\n\
         entry endpoint=endpoint.aa zone=z1 familyType=fast pack=0 readiness=U size=1\n\
         entry endpoint=endpoint.bb zone=z2 familyType=fast pack=1 readiness=U size=1.5 upSinceNs=1\n\
         members sidecarId=sidecar/{instance} rev=41 list=0 kind=C\n",
        instance + 5,
        settings_document(instance % 2)
    )
}

/// Returns the line of a request, with an unknown field.
fn request(instance: usize, id: &str, class: &str, deadline_ns: u64) -> String {
    format!(
        "call sidecarId=sidecar/{instance} xid={id} priority={class} org=north key=k:a validUntilNs={deadline_ns} \
         expectedNs=12000000 attrs=1 later=thing\n"
    )
}

#[test]
fn empty_batch_and_empty_input_get_empty_replies() {
    assert_eq!(replies("frame momentNs=5\ngo\n"), ["", ""]);
    assert_eq!(replies(""), [""]);
}

#[test]
fn retry_avoids_the_endpoint_that_rejected_the_request() {
    let mut input = format!(
        "frame momentNs=1000000000\n{}go\nframe momentNs=1005000000\n",
        instance_start(0)
    );
    input += &request(
        0,
        "5d3a91c4-f723-4cdb-ab99-2b0a2499a382",
        "look",
        1_900_000_000,
    );
    input += "go\nframe momentNs=1010000000\n\
        report_back xid=5d3a91c4-f723-4cdb-ab99-2b0a2499a382 sidecarId=sidecar/0 attempt=0 \
        endpoint=endpoint.aa ending=254 timeTakenNs=5000000 terminal=0 pressure=err_ps:0.5,depth:3,odd:1\ngo\n";
    let all_replies = replies(&input);
    assert!(
        all_replies[0].contains("notify_me sidecarId=sidecar/0 instantNs="),
        "{}",
        all_replies[0]
    );
    let send =
        "send sidecarId=sidecar/0 xid=5d3a91c4-f723-4cdb-ab99-2b0a2499a382 endpoint=endpoint.aa";
    assert!(
        all_replies[1].starts_with(send),
        "an endpoint in the own zone is preferred: {}",
        all_replies[1]
    );
    assert!(
        !all_replies[2].contains("endpoint.aa"),
        "the endpoint that rejected the request is avoided: {}",
        all_replies[2]
    );
}

#[test]
fn every_event_is_parsed() {
    let mut input = format!(
        "frame momentNs=1000000000\n{}go\nframe momentNs=1005000000\n",
        instance_start(0)
    );
    input += &request(0, "r1", "book", 1_900_000_000);
    input += "go\nframe momentNs=1010000000\n\
        started sidecarId=sidecar/0 xid=r1 attempt=0 endpoint=endpoint.aa timeTakenNs=5000000\n\
        probe_result sidecarId=sidecar/0 endpoint=endpoint.aa ending=0 timeTakenNs=1 pressure=depth:1,mean_ms:3\n\
        peer sidecarId=sidecar/0 who=1 data=aGkgNw==\npeer sidecarId=sidecar/0 who=1 data=-\n\
        due sidecarId=sidecar/0 name=77\n\
        members sidecarId=sidecar/0 rev=42 kind=X\n\
        client_gone sidecarId=sidecar/0 xid=unknown\n\
        report_back sidecarId=sidecar/0 xid=r1 attempt=0 endpoint=endpoint.aa ending=0 timeTakenNs=9 terminal=1\n";
    for code in 249..=255 {
        input += &format!(
            "report_back sidecarId=sidecar/0 xid=r1 attempt=0 endpoint=endpoint.aa ending={code} \
             timeTakenNs=9 terminal=1 pressure=concurrent:2,load_share:0.5,tps:3\n"
        );
    }
    input += "go\n";
    assert!(
        !replies(&input)[2].contains("r1"),
        "a started stream is not sent again"
    );
}

/// Guards against an instance that receives a later list of the same number. The list that was complete at the time of
/// `members` must apply.
#[test]
fn list_number_is_reused_within_one_batch() {
    let list = |endpoint: &str| {
        format!(
            "directory list=0 records=1\nentry endpoint={endpoint} zone=z1 pack=0 readiness=U size=1\n"
        )
    };
    let mut input = format!(
        "frame momentNs=1000000000\n{}{}",
        instance_start(0),
        instance_start(2)
    );
    input += &(list("endpoint.cc") + "members sidecarId=sidecar/0 rev=42 list=0 kind=F\n");
    input += &(list("endpoint.dd") + "members sidecarId=sidecar/2 rev=42 list=0 kind=F\ngo\n");
    input += "frame momentNs=1005000000\n";
    input += &(request(0, "r1", "look", 1_900_000_000)
        + &request(2, "r2", "look", 1_900_000_000)
        + "go\n");
    let all_replies = replies(&input);
    assert!(
        all_replies[1].contains("xid=r1 endpoint=endpoint.cc")
            && all_replies[1].contains("xid=r2 endpoint=endpoint.dd")
    );
}

/// Guards against state that outlives an instance. The end of an attempt of the previous instance must have no effect.
#[test]
fn restarted_instance_forgets_its_requests() {
    let mut input = format!(
        "frame momentNs=1000000000\n{}go\nframe momentNs=1005000000\n",
        instance_start(0)
    );
    input += &request(0, "r1", "look", 1_900_000_000);
    input += &format!(
        "go\nframe momentNs=1010000000\ndestroy sidecarId=sidecar/0\n{}",
        instance_start(0)
    );
    input += "report_back sidecarId=sidecar/0 xid=r1 attempt=0 endpoint=endpoint.aa ending=255 timeTakenNs=9 terminal=0\n";
    input += "go\n";
    assert!(!replies(&input)[2].contains("r1"));
}

/// Guards against state that instances share in one process. Each instance must act as it does in another process.
#[test]
fn actions_do_not_depend_on_other_instances() {
    let run = |instances: &[usize]| {
        let mut input = String::from("frame momentNs=1000000000\n");
        for instance in instances {
            input += &instance_start(*instance);
        }
        input += "go\n";
        for step in 1..60u64 {
            let now = 1_000_000_000 + step * 5_000_000;
            input += &format!("frame momentNs={now}\n");
            for instance in instances {
                input += &request(
                    *instance,
                    &format!("r{instance}-{step}"),
                    "look",
                    now + 900_000_000,
                );
            }
            input += "go\n";
        }
        replies(&input).concat()
    };
    let lines_of = |text: &str, instance: usize| {
        let instance_field = format!("sidecarId=sidecar/{instance} ");
        text.lines()
            .filter(|line| line.contains(&instance_field))
            .map(str::to_string)
            .collect::<Vec<_>>()
    };
    let together = run(&[0, 1, 2, 3]);
    let apart = run(&[0, 2]) + &run(&[1, 3]);
    for instance in 0..4 {
        assert!(lines_of(&together, instance).len() > 40);
        assert_eq!(
            lines_of(&together, instance),
            lines_of(&apart, instance),
            "instance {instance}"
        );
    }
}

/// Guards against malformed input that is accepted, causes a panic, or leads to a partial reply.
#[test]
fn malformed_input_is_reported_without_actions() {
    let started = format!("frame momentNs=1000000000\n{}", instance_start(0));
    let cases = [
        ("go\n".to_string(), "outside a batch"),
        ("frame momentNs=x\n".into(), "momentNs=x cannot be read"),
        ("frame\n".into(), "momentNs is missing"),
        ("frame momentNs=1\nframe momentNs=2\n".into(), "has no 'go'"),
        (
            "frame momentNs=1\nhello there=1\n".into(),
            "unknown message 'hello'",
        ),
        (
            "frame momentNs=1\ndestroy sidecarId=sidecar/9\n".into(),
            "is not running",
        ),
        (
            "frame momentNs=1\ndestroy sidecarId=box/9\n".into(),
            "sidecarId=box/9 cannot be read",
        ),
        (
            "frame momentNs=1\ndirectory list=16 records=0\n".into(),
            "not from 0 to 15",
        ),
        (
            "frame momentNs=1\ndirectory list=1 records=2\ngo\n".into(),
            "received 0 of 2 entries",
        ),
        (
            "frame momentNs=1\nentry endpoint=a zone=z readiness=U size=1\n".into(),
            "no directory is open",
        ),
        (
            "frame momentNs=1\nnew_instance sidecarId=sidecar/1 nonce64=1 params={}\n".into(),
            "missing field",
        ),
        ("frame momentNs=1\n".into(), "inside a batch"),
        (
            "frame momentNs=9\ngo\nframe momentNs=8\n".into(),
            "before that of the previous batch",
        ),
        (
            format!(
                "frame momentNs=1\nnew_instance sidecarId=sidecar/1 nonce64=9e9 params={}\n",
                settings_document(0)
            ),
            "nonce64=9e9 cannot be read",
        ),
        (
            format!(
                "frame momentNs=1\nnew_instance sidecarId=sidecar/1 nonce64=1 params={}\n",
                settings_document(0).replace("\"balancers\": 4", "\"balancers\": 0")
            ),
            "new_instance: params: balancers is zero",
        ),
        (
            format!(
                "frame momentNs=1\nnew_instance sidecarId=sidecar/1 nonce64=1 params={}\n",
                &settings_document(0)[1..]
            ),
            "new_instance: params: ",
        ),
        (
            started.clone() + "peer sidecarId=sidecar/0 who=4294967296 data=-\n",
            "who=4294967296 cannot be read",
        ),
        (
            started.clone() + "due sidecarId=sidecar/7 name=1\n",
            "sidecar/7 is not running",
        ),
        (
            started.clone() + &request(0, "r1", "unknown", 5),
            "priority=unknown cannot be read",
        ),
        (
            started.clone() + "due sidecarId=sidecar/0 name=minus\n",
            "name=minus",
        ),
        (
            started.clone() + "members sidecarId=sidecar/0 rev=1 list=3 kind=F\n",
            "list=3 was never sent",
        ),
        (
            started.clone() + "members sidecarId=sidecar/0 rev=1 list=0 kind=Q\n",
            "kind=Q",
        ),
        (
            started.clone() + "peer sidecarId=sidecar/0 who=1 data=!!\n",
            "data=!!",
        ),
        (
            started.clone() + "due sidecarId=sidecar/0 name\n",
            "is not name=value",
        ),
        (
            started
                + "report_back sidecarId=sidecar/0 xid=r attempt=0 ending=7 timeTakenNs=1 terminal=0\n",
            "is not a completion code",
        ),
    ];
    for (input, expected_error) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(
            !output.status.success() && error.contains(expected_error),
            "{expected_error}: {error}"
        );
        assert!(!error.contains("panicked"), "{error}");
        let reply = String::from_utf8_lossy(&output.stdout).to_string();
        assert!(
            reply.is_empty() || reply == "ok\n",
            "{expected_error}: neither an action nor a partial reply: {reply}"
        );
    }
}

#[test]
fn optional_fields_of_actions_are_written_only_if_set() {
    use balancer_sidecar::policy::*;
    use balancer_sidecar::simulator::{InstanceNumber, format_action};
    let ms = std::time::Duration::from_millis;
    let written = |action: Action| {
        let mut reply = String::new();
        format_action(&mut reply, InstanceNumber(3), &action);
        reply
    };
    let (request, endpoint) = (RequestId::from("r"), EndpointId::from("e"));
    let send = Action::Send {
        request: request.clone(),
        endpoint: endpoint.clone(),
        timeout: Some(ms(80)),
    };
    assert_eq!(
        written(send),
        "send sidecarId=sidecar/3 xid=r endpoint=e capNs=80000000\n"
    );
    let reject = |retry_after| Action::Reject {
        request: request.clone(),
        retry_after,
    };
    assert_eq!(written(reject(None)), "decline sidecarId=sidecar/3 xid=r\n");
    assert_eq!(
        written(reject(Some(ms(1)))),
        "decline sidecarId=sidecar/3 xid=r pauseNs=1000000\n"
    );
    let cancel = Action::Cancel {
        request: request.clone(),
        attempt: 2,
    };
    assert_eq!(
        written(cancel),
        "abandon sidecarId=sidecar/3 xid=r attempt=2\n"
    );
    assert_eq!(
        written(Action::Fail { request }),
        "report_failure sidecarId=sidecar/3 xid=r\n"
    );
    assert_eq!(
        written(Action::Unsubscribe),
        "track sidecarId=sidecar/3 active=0\n"
    );
    assert_eq!(written(Action::FetchList), "fetch sidecarId=sidecar/3\n");
    assert_eq!(
        written(Action::HealthCheck {
            endpoint: endpoint.clone()
        }),
        "poll sidecarId=sidecar/3 endpoint=e\n"
    );
    assert_eq!(
        written(Action::CloseIdleConnections { endpoint }),
        "free_links sidecarId=sidecar/3 endpoint=e\n"
    );
    let peer_message = Action::SendPeerMessage {
        to: None,
        data: b"hi 7".to_vec(),
    };
    assert_eq!(
        written(peer_message),
        "notify sidecarId=sidecar/3 neighbourId=-1 data=aGkgNw==\n"
    );
    assert_eq!(
        written(Action::SendPeerMessage {
            to: Some(PeerId(4)),
            data: vec![]
        }),
        "notify sidecarId=sidecar/3 neighbourId=4 data=-\n"
    );
    assert_eq!(
        written(Action::Log("a\nb".into())),
        "trace sidecarId=sidecar/3 noteText=a b\n"
    );
}

#[test]
fn rules_and_endpoint_types_may_be_absent() {
    use balancer_sidecar::configuration::settings_document::parse_settings;
    use balancer_sidecar::simulator::{Message, parse_message};
    use std::time::Duration;
    let plain = parse_settings(&settings_document(0)).expect("settings");
    assert_eq!(
        (plain.rules.drain_close, plain.rules.key_cooldown),
        (None, None)
    );
    assert!(plain.classes.iter().all(|class| !class.is_key_ordered));
    let extended = settings_document(0)
        .replace(
            "\"rules\": {",
            "\"rules\": {\"drainCloseNs\": 500000000, \"orderPauseNs\": 0, ",
        )
        .replace(
            "\"effect\": \"guarded\"",
            "\"byArrival\": true, \"effect\": \"guarded\"",
        );
    let extended = parse_settings(&extended).expect("settings");
    assert_eq!(extended.rules.drain_close, Some(Duration::from_millis(500)));
    assert_eq!(extended.rules.key_cooldown, Some(Duration::ZERO));
    assert_eq!(
        extended
            .classes
            .iter()
            .map(|class| class.is_key_ordered)
            .collect::<Vec<_>>(),
        [false, true]
    );
    let entry_machine_type = |line: &str| match parse_message(line).expect("an entry") {
        Message::ListEntry(entry) => entry.machine_type,
        other => panic!("{other:?}"),
    };
    let entry = "entry endpoint=e zone=z pack=0 readiness=U size=1 later=1";
    assert_eq!(entry_machine_type(entry), "".into());
    assert_eq!(
        entry_machine_type(&format!("{entry} familyType=fast")),
        "fast".into()
    );
}

#[test]
fn idle_connections_to_draining_endpoint_are_closed() {
    let settings =
        settings_document(0).replace("\"rules\": {", "\"rules\": {\"drainCloseNs\": 500000000, ");
    let input = format!(
        "frame momentNs=1000000000\n{}directory list=1 records=1\n\
         entry endpoint=endpoint.aa zone=z1 familyType=fast pack=0 readiness=L size=1\n\
         members sidecarId=sidecar/0 rev=42 list=1 kind=D\ngo extra=1\n",
        instance_start(0).replace(&settings_document(0), &settings)
    );
    assert!(replies(&input)[0].contains("free_links sidecarId=sidecar/0 endpoint=endpoint.aa\n"));
}
