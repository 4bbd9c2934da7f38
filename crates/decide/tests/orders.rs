//! Orders to endpoints to load a model.

use fulmarswitch_decide::orders::{
    LoadSlot, OrderStep, OrderView, UNFENCED_ORDER_DELAY, load_position, next_step,
};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn view(loaded: bool, checks_fencing: bool, claim: Option<u64>, elapsed: Duration) -> OrderView {
    let since = 100 * SECOND;
    let slot = LoadSlot {
        since: Duration::ZERO,
        length: Duration::ZERO,
        position: 0,
        count: 3,
    };
    OrderView {
        now: since + elapsed,
        loaded,
        checks_fencing,
        claim: claim.map(|fencing| (fencing, since)),
        slot,
    }
}

#[rstest]
#[case::model_is_loaded(true, true, None, UNFENCED_ORDER_DELAY, OrderStep::Done)]
#[case::claim_first(false, true, None, UNFENCED_ORDER_DELAY, OrderStep::Claim)]
#[case::fenced_at_once(false, true, Some(4), Duration::ZERO, OrderStep::Load { fencing: 4 })]
#[case::unfenced_waits(false, false, Some(4), Duration::ZERO, OrderStep::Wait)]
#[case::unfenced_still_waits(false, false, Some(4), UNFENCED_ORDER_DELAY.saturating_sub(SECOND), OrderStep::Wait)]
#[case::unfenced_has_waited(false, false, Some(4), UNFENCED_ORDER_DELAY, OrderStep::Load { fencing: 4 })]
fn orders_follow_the_claim(
    #[case] loaded: bool,
    #[case] checks_fencing: bool,
    #[case] claim: Option<u64>,
    #[case] elapsed: Duration,
    #[case] expected: OrderStep,
) {
    let view = view(loaded, checks_fencing, claim, elapsed);
    assert_eq!(next_step(&view), expected);
}

#[test]
fn one_endpoint_loads_at_a_time() {
    let names = ["e0", "e1", "e2", "e3", "e4"];
    for second in 0..200 {
        let open = names.iter().filter(|name| {
            let (position, count) = load_position(name, "m", names.iter().copied());
            let slot = LoadSlot {
                since: 3 * SECOND,
                length: 7 * SECOND,
                position,
                count,
            };
            slot.is_open(second * SECOND)
        });
        assert_eq!(open.count(), 1, "at {second} s");
    }
}
