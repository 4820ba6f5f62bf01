//! Comparison of the ranked set with a sorted set of the standard library.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Inserts and removes long runs of items, so that chunks are split and emptied.
    #[test]
    fn agrees_with_btree_set_on_items_and_ranks(
        initial in proptest::collection::vec(0u32..9_000, 0..3_000),
        runs in proptest::collection::vec((any::<bool>(), 0u32..9_000, 0u32..4_000), 0..8),
        ranks in proptest::collection::vec(0usize..9_000, 4),
    ) {
        let mut sorted: BTreeSet<u32> = initial.iter().copied().collect();
        let mut ranked: RankedSet<u32> = initial.into_iter().collect();
        for (inserts, start, length) in runs {
            for item in start..start + length {
                if inserts {
                    sorted.insert(item);
                    ranked.insert(item);
                } else {
                    sorted.remove(&item);
                    ranked.remove(&item);
                }
            }
            prop_assert_eq!(ranked.len(), sorted.len());
            prop_assert!(ranked.chunks.iter().all(|chunk| (1..=MAX_CHUNK).contains(&chunk.len())));
            for rank in ranks.iter().map(|rank| rank % sorted.len().max(1)) {
                let expected: Vec<u32> = sorted.iter().skip(rank).chain(sorted.iter().take(rank)).copied().collect();
                prop_assert_eq!(ranked.iter_from(rank).collect::<Vec<_>>(), expected);
            }
        }
    }
}
