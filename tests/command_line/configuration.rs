//! `check`, `explain`, `diff` and `schema`.

use super::{Folder, configuration, run_program, stderr, stdout, text};
use serde_json::{Value, json};

fn check(folder: &Folder, document: &Value) -> (Option<i32>, Vec<String>, Vec<String>) {
    let file = folder.write("config.json", &document.to_string());
    let output = run_program(&["check", "--config", text(&file)]);
    let lines = |text: String| text.lines().map(String::from).collect();
    (
        output.status.code(),
        lines(stderr(&output)),
        lines(stdout(&output)),
    )
}

/// Guards `check` against faults of its own: what can be used has none.
#[test]
fn a_configuration_that_can_be_used_has_no_fault() {
    let folder = Folder::new("check-good");
    assert_eq!(check(&folder, &configuration()), (Some(0), vec![], vec![]));
    let mut other = configuration();
    other["settings"]["weightSource"] = Value::Null;
    other["settings"]["worthBy"] = Value::Null;
    assert_eq!(
        check(&folder, &other),
        (Some(0), vec![], vec![]),
        "null is as absent"
    );
}

/// Guards against faults that are told one a run: all of them at once, each with its path, what was found and what is allowed.
#[test]
fn all_faults_are_told_at_once() {
    let folder = Folder::new("check-faults");
    let mut document = configuration();
    document["limits"]["memory_mb"] = json!("much");
    document["settings"]["discovery"] = json!("perhaps");
    document["settings"]["categories"][1]["worth"] = json!(true);
    document["settings"]["bounds"]
        .as_object_mut()
        .expect("bounds")
        .remove("sendCap");
    let (code, faults, _) = check(&folder, &document);
    assert_eq!((code, faults.len()), (Some(2), 4), "{faults:?}");
    for (path, says) in [
        ("limits.memory_mb: ", "\"much\" is not of type \"integer\""),
        ("settings.discovery: ", "perhaps"),
        (
            "settings.categories[1].worth: ",
            "true is not of type \"number\"",
        ),
        ("settings.bounds: ", "\"sendCap\" is a required property"),
    ] {
        assert!(
            faults
                .iter()
                .any(|f| f.starts_with(path) && f.contains(says)),
            "{path}{says}: {faults:?}"
        );
    }
}

/// Guards values that are of the right kind and make no sense, by the names that the document has for them.
#[test]
fn settings_that_make_no_sense_are_told_by_their_paths() {
    let folder = Folder::new("check-sense");
    let mut document = configuration();
    document["settings"]["balancers"] = json!(0);
    document["settings"]["bounds"]["sendCap"] = json!(0);
    document["settings"]["categories"][0]["hardLimitNs"] = json!(0);
    document["settings"]["rules"]["coldFrom"] = json!(1.5);
    let (code, faults, _) = check(&folder, &document);
    let expected = [
        "settings.balancers: is zero",
        "settings.bounds.sendCap: is zero",
        "settings.categories[0].hardLimitNs: is zero",
        "settings.rules.coldFrom: is not from 0 to 1",
    ];
    assert_eq!(
        (code, faults),
        (Some(2), expected.map(String::from).to_vec())
    );
}

/// Guards what the schema does not know: addresses and a file that is no JSON.
#[test]
fn what_is_no_document_or_address_is_one_fault() {
    let folder = Folder::new("check-text");
    let mut document = configuration();
    document["listen"] = json!("nowhere");
    let (code, faults, _) = check(&folder, &document);
    assert_eq!((code, faults.len()), (Some(2), 1), "{faults:?}");
    assert!(faults[0].starts_with("listen: "), "{faults:?}");
    let file = folder.write("cut.json", &configuration().to_string()[..90]);
    let output = run_program(&["check", "--config", text(&file)]);
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

/// Guards what a JSON value does not show: a key that is there twice is an error, with its position in the text.
#[test]
fn check_reports_a_duplicate_key_with_its_position() {
    let folder = Folder::new("check-duplicate");
    let valid = configuration().to_string();
    let duplicated = valid.replacen("\"coldFrom\":", "\"coldFrom\":0.2,\"coldFrom\":", 1);
    let second_key_end = duplicated.rfind("\"coldFrom\"").expect("the key") + "\"coldFrom\"".len();
    let file = folder.write("config.json", &duplicated);
    let output = run_program(&["check", "--config", text(&file)]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        format!("settings.rules: duplicate field `coldFrom` at line 1 column {second_key_end}\n")
    );
}

/// Guards against keys that are misspelt: they are warned of, and are no fault.
#[test]
fn unknown_keys_are_warned_of() {
    let folder = Folder::new("check-unknown");
    let mut document = configuration();
    document["settings"]["rules"]["coldFrm"] = json!(0.1);
    let (code, faults, warnings) = check(&folder, &document);
    assert_eq!((code, faults), (Some(0), vec![]));
    assert_eq!(
        warnings,
        ["warning: settings.rules.coldFrm: this key is not known and is passed over"]
    );
}

/// Guards `explain`: each value with its unit and where it came from.
#[test]
fn explain_shows_values_units_and_origins() {
    let folder = Folder::new("explain");
    let file = folder.write("config.json", &configuration().to_string());
    let output = run_program(&["explain", "--config", text(&file)]);
    assert_eq!(output.status.code(), Some(0));
    let lines = stdout(&output);
    for line in [
        "limits.memory_mb = 64 MB (file)",
        "settings.bounds.connIdleNs = 5000000000 ns, 5s (file)",
        "settings.rules.askWithinNs = 0 ns, 0ns (default)",
        "settings.categories[1].lateShare = 0.0 (default)",
        "name = \"n0\" (file)",
    ] {
        assert!(lines.lines().any(|l| l == line), "{line}: {lines}");
    }
}

/// Guards `diff` against saying other than SIGHUP does: settings and discovery follow, the rest needs a restart, a key that has
/// gone turns the file down.
#[test]
fn diff_tells_what_a_reload_would_do() {
    let folder = Folder::new("diff");
    let old = folder.write("old.json", &configuration().to_string());
    let against = |document: &Value| {
        let new = folder.write("new.json", &document.to_string());
        let output = run_program(&["diff", text(&old), text(&new)]);
        (output.status.code(), stdout(&output))
    };
    assert_eq!(
        against(&configuration()),
        (Some(0), "nothing changes\n".into())
    );

    let mut other = configuration();
    other["settings"]["rules"]["coldFrom"] = json!(0.5);
    other["discovery"] = json!("127.0.0.1:2");
    other["limits"]["memory_mb"] = json!(128);
    other["seed"] = json!("1");
    let expected = "SIGHUP changes discovery: \"127.0.0.1:1\" to \"127.0.0.1:2\"\n\
                    only a restart changes limits.memory_mb: 64 to 128\n\
                    SIGHUP changes settings.rules.coldFrom: 0.3 to 0.5\n";
    assert_eq!(against(&other), (Some(0), expected.into()));

    let mut shorter = configuration();
    shorter["settings"]["rules"]
        .as_object_mut()
        .expect("rules")
        .remove("coldFrom");
    shorter["settings"]["rules"]["coldFrom2"] = json!(0.5);
    let (code, _) = against(&shorter);
    assert_eq!(code, Some(2), "it cannot be used at all");
    let mut shorter = configuration();
    shorter["settings"]
        .as_object_mut()
        .expect("settings")
        .remove("stages");
    let expected = "turned down: settings.stages is missing, which was there before\n";
    assert_eq!(against(&shorter), (Some(1), expected.into()));
}

/// Guards the schema that is published against types that have moved on: `balancer-sidecar schema` writes it anew.
#[test]
fn the_schema_on_the_page_is_that_of_the_types() {
    let output = run_program(&["schema"]);
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/docs/configuration.schema.json"
    );
    let published = std::fs::read_to_string(path).expect("the schema");
    assert_eq!(stdout(&output), published);
}
