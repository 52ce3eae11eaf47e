//! The deploy file names every file of the decision module that decides something.
//!
//! Operators learn how the balancer decides from the files that `policy` in `deploy/balancer.toml` names. They would
//! miss a decision or a tunable constant in any other file.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const POLICY_FOLDER: &str = "src/policy";
/// The types of constants that tune a decision. A constant of another type, such as `Timestamp`, only names a special
/// value.
const TUNABLE_TYPES: [&str; 5] = ["f64", "u32", "u64", "usize", "Duration"];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the files that the deploy file names under `policy`.
fn deployed_policy_files() -> Vec<String> {
    let deploy = read(&root().join("deploy/balancer.toml"));
    let policy = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("a policy line");
    policy
        .split('"')
        .skip(1)
        .step_by(2)
        .map(String::from)
        .collect()
}

/// Returns the text of each source file of the decision module, by its path from the root.
fn policy_sources() -> BTreeMap<String, String> {
    let folder = fs::read_dir(root().join(POLICY_FOLDER)).expect("the policy folder");
    let paths = folder.map(|entry| entry.expect("an entry").path());
    paths
        .map(|path| {
            let name = path.file_name().expect("a file name").to_string_lossy();
            (format!("{POLICY_FOLDER}/{name}"), read(&path))
        })
        .collect()
}

/// Returns whether a file reads or changes the balancer's state.
fn acts_on_balancer(text: &str) -> bool {
    text.contains("impl Balancer")
}

/// Returns whether a file defines a constant that tunes a decision.
fn has_tunable_constant(text: &str) -> bool {
    let definitions = text.lines().filter_map(|line| line.split_once("const "));
    let typed = definitions.filter_map(|(_, definition)| definition.split_once(": "));
    typed
        .filter(|(_, definition)| definition.contains(" = "))
        .any(|(_, definition)| {
            TUNABLE_TYPES
                .iter()
                .any(|name| definition.starts_with(name))
        })
}

/// Returns the rows of the table of decisions in the module's documentation. Each row has a decision and its files.
fn documented_decisions() -> Vec<(String, Vec<String>)> {
    let text = read(&root().join(POLICY_FOLDER).join("mod.rs"));
    let rows = text
        .lines()
        .filter(|line| line.starts_with("//! |") && line.contains(".rs`"));
    rows.map(|row| {
        let mut columns = row.trim_start_matches("//! |").split('|');
        let decision = columns.next().expect("a decision").trim().to_owned();
        let files = columns
            .next()
            .expect("its files")
            .split('`')
            .skip(1)
            .step_by(2);
        (
            decision,
            files
                .map(|file| format!("{POLICY_FOLDER}/{file}"))
                .collect(),
        )
    })
    .collect()
}

#[test]
fn deployed_files_exist_and_are_unique() {
    let files = deployed_policy_files();
    assert!(!files.is_empty());
    for file in &files {
        assert!(root().join(file).is_file(), "{file} does not exist");
    }
    let distinct: BTreeSet<&String> = files.iter().collect();
    assert_eq!(distinct.len(), files.len(), "a file is named twice");
}

#[test]
fn files_with_balancer_state_are_deployed() {
    let deployed = deployed_policy_files();
    for (file, text) in policy_sources() {
        let is_deployed = deployed.contains(&file);
        assert!(
            is_deployed || !acts_on_balancer(&text),
            "{file} acts on the balancer's state and is not in the deploy file"
        );
    }
}

#[test]
fn files_with_tunable_constants_are_deployed() {
    let deployed = deployed_policy_files();
    for (file, text) in policy_sources() {
        let is_deployed = deployed.contains(&file);
        assert!(
            is_deployed || !has_tunable_constant(&text),
            "{file} defines a tunable constant and is not in the deploy file"
        );
    }
}

#[test]
fn deployed_files_match_decision_table() {
    let decisions = documented_decisions();
    let deployed: BTreeSet<String> = deployed_policy_files().into_iter().collect();
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (decision, files) in &decisions {
        for file in files {
            let other = owners.insert(file.clone(), decision);
            assert_eq!(other, None, "{file} is listed for two decisions");
        }
    }
    let documented: BTreeSet<String> = owners.into_keys().collect();
    assert_eq!(
        deployed, documented,
        "the deploy file and the module's table of decisions name different files"
    );
}
