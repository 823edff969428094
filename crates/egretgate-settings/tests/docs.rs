//! The tables of settings in the operators' guide are up to date.
//!
//! Update them with `UPDATE_DOCS=1 cargo test -p egretgate-settings --test docs`.

use std::path::Path;
use std::{env, fs};

use egretgate_settings::{client, entry, side};

/// Replaces the text between the marker of `name` and the next end marker with `table`.
fn refresh(text: &str, name: &str, table: &str) -> String {
    let marker = format!("<!-- settings: {name} -->\n");
    let (before, rest) = text.split_once(&marker).expect("marker");
    let (_, after) = rest.split_once("<!-- end -->").expect("end");
    format!("{before}{marker}{table}<!-- end -->{after}")
}

#[test]
fn settings_tables_are_fresh() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATORS.md");
    let found = fs::read_to_string(&path).expect("guide");
    let mut fresh = refresh(&found, "entry", &entry::TABLE.markdown());
    fresh = refresh(&fresh, "client", &client::TABLE.markdown());
    fresh = refresh(&fresh, "side", &side::TABLE.markdown());
    if env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, &fresh).expect("guide is written");
        return;
    }
    assert!(found == fresh, "the settings changed; run with UPDATE_DOCS=1 and commit");
}
