//! The choice of the endpoint for a request, and the estimate of its load.

use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

use EndpointEligibility::{Excluded, Ready, Suspected};

fn table(count: u32) -> EndpointTable {
    let spec = |index| EndpointSpec {
        name: format!("endpoint-{index:05}").into(),
        same_domain: index % 2 == 0,
    };
    EndpointTable::new((0..count).map(spec).collect())
}

fn view(held: u32, eligibility: EndpointEligibility) -> EndpointView {
    EndpointView {
        load: LoadShare { held, limit: 10 },
        eligibility,
    }
}

/// Endpoints with even indices are in the failure domain of the load balancer. Each case holds the
/// load and eligibility of the endpoints and the index of the chosen one.
#[rstest]
#[case::the_idle_one(&[(9, Ready), (9, Ready), (0, Ready)], Some(2))]
#[case::the_same_domain_breaks_a_tie(&[(1, Ready), (1, Ready)], Some(0))]
#[case::load_outweighs_the_domain(&[(1, Ready), (0, Ready)], Some(1))]
#[case::a_suspected_one_is_avoided(&[(9, Ready), (0, Suspected)], Some(0))]
#[case::a_suspected_one_without_alternative(&[(0, Excluded), (9, Suspected)], Some(1))]
#[case::none_when_all_are_excluded(&[(0, Excluded), (0, Excluded)], None)]
#[case::none_when_there_are_none(&[], None)]
fn choice_without_prefix(
    #[case] endpoints: &[(u32, EndpointEligibility)],
    #[case] expected: Option<u32>,
) {
    let count = u32::try_from(endpoints.len()).expect("few endpoints");
    for seed in 0..50 {
        let chosen = table(count).choose(RequestAffinity::Any(seed), |index| {
            let (held, eligibility) = endpoints[index.as_usize()];
            view(held, eligibility)
        });
        assert_eq!(chosen, expected.map(EndpointIndex), "seed {seed}");
    }
}

#[rstest]
#[case::few(12)]
#[case::largest_ranked_service(16)]
#[case::smallest_service_with_a_ring(17)]
#[case::many(1_000)]
fn only_prefixes_of_a_lost_endpoint_move(#[case] count: u32) {
    let table = table(count);
    let idle = |_| view(0, Ready);
    for prefix in 0..500 {
        let affinity = RequestAffinity::of_prefix(&format!("prefix {prefix}"));
        let before = table.choose(affinity, idle);
        let lost = EndpointIndex(3);
        let after = table.choose(affinity, |index| {
            view(0, if index == lost { Excluded } else { Ready })
        });
        assert_ne!(after, Some(lost));
        if before != Some(lost) {
            assert_eq!(after, before, "prefix {prefix}");
        }
    }
}

#[rstest]
#[case::few(12)]
#[case::many(1_000)]
fn a_busy_endpoint_sheds_its_prefixes(#[case] count: u32) {
    let table = table(count);
    let affinity = RequestAffinity::of_prefix("shared prompt");
    let mut held = vec![0_u32; table.len()];
    for _ in 0..100 {
        let chosen = table
            .choose(affinity, |index| view(held[index.as_usize()], Ready))
            .expect("all are ready");
        held[chosen.as_usize()] += 1;
    }
    let max_held = held.iter().max().expect("the service has endpoints");
    assert!(*max_held <= 14, "one endpoint got {max_held} of 100");
}

#[rstest]
#[case::no_reports(&[], 0, 0)]
#[case::sent_requests(&["send", "send", "end"], 0, 1)]
#[case::a_report_and_later_requests(&["send", "note", "send"], 0, 9)]
#[case::a_report_counts_for_half(&["note"], 500, 4)]
#[case::a_report_decays_to_nothing(&["note"], 60_000, 0)]
#[case::sent_requests_do_not_decay(&["note", "send", "send"], 60_000, 2)]
fn estimated_load(#[case] events: &[&str], #[case] at_ms: u64, #[case] expected: u32) {
    let mut load = EndpointLoad::default();
    for event in events {
        match *event {
            "send" => load.record_sent(),
            "end" => load.record_end(),
            _ => load.record_report(Duration::ZERO, LoadShare { held: 8, limit: 10 }),
        }
    }
    assert_eq!(load.estimate(Duration::from_millis(at_ms)).held, expected);
}

fn eligibilities() -> impl Strategy<Value = Vec<EndpointEligibility>> {
    let one = prop_oneof![Just(Ready), Just(Suspected), Just(Excluded)];
    proptest::collection::vec(one, 1..80)
}

proptest! {
    #[test]
    fn the_choice_has_the_best_eligibility(eligibilities in eligibilities(), seed: u64, affine: bool) {
        let count = u32::try_from(eligibilities.len()).expect("few endpoints");
        let affinity = if affine {
            RequestAffinity::Prefix(seed)
        } else {
            RequestAffinity::Any(seed)
        };
        let chosen = table(count).choose(affinity, |index| view(0, eligibilities[index.as_usize()]));
        let best = eligibilities.iter().min().copied().filter(|best| *best != Excluded);
        prop_assert_eq!(chosen.map(|index| eligibilities[index.as_usize()]), best);
    }
}
