//! The placement table compared with rendezvous hashing from scratch.

use fulmarswitch_decide::placement::{PlacementTable, holder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_agrees_with_hashing_from_scratch(
        steps in proptest::collection::vec((any::<bool>(), 0_u8..12), 1..60),
    ) {
        let mut table = PlacementTable::new();
        let work_names: Vec<String> = (0..40).map(|index| format!("shard/{index}")).collect();
        // Half of the work is added before the hosts and half after them.
        work_names[..20].iter().for_each(|work| table.add_work(work));
        let mut hosts: Vec<String> = Vec::new();
        for (join, number) in steps {
            let host = format!("host-{number}");
            hosts.retain(|known| *known != host);
            if join {
                table.add_host(&host);
                hosts.push(host);
            } else {
                table.remove_host(&host);
            }
        }
        work_names[20..].iter().for_each(|work| table.add_work(work));
        for work in &work_names {
            let index = holder(hosts.iter().map(String::as_str), work);
            let expected = index.map(|index| &*hosts[index]);
            prop_assert_eq!(table.holder(work).map(|host| &**host), expected);
        }
    }
}
