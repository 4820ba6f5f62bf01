//! An ordered set that can be iterated from a rank. The items are stored in chunks of limited
//! length, because an insertion or removal moves the items of one chunk.

/// Maximum number of items in one chunk.
const MAX_CHUNK: usize = 2_048;

/// A set in ascending order. Finding a rank takes time linear in the number of chunks; an insertion
/// or removal moves at most the items of one chunk, and the list of chunks if it adds or removes a
/// chunk.
pub(crate) struct RankedSet<T> {
    /// Sorted chunks in ascending order; no chunk is empty.
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
        // Chunks start half full, so that the first insertions do not split them.
        RankedSet {
            len: all.len(),
            chunks: all.chunks(MAX_CHUNK / 2).map(<[T]>::to_vec).collect(),
        }
    }
}

impl<T: Ord + Copy> RankedSet<T> {
    /// Returns the number of items in the set.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the index of the chunk that contains an item, or to which the item would be added.
    fn chunk_index_of(&self, item: &T) -> usize {
        let starts_at_or_before = |chunk: &Vec<T>| chunk.first().is_some_and(|first| first <= item);
        self.chunks
            .partition_point(starts_at_or_before)
            .saturating_sub(1)
    }

    /// Adds an item. Does nothing if the set contains the item already.
    pub(crate) fn insert(&mut self, item: T) {
        let chunk_index = self.chunk_index_of(&item);
        let Some(chunk) = self.chunks.get_mut(chunk_index) else {
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
            self.chunks.insert(chunk_index + 1, upper);
        }
    }

    /// Removes an item. Does nothing if the set does not contain the item.
    pub(crate) fn remove(&mut self, item: &T) {
        let chunk_index = self.chunk_index_of(item);
        let Some(chunk) = self.chunks.get_mut(chunk_index) else {
            return;
        };
        let Ok(index) = chunk.binary_search(item) else {
            return;
        };
        chunk.remove(index);
        self.len -= 1;
        if chunk.is_empty() {
            self.chunks.remove(chunk_index);
        }
    }

    /// Iterates over all items once, in ascending order from `rank` (counted from 0) to the end and
    /// then from the start.
    pub(crate) fn iter_from(&self, rank: usize) -> impl Iterator<Item = T> + '_ {
        let mut chunk_index = 0;
        let mut offset = rank.min(self.len);
        while self
            .chunks
            .get(chunk_index)
            .is_some_and(|chunk| chunk.len() <= offset)
        {
            offset -= self.chunks[chunk_index].len();
            chunk_index += 1;
        }
        let from_rank = self
            .chunks
            .get(chunk_index..)
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
