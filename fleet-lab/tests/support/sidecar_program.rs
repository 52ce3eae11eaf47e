//! The sidecar program under test.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Returns the path of the sidecar program, which is built if it is missing.
pub fn sidecar_program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let workspace = Path::new(env!("CARGO_MANIFEST_DIR"))
            .parent()
            .expect("the workspace");
        let program = workspace.join("target/debug/balancer-sidecar");
        if !program.exists() {
            build_sidecar(workspace);
        }
        assert!(program.exists(), "{} was not built", program.display());
        program
    })
}

fn build_sidecar(workspace: &Path) {
    let arguments = [
        "build",
        "--locked",
        "--package",
        "balancer-sidecar",
        "--bin",
        "balancer-sidecar",
    ];
    let status = Command::new(env!("CARGO"))
        .args(arguments)
        .current_dir(workspace)
        .status();
    assert!(
        status.expect("cargo runs").success(),
        "the sidecar could not be built"
    );
}
