//! Randomised runs with a fixed set of seeds.

use fulmarswitch_trials::run::{RunPlan, run_plan};
use rstest::rstest;
use std::time::Duration;

/// Number of one-second steps of each run.
const STEPS: u32 = 15;

#[rstest]
fn promises_hold(
    #[values(
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
    )]
    seed: u64,
) {
    let report = run_plan(&RunPlan::new(seed, STEPS));
    assert!(report.violations.is_empty(), "{report}");
}

/// Seeds that exposed a fault, with the number of steps that exposed it.
#[rstest]
#[case::inputs_of_two_groups_mixed_up(104, 20)]
#[case::inputs_of_two_groups_mixed_up_again(190, 20)]
#[case::cut_by_a_planned_stop(42, 20)]
#[case::cut_by_a_planned_stop_again(155, 20)]
#[case::parts_of_another_answer(14, 25)]
#[case::parts_of_another_answer_again(360, 25)]
#[case::cancelled_items_start_late(722, 25)]
#[case::cancelled_items_start_late_again(1044, 25)]
#[case::announced_item_handed_out_twice(30388, 20)]
fn promises_hold_that_once_broke(#[case] seed: u64, #[case] steps: u32) {
    let report = run_plan(&RunPlan::new(seed, steps));
    assert!(report.violations.is_empty(), "{report}");
}

/// Seeds that exposed a fault with a short log retention, with the number of steps and the retention.
#[rstest]
#[case::a_job_expires_before_its_copy(16, 25, 20)]
#[case::hosts_differ(198, 25, 20)]
#[case::jobs_and_keys_are_lost(221, 25, 20)]
#[case::a_key_is_lost(259, 25, 20)]
fn promises_hold_while_records_expire(
    #[case] seed: u64,
    #[case] steps: u32,
    #[case] retention_s: u64,
) {
    let plan = RunPlan {
        retention: Some(Duration::from_secs(retention_s)),
        ..RunPlan::new(seed, steps)
    };
    let report = run_plan(&plan);
    assert!(report.violations.is_empty(), "{report}");
}
