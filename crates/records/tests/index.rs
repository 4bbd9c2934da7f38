//! Compares [`SortedIndex`] with `BTreeMap`.

use fulmarswitch_records::SortedIndex;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// One random operation, applied to both maps.
#[derive(Clone, Debug)]
enum MapOperation {
    Insert(u16, u32),
    Remove(u16),
    RetainBelow(u16),
}

fn operations() -> impl Strategy<Value = Vec<MapOperation>> {
    let key = 0_u16..2_000;
    let operation = prop_oneof![
        20 => (key.clone(), any::<u32>()).prop_map(|(key, value)| MapOperation::Insert(key, value)),
        5 => key.clone().prop_map(MapOperation::Remove),
        1 => (1_000_u16..2_000).prop_map(MapOperation::RetainBelow),
    ];
    proptest::collection::vec(operation, 0..3_000)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn matches_btree_map(operations in operations()) {
        let mut index = SortedIndex::new();
        let mut model = BTreeMap::new();
        for operation in operations {
            match operation {
                MapOperation::Insert(key, value) => {
                    prop_assert_eq!(index.insert(key, value), model.insert(key, value));
                }
                MapOperation::Remove(key) => prop_assert_eq!(index.remove(&key), model.remove(&key)),
                MapOperation::RetainBelow(limit) => {
                    index.retain(|key, _| *key < limit);
                    model.retain(|key, _| *key < limit);
                }
            }
            prop_assert_eq!(index.len(), model.len());
        }
        prop_assert!(index.iter().eq(model.iter()));
        for key in 0..2_000 {
            prop_assert_eq!(index.get(&key), model.get(&key));
        }
    }
}

#[test]
fn ascending_insertions_keep_key_order() {
    let mut index = SortedIndex::new();
    for key in 0..10_000 {
        index.insert(key, ());
    }
    assert!(index.iter().map(|(key, ())| *key).eq(0..10_000));
}
