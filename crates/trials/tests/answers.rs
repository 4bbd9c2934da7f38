//! Each caller must get the complete answer to its own request.

use fulmarswitch_trials::callers::{TrialCaller, make_job};
use fulmarswitch_trials::guarantees::check_end;
use fulmarswitch_trials::run::start_fleet;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// Guards against inputs being mixed up between shard groups: records of jobs in different groups can have
/// the same offset in different streams.
#[tokio::test(start_paused = true)]
async fn items_of_two_groups_are_not_mixed_up() {
    let fleet = start_fleet(1, 1).await;
    let mut caller = TrialCaller::new(Arc::clone(&fleet), SmallRng::seed_from_u64(1), 0);
    for number in 0..24 {
        let job = make_job(&format!("job-{number}"), 3, 4, true);
        caller.record_job(&job);
        assert!(caller.submit_job(&job).await);
    }
    check_end(&fleet).await;
    assert_eq!(fleet.history.observations().violations, vec![]);
    fleet.network.close();
}
