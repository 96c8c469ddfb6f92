//! Checks that the tests named in docs/safety.md exist.
//!
//! A lower-case word in backquotes with at least three underscores counts as the name of a test, since the names of
//! tests state a condition and the expected result. Shorter names of functions and settings (`take_direct_starts`,
//! `leader_lease_s`), paths (`ClusterState::cancel`) and constants (`TOKENS_PER_TERM`) do not count.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Minimum number of underscores in the name of a test.
const MIN_UNDERSCORES: usize = 3;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Whether a word in backquotes counts as the name of a test.
fn is_test_name(word: &str) -> bool {
    let in_snake_case = |character: char| {
        character.is_ascii_lowercase() || character.is_ascii_digit() || character == '_'
    };
    word.chars().all(in_snake_case) && word.matches('_').count() >= MIN_UNDERSCORES
}

/// Returns the tests that a page names. Backquotes come in pairs, so every second part of the split text is in
/// backquotes.
fn tests_named_in(page: &str) -> BTreeSet<&str> {
    page.split('`').skip(1).step_by(2).filter(|word| is_test_name(word)).collect()
}

/// Adds the names of all functions with a test attribute in the Rust files below a folder to `found`.
fn collect_tests(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder can be read").path();
        if path.is_dir() {
            collect_tests(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.extend(tests_in(
                &std::fs::read_to_string(&path).expect("the source file can be read"),
            ));
        }
    }
}

/// Returns the names of the functions that follow `#[test]` or `#[tokio::test]`, with or without other attributes in
/// between.
fn tests_in(source: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut is_test = false;
    for line in source.lines().map(str::trim) {
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            is_test = true;
        } else if let Some((_, rest)) = line.split_once("fn ") {
            let name = rest.split(['(', '<']).next().unwrap_or_default();
            found.extend(is_test.then(|| name.to_owned()));
            is_test = false;
        }
    }
    found
}

#[test]
fn every_test_that_the_safety_page_names_exists() {
    let page = std::fs::read_to_string(repository_root().join("docs/safety.md"))
        .expect("docs/safety.md can be read");
    let named = tests_named_in(&page);
    assert!(!named.is_empty(), "no name of a test was found in docs/safety.md");
    let mut tests = BTreeSet::new();
    collect_tests(&repository_root().join("crates"), &mut tests);
    let missing: Vec<&str> = named.into_iter().filter(|name| !tests.contains(*name)).collect();
    assert!(missing.is_empty(), "docs/safety.md names tests that don't exist: {missing:#?}");
}

#[test]
fn only_long_snake_case_words_in_backquotes_count_as_tests() {
    let page = "(`a_lost_answer_is_read_again`, `take_pushes`; `ClusterState::a_b_c_d`)\n`A_B_C_D` e_f_g_h `leader_lease_s`";
    assert_eq!(tests_named_in(page), BTreeSet::from(["a_lost_answer_is_read_again"]));
    let source = "#[test]\nfn one() {}\nfn helper() {}\n#[tokio::test(start_paused = true)]\nasync fn two() {}\n";
    assert_eq!(tests_in(source), ["one", "two"]);
}
