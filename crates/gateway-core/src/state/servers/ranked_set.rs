//! An ordered set that can iterate from a rank, stored in chunks short enough to be moved at each
//! change.

/// Maximum number of items in one chunk.
const MAX_CHUNK: usize = 2_048;

/// A set in ascending order. Finding a rank costs a step for each chunk; a change, that and the
/// move of one chunk.
pub(crate) struct RankedSet<T> {
    /// None of them is empty.
    chunks: Vec<Vec<T>>,
    len: usize,
}

impl<T> Default for RankedSet<T> {
    fn default() -> Self {
        RankedSet {
            chunks: Vec::new(),
            len: 0,
        }
    }
}

impl<T: Ord + Copy> FromIterator<T> for RankedSet<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut all: Vec<T> = items.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        // Half full, so that the next insertions do not split chunks.
        RankedSet {
            len: all.len(),
            chunks: all.chunks(MAX_CHUNK / 2).map(<[T]>::to_vec).collect(),
        }
    }
}

impl<T: Ord + Copy> RankedSet<T> {
    /// How many items there are.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Index of the chunk where an item is, or belongs.
    fn chunk_of(&self, item: &T) -> usize {
        let before = |chunk: &Vec<T>| chunk.first().is_some_and(|first| first <= item);
        self.chunks.partition_point(before).saturating_sub(1)
    }

    /// Adds an item, unless it is there.
    pub(crate) fn insert(&mut self, item: T) {
        let at = self.chunk_of(&item);
        let Some(chunk) = self.chunks.get_mut(at) else {
            self.chunks = vec![vec![item]];
            self.len = 1;
            return;
        };
        let Err(index) = chunk.binary_search(&item) else {
            return;
        };
        chunk.insert(index, item);
        self.len += 1;
        if chunk.len() > MAX_CHUNK {
            let upper = chunk.split_off(MAX_CHUNK / 2);
            self.chunks.insert(at + 1, upper);
        }
    }

    /// Removes an item, if it is there.
    pub(crate) fn remove(&mut self, item: &T) {
        let at = self.chunk_of(item);
        let Some(chunk) = self.chunks.get_mut(at) else {
            return;
        };
        let Ok(index) = chunk.binary_search(item) else {
            return;
        };
        chunk.remove(index);
        self.len -= 1;
        if chunk.is_empty() {
            self.chunks.remove(at);
        }
    }

    /// All items in order from that rank on, wrapping round.
    pub(crate) fn iter_from(&self, rank: usize) -> impl Iterator<Item = T> + '_ {
        let mut at = 0;
        let mut offset = rank.min(self.len);
        while self
            .chunks
            .get(at)
            .is_some_and(|chunk| chunk.len() <= offset)
        {
            offset -= self.chunks[at].len();
            at += 1;
        }
        let from_rank = self
            .chunks
            .get(at..)
            .into_iter()
            .flatten()
            .flatten()
            .skip(offset);
        let wrapped = self.chunks.iter().flatten();
        from_rank.chain(wrapped).take(self.len).copied()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/ranked_set.rs"]
mod tests;
