use super::*;

#[test]
fn task_may_start_only_below_the_durable_watermark() {
    let mut watermark = StartWatermark::new(true);
    assert!(!watermark.allows_start(0) && !watermark.needs_record());
    watermark.set_target(8);
    assert!(watermark.covers(7) && !watermark.covers(8));
    assert!(
        watermark.needs_record() && !watermark.allows_start(0),
        "no start before the watermark is durable"
    );
    watermark.mark_durable(watermark.value_to_record());
    assert!(watermark.allows_start(7) && !watermark.allows_start(8));
    assert!(!watermark.needs_record());
    watermark.mark_durable(4);
    assert!(watermark.allows_start(7), "a durable watermark is never lowered");
}

#[test]
fn earlier_job_without_complete_watermarks_counts_as_started_once_durable() {
    for (accepted_with_watermark, complete) in [(true, false), (false, true), (false, false)] {
        let mut watermark = StartWatermark::new(accepted_with_watermark);
        watermark.mark_durable(3);
        watermark.finish_loading(10, complete);
        assert_eq!(watermark.never_started_from(), 10);
        assert!(watermark.needs_record() && watermark.is_assumed());
        assert!(
            watermark.allows_start(2) && !watermark.allows_start(3),
            "an assumption allows no start"
        );
        watermark.mark_durable(watermark.value_to_record());
        assert!(watermark.allows_start(9));
        assert!(!watermark.needs_record() && !watermark.is_assumed());
    }
    let mut watermark = StartWatermark::new(true);
    watermark.mark_durable(3);
    watermark.finish_loading(10, true);
    assert_eq!(watermark.never_started_from(), 3);
    assert!(!watermark.is_assumed() && !watermark.needs_record());
}
