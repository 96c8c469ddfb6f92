use super::*;

const SMALL_VALUE_KB: f64 = 2.0;

fn id() -> JobId {
    JobId::parse("req-000001").unwrap()
}

#[test]
fn progress_page_is_divided_only_under_small_value_limit() {
    let large = Progress::new(40_000, 8.0);
    let keys: Vec<String> = (0..3).map(|page| large.key(&id(), page)).collect();
    assert_eq!(keys, ["p/req-000001/0", "p/req-000001/1", "p/req-000001/2"]);
    let small = Progress::new(40_000, SMALL_VALUE_KB);
    let keys: Vec<String> = (0..3).map(|page| small.key(&id(), page)).collect();
    assert_eq!(keys, ["p/req-000001/0", "p/req-000001/0/8192", "p/req-000001/1"]);
    let all_completed: Vec<bool> = small.range(0).map(|_| true).collect();
    let length = serde_json::to_string(&ProgressRecord::new(&all_completed)).unwrap().len();
    assert!(length as f64 <= SMALL_VALUE_KB * 1024.0, "{length} bytes");
}

#[test]
fn oversized_progress_record_is_overwritten_only_after_smaller_pages_are_stored() {
    let mut progress = Progress::new(16_384, SMALL_VALUE_KB);
    let mut results = vec![false; 16_384];
    results[5] = true;
    results[9_000] = true;
    let loaded = progress.apply_record(0, 7, Some(&ProgressRecord::new(&results)));
    assert_eq!(loaded.done, [5, 9_000]);
    assert_eq!(loaded.pages_to_write, [1], "page 1 needs a record of its own");
    assert!(progress.is_durable(5) && progress.is_durable(9_000));
    assert!(progress.queue(1));
    assert!(progress.must_not_overwrite_yet(0), "results of page 1 are stored in this record only");
    progress.unqueue(1);
    assert!(progress.must_not_overwrite_yet(0), "page 1 is not stored yet");
    let own_record = ProgressRecord::new(&results[8_192..]);
    assert_eq!(progress.apply_record(8_192, 8, Some(&own_record)).pages_to_write, [0usize; 0]);
    assert!(!progress.must_not_overwrite_yet(0));
}

#[test]
fn smaller_progress_page_of_unused_size_counts_and_is_not_overwritten() {
    let mut progress = Progress::new(16_384, 8.0);
    let smaller_page = ProgressRecord::new(&[true]);
    assert_eq!(progress.apply_record(8_192, 8, Some(&smaller_page)).pages_to_write, [0usize; 0]);
    assert!(progress.is_durable(8_192));
    assert_eq!(progress.mod_revision(0), 0);
}
