//! Tests of `check`, `explain`, `diff` and `schema`.

use super::{TestDirectory, path_text, run_program, stderr, stdout, valid_configuration};
use serde_json::{Value, json};

/// Runs `check` on a document. Returns the exit code, the lines of errors and the lines of warnings.
fn check(directory: &TestDirectory, document: &Value) -> (Option<i32>, Vec<String>, Vec<String>) {
    let file = directory.write_file("config.json", &document.to_string());
    let output = run_program(&["check", "--config", path_text(&file)]);
    let lines = |text: String| text.lines().map(String::from).collect();
    (
        output.status.code(),
        lines(stderr(&output)),
        lines(stdout(&output)),
    )
}

/// Guards against errors that `check` reports for a valid configuration.
#[test]
fn check_accepts_a_valid_configuration() {
    let directory = TestDirectory::new("check-good");
    assert_eq!(
        check(&directory, &valid_configuration()),
        (Some(0), vec![], vec![])
    );
    let mut changed = valid_configuration();
    changed["settings"]["weightSource"] = Value::Null;
    changed["settings"]["worthBy"] = Value::Null;
    assert_eq!(
        check(&directory, &changed),
        (Some(0), vec![], vec![]),
        "null counts as absent"
    );
}

/// Guards against a report that ends at the first error. All errors must be reported at once, each with its path and
/// reason.
#[test]
fn check_reports_all_errors_at_once() {
    let directory = TestDirectory::new("check-errors");
    let mut document = valid_configuration();
    document["limits"]["memory_mb"] = json!("much");
    document["settings"]["discovery"] = json!("perhaps");
    document["settings"]["categories"][1]["worth"] = json!(true);
    document["settings"]["bounds"]
        .as_object_mut()
        .expect("bounds")
        .remove("sendCap");
    let (code, errors, _) = check(&directory, &document);
    assert_eq!((code, errors.len()), (Some(2), 4), "{errors:?}");
    for (path, expected_message) in [
        ("limits.memory_mb: ", "\"much\" is not of type \"integer\""),
        ("settings.discovery: ", "perhaps"),
        (
            "settings.categories[1].worth: ",
            "true is not of type \"number\"",
        ),
        ("settings.bounds: ", "\"sendCap\" is a required property"),
    ] {
        assert!(
            errors
                .iter()
                .any(|error| error.starts_with(path) && error.contains(expected_message)),
            "{path}{expected_message}: {errors:?}"
        );
    }
}

/// Guards against values of the right type that are out of range. They must be reported under their keys in the
/// document.
#[test]
fn check_reports_invalid_settings_by_their_document_paths() {
    let directory = TestDirectory::new("check-sense");
    let mut document = valid_configuration();
    document["settings"]["balancers"] = json!(0);
    document["settings"]["bounds"]["sendCap"] = json!(0);
    document["settings"]["categories"][0]["hardLimitNs"] = json!(0);
    document["settings"]["rules"]["coldFrom"] = json!(1.5);
    let (code, errors, _) = check(&directory, &document);
    let expected = [
        "settings.balancers: is zero",
        "settings.bounds.sendCap: is zero",
        "settings.categories[0].hardLimitNs: is zero",
        "settings.rules.coldFrom: is not from 0 to 1",
    ];
    assert_eq!(
        (code, errors),
        (Some(2), expected.map(String::from).to_vec())
    );
}

/// Guards against missing reports of errors that the schema does not cover: invalid addresses, files that are not JSON,
/// missing files, and a command without a file.
#[test]
fn check_reports_errors_that_the_schema_does_not_cover() {
    let directory = TestDirectory::new("check-text");
    let mut document = valid_configuration();
    document["listen"] = json!("nowhere");
    let (code, errors, _) = check(&directory, &document);
    assert_eq!((code, errors.len()), (Some(2), 1), "{errors:?}");
    assert!(errors[0].starts_with("listen: "), "{errors:?}");
    let file = directory.write_file("cut.json", &valid_configuration().to_string()[..90]);
    let output = run_program(&["check", "--config", path_text(&file)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).starts_with("the document: it is no JSON: "),
        "{}",
        stderr(&output)
    );
    assert_eq!(
        run_program(&["check", "--config", "/no/such/file"])
            .status
            .code(),
        Some(2)
    );
    assert_eq!(
        run_program(&["check"]).status.code(),
        Some(2),
        "no file is named"
    );
}

/// Guards against duplicate keys, which a parsed JSON value does not show. They must be reported with their position in
/// the text.
#[test]
fn check_reports_a_duplicate_key_with_its_position() {
    let directory = TestDirectory::new("check-duplicate");
    let valid = valid_configuration().to_string();
    let duplicated = valid.replacen("\"coldFrom\":", "\"coldFrom\":0.2,\"coldFrom\":", 1);
    let second_key_end = duplicated.rfind("\"coldFrom\"").expect("the key") + "\"coldFrom\"".len();
    let file = directory.write_file("config.json", &duplicated);
    let output = run_program(&["check", "--config", path_text(&file)]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        format!("settings.rules: duplicate field `coldFrom` at line 1 column {second_key_end}\n")
    );
}

/// Guards against misspelt keys that go unnoticed. An unknown key must cause a warning, but no error.
#[test]
fn check_warns_of_unknown_keys() {
    let directory = TestDirectory::new("check-unknown");
    let mut document = valid_configuration();
    document["settings"]["rules"]["coldFrm"] = json!(0.1);
    let (code, errors, warnings) = check(&directory, &document);
    assert_eq!((code, errors), (Some(0), vec![]));
    assert_eq!(
        warnings,
        ["warning: settings.rules.coldFrm: this key is not known and is passed over"]
    );
}

/// Guards the output of `explain`: each value with its unit and origin.
#[test]
fn explain_shows_values_units_and_origins() {
    let directory = TestDirectory::new("explain");
    let file = directory.write_file("config.json", &valid_configuration().to_string());
    let output = run_program(&["explain", "--config", path_text(&file)]);
    assert_eq!(output.status.code(), Some(0));
    let lines = stdout(&output);
    for line in [
        "limits.memory_mb = 64 MB (file)",
        "settings.bounds.connIdleNs = 5000000000 ns, 5s (file)",
        "settings.rules.askWithinNs = 0 ns, 0ns (default)",
        "settings.categories[1].lateShare = 0.0 (default)",
        "name = \"n0\" (file)",
    ] {
        assert!(lines.lines().any(|shown| shown == line), "{line}: {lines}");
    }
}

/// Guards against a `diff` that disagrees with the effect of SIGHUP. Settings and discovery change with SIGHUP, other
/// values need a restart, and a missing key makes a reload reject the whole file.
#[test]
fn diff_shows_what_a_reload_would_change() {
    let directory = TestDirectory::new("diff");
    let old = directory.write_file("old.json", &valid_configuration().to_string());
    let diff_with = |document: &Value| {
        let new = directory.write_file("new.json", &document.to_string());
        let output = run_program(&["diff", path_text(&old), path_text(&new)]);
        (output.status.code(), stdout(&output))
    };
    assert_eq!(
        diff_with(&valid_configuration()),
        (Some(0), "nothing changes\n".into())
    );

    let mut changed = valid_configuration();
    changed["settings"]["rules"]["coldFrom"] = json!(0.5);
    changed["discovery"] = json!("127.0.0.1:2");
    changed["limits"]["memory_mb"] = json!(128);
    changed["seed"] = json!("1");
    let expected = "SIGHUP changes discovery: \"127.0.0.1:1\" to \"127.0.0.1:2\"\n\
                    only a restart changes limits.memory_mb: 64 to 128\n\
                    SIGHUP changes settings.rules.coldFrom: 0.3 to 0.5\n";
    assert_eq!(diff_with(&changed), (Some(0), expected.into()));

    let mut incomplete = valid_configuration();
    incomplete["settings"]["rules"]
        .as_object_mut()
        .expect("rules")
        .remove("coldFrom");
    incomplete["settings"]["rules"]["coldFrom2"] = json!(0.5);
    let (code, _) = diff_with(&incomplete);
    assert_eq!(code, Some(2), "the file is invalid");
    let mut incomplete = valid_configuration();
    incomplete["settings"]
        .as_object_mut()
        .expect("settings")
        .remove("stages");
    let expected = "turned down: settings.stages is missing, which was there before\n";
    assert_eq!(diff_with(&incomplete), (Some(1), expected.into()));
}

/// Guards against a published schema that is out of date. `balancer-sidecar schema` prints the current schema.
#[test]
fn published_schema_is_up_to_date() {
    let output = run_program(&["schema"]);
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/docs/configuration.schema.json"
    );
    let published = std::fs::read_to_string(path).expect("the schema");
    assert_eq!(stdout(&output), published);
}
