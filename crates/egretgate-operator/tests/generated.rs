//! Checks that the committed code matches what is generated from the schema.
//!
//! Refresh it with `UPDATE_GENERATED=1 cargo test -p egretgate-operator --test generated`.

use std::path::Path;
use std::{env, fs};

const FILE: &str = "egretgate.operator.v1.rs";

fn generate(out_dir: &Path) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let schema = protox::compile(["operator.proto"], [&proto]).expect("schema compiles");
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .emit_rerun_if_changed(false)
        .compile_fds(schema)
        .expect("code is generated");
}

#[test]
fn committed_code_is_up_to_date() {
    let dir = tempfile::tempdir().expect("temporary directory");
    generate(dir.path());
    let generated = fs::read_to_string(dir.path().join(FILE)).expect("generated file");
    let committed =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated/egretgate.operator.v1.rs");
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed, &generated).expect("committed file is written");
    }
    let current = fs::read_to_string(&committed).expect("committed file");
    assert!(current == generated, "the schema changed; run with UPDATE_GENERATED=1 and commit");
}
