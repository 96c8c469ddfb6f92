use super::*;

#[test]
fn watermark_record_is_deleted_after_its_last_job_and_number_not_reused() {
    let mut marks = SharedStartWatermarks::new(8.0);
    let id = |n: usize| JobId::parse(&format!("req-{n:06}")).unwrap();
    marks.loaded(3, BTreeSet::from([id(999)]));
    let numbers: Vec<u64> =
        (0..=constants::SHARED_WATERMARK_MAX_JOBS).map(|n| marks.add(&id(n))).collect();
    assert_eq!((numbers[0], numbers[constants::SHARED_WATERMARK_MAX_JOBS]), (4, 5));
    for n in 1..constants::SHARED_WATERMARK_MAX_JOBS {
        assert!(!marks.remove(4, &id(n)), "it names job 0");
    }
    assert!(marks.remove(4, &id(0)));
    assert!(!marks.remove(5, &id(constants::SHARED_WATERMARK_MAX_JOBS)), "it is being filled");
    assert!(marks.remove(3, &id(999)));
    assert_eq!(marks.add(&id(1)), 5);
}

#[test]
fn watermark_record_stays_within_value_limit() {
    let mut marks = SharedStartWatermarks::new(1.0);
    let longest = |n: usize| JobId::parse(&format!("req-{n:018}")).unwrap();
    let number = marks.add(&longest(0));
    let same =
        (1..constants::SHARED_WATERMARK_MAX_JOBS).take_while(|n| marks.add(&longest(*n)) == number);
    assert!(same.count() > 10);
    let jobs = marks.jobs(number).cloned().unwrap();
    let record = crate::records::SharedStartWatermarksRecord { jobs };
    assert!(serde_json::to_string(&record).unwrap().len() <= 1024);
    marks.loaded(7, (0..60).map(longest).collect());
    assert!(marks.too_large(7) && !marks.too_large(number));
}
