//! Which endpoint a request goes to.

use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

use EndpointEligibility::{Excluded, Ready, Suspected};

fn table(count: u32) -> EndpointTable {
    let spec = |at| EndpointSpec {
        name: format!("endpoint-{at:05}").into(),
        same_domain: at % 2 == 0,
    };
    EndpointTable::new((0..count).map(spec).collect())
}

fn view(held: u32, eligibility: EndpointEligibility) -> EndpointView {
    EndpointView {
        load: LoadShare { held, limit: 10 },
        eligibility,
    }
}

/// Endpoints with even numbers are near.
#[rstest]
#[case::the_idle_one(&[(9, Ready), (9, Ready), (0, Ready)], Some(2))]
#[case::the_near_one_of_equals(&[(1, Ready), (1, Ready)], Some(0))]
#[case::load_outweighs_nearness(&[(1, Ready), (0, Ready)], Some(1))]
#[case::a_suspected_one_waits(&[(9, Ready), (0, Suspected)], Some(0))]
#[case::a_suspected_one_when_alone(&[(0, Excluded), (9, Suspected)], Some(1))]
#[case::none_when_all_are_excluded(&[(0, Excluded), (0, Excluded)], None)]
#[case::none_when_there_are_none(&[], None)]
fn choice_without_prefix(
    #[case] endpoints: &[(u32, EndpointEligibility)],
    #[case] expected: Option<u32>,
) {
    let count = u32::try_from(endpoints.len()).expect("few endpoints");
    for seed in 0..50 {
        let chosen = table(count).choose(RequestAffinity::Any(seed), |index| {
            let (held, standing) = endpoints[index.as_usize()];
            view(held, standing)
        });
        assert_eq!(chosen, expected.map(EndpointIndex), "seed {seed}");
    }
}

#[rstest]
#[case::few(12)]
#[case::just_ranked(16)]
#[case::just_probed(17)]
#[case::many(1_000)]
fn only_the_prefixes_of_a_lost_endpoint_move(#[case] count: u32) {
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
fn a_busy_endpoint_passes_its_prefixes_on(#[case] count: u32) {
    let table = table(count);
    let affinity = RequestAffinity::of_prefix("shared prompt");
    let mut held = vec![0_u32; table.len()];
    for _ in 0..100 {
        let chosen = table
            .choose(affinity, |index| view(held[index.as_usize()], Ready))
            .expect("all are ready");
        held[chosen.as_usize()] += 1;
    }
    let most = held.iter().max().expect("some");
    assert!(*most <= 14, "one endpoint got {most} of 100");
}

#[rstest]
#[case::nothing_known(&[], 0, 0)]
#[case::own_requests(&["send", "send", "end"], 0, 1)]
#[case::a_note_and_what_follows(&["send", "note", "send"], 0, 9)]
#[case::a_note_counts_for_half(&["note"], 500, 4)]
#[case::a_note_fades_out(&["note"], 60_000, 0)]
#[case::own_requests_do_not_fade(&["note", "send", "send"], 60_000, 2)]
fn load_as_far_as_known(#[case] events: &[&str], #[case] at_ms: u64, #[case] expected: u32) {
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

fn standings() -> impl Strategy<Value = Vec<EndpointEligibility>> {
    let one = prop_oneof![Just(Ready), Just(Suspected), Just(Excluded)];
    proptest::collection::vec(one, 1..80)
}

proptest! {
    #[test]
    fn the_choice_has_the_best_standing(standings in standings(), seed: u64, affine: bool) {
        let count = u32::try_from(standings.len()).expect("few endpoints");
        let affinity = if affine {
            RequestAffinity::Prefix(seed)
        } else {
            RequestAffinity::Any(seed)
        };
        let chosen = table(count).choose(affinity, |index| view(0, standings[index.as_usize()]));
        let best = standings.iter().min().copied().filter(|best| *best != Excluded);
        prop_assert_eq!(chosen.map(|index| standings[index.as_usize()]), best);
    }
}
