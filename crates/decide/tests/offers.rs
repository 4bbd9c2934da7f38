//! The choice of the job that a gate pulls items from.

use fulmarswitch_decide::offers::{OfferCandidate, choose_offer, workspace_load};
use rstest::rstest;

/// Job, workspace, due time in seconds, available items, items of the workspace at the gate, weight
/// of the workspace.
type OfferCase = (&'static str, &'static str, u64, u32, u32, u32);

#[rstest]
#[case::nearest_due_date(&[("a", "w", 600, 1, 0, 1), ("b", "w", 60, 1, 0, 1)], Some("b"))]
#[case::job_without_items_is_skipped(&[("a", "w", 60, 0, 0, 1), ("b", "w", 600, 1, 0, 1)], Some("b"))]
#[case::lowest_load_within_a_bucket(&[("a", "v", 600, 1, 4, 1), ("b", "w", 601, 1, 3, 1)], Some("b"))]
#[case::weight_counts(&[("a", "v", 600, 1, 4, 4), ("b", "w", 601, 1, 3, 1)], Some("a"))]
#[case::near_due_date_before_fairness(&[("a", "v", 60, 1, 90, 1), ("b", "w", 600, 1, 0, 1)], Some("a"))]
#[case::no_items(&[("a", "w", 60, 0, 0, 1)], None)]
fn earliest_due_time_then_lowest_load(
    #[case] offers: &[OfferCase],
    #[case] expected: Option<&str>,
) {
    let view = |offer: &OfferCase| OfferCandidate {
        job: offer.0.into(),
        workspace: offer.1.into(),
        due_ms: offer.2 * 1_000,
        waiting: offer.3,
        workspace_load: workspace_load(offer.4, offer.5),
    };
    let views: Vec<OfferCandidate> = offers.iter().map(view).collect();
    assert_eq!(choose_offer(&views).map(|index| offers[index].0), expected);
}

/// Pulls one item at a time and checks that the share of each workspace follows its weight.
#[test]
fn pulls_follow_the_weights() {
    let weights = [("a", 1), ("b", 2), ("c", 5)];
    let mut held = [0_u32; 3];
    for _ in 0..160 {
        let views: Vec<OfferCandidate> = weights
            .iter()
            .zip(held)
            .map(|((workspace, weight), items)| OfferCandidate {
                job: format!("{workspace}/job").into(),
                workspace: (*workspace).into(),
                due_ms: 3_600_000,
                waiting: 1,
                workspace_load: workspace_load(items, *weight),
            })
            .collect();
        held[choose_offer(&views).expect("all have items")] += 1;
    }
    assert_eq!(held, [20, 40, 100]);
}
