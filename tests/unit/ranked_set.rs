//! The ranked set against a plain sorted set.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Long runs that come and go, so that chunks are split and emptied.
    #[test]
    fn it_holds_and_ranks_what_a_plain_set_does(
        first in proptest::collection::vec(0u32..9_000, 0..3_000),
        runs in proptest::collection::vec((any::<bool>(), 0u32..9_000, 0u32..4_000), 0..8),
        ranks in proptest::collection::vec(0usize..9_000, 4),
    ) {
        let mut plain: BTreeSet<u32> = first.iter().copied().collect();
        let mut ranked: RankedSet<u32> = first.into_iter().collect();
        for (inserts, start, length) in runs {
            for item in start..start + length {
                if inserts {
                    plain.insert(item);
                    ranked.insert(item);
                } else {
                    plain.remove(&item);
                    ranked.remove(&item);
                }
            }
            prop_assert_eq!(ranked.len(), plain.len());
            prop_assert!(ranked.chunks.iter().all(|chunk| (1..=MAX_CHUNK).contains(&chunk.len())));
            for rank in ranks.iter().map(|rank| rank % plain.len().max(1)) {
                let expected: Vec<u32> = plain.iter().skip(rank).chain(plain.iter().take(rank)).copied().collect();
                prop_assert_eq!(ranked.iter_from(rank).collect::<Vec<_>>(), expected);
            }
        }
    }
}
