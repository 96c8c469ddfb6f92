use super::*;

#[test]
fn watermark_record_is_deleted_after_its_last_job_and_number_not_reused() {
    let mut watermarks = SharedStartWatermarks::new(8.0);
    let id = |n: usize| JobId::parse(&format!("req-{n:06}")).unwrap();
    watermarks.add_loaded(3, BTreeSet::from([id(999)]));
    let numbers: Vec<u64> =
        (0..=constants::SHARED_WATERMARK_MAX_JOBS).map(|n| watermarks.add(&id(n))).collect();
    assert_eq!((numbers[0], numbers[constants::SHARED_WATERMARK_MAX_JOBS]), (4, 5));
    for n in 1..constants::SHARED_WATERMARK_MAX_JOBS {
        assert!(!watermarks.remove(4, &id(n)), "record 4 still names job 0");
    }
    assert!(watermarks.remove(4, &id(0)));
    assert!(
        !watermarks.remove(5, &id(constants::SHARED_WATERMARK_MAX_JOBS)),
        "the record that is being filled stays"
    );
    assert!(watermarks.remove(3, &id(999)));
    assert_eq!(watermarks.add(&id(1)), 5);
}

#[test]
fn watermark_record_stays_within_value_limit() {
    let mut watermarks = SharedStartWatermarks::new(1.0);
    let longest_id = |n: usize| JobId::parse(&format!("req-{n:018}")).unwrap();
    let number = watermarks.add(&longest_id(0));
    let jobs_in_record = (1..constants::SHARED_WATERMARK_MAX_JOBS)
        .take_while(|n| watermarks.add(&longest_id(*n)) == number);
    assert!(jobs_in_record.count() > 10);
    let jobs = watermarks.jobs(number).cloned().unwrap();
    let record = crate::records::SharedStartWatermarksRecord { jobs };
    assert!(serde_json::to_string(&record).unwrap().len() <= 1024);
    watermarks.add_loaded(7, (0..60).map(longest_id).collect());
    assert!(watermarks.is_too_large(7) && !watermarks.is_too_large(number));
}
