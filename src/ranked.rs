//! A set in order that knows the rank of what it holds, in chunks that are short enough to be moved at each change.

/// The most that one chunk holds.
const CHUNK: usize = 2_048;

/// A set in ascending order. Finding a rank costs a step for each chunk; a change, that and the move of one chunk.
pub(crate) struct Ranked<T> {
    /// None of them is empty.
    chunks: Vec<Vec<T>>,
    len: usize,
}

impl<T> Default for Ranked<T> {
    fn default() -> Self {
        Ranked { chunks: Vec::new(), len: 0 }
    }
}

impl<T: Ord + Copy> FromIterator<T> for Ranked<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut all: Vec<T> = items.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        // Half full, so that the next items find room.
        Ranked { len: all.len(), chunks: all.chunks(CHUNK / 2).map(<[T]>::to_vec).collect() }
    }
}

impl<T: Ord + Copy> Ranked<T> {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The chunk where an item is, or belongs.
    fn chunk_of(&self, item: &T) -> usize {
        let before = |chunk: &Vec<T>| chunk.first().is_some_and(|first| first <= item);
        self.chunks.partition_point(before).saturating_sub(1)
    }

    /// Adds an item, unless it is there.
    pub fn insert(&mut self, item: T) {
        let at = self.chunk_of(&item);
        let Some(chunk) = self.chunks.get_mut(at) else {
            (self.chunks, self.len) = (vec![vec![item]], 1);
            return;
        };
        let Err(place) = chunk.binary_search(&item) else { return };
        chunk.insert(place, item);
        self.len += 1;
        if chunk.len() > CHUNK {
            let upper = chunk.split_off(CHUNK / 2);
            self.chunks.insert(at + 1, upper);
        }
    }

    /// Takes an item out, if it is there.
    pub fn remove(&mut self, item: &T) {
        let at = self.chunk_of(item);
        let Some(chunk) = self.chunks.get_mut(at) else { return };
        let Ok(place) = chunk.binary_search(item) else { return };
        chunk.remove(place);
        self.len -= 1;
        if chunk.is_empty() {
            self.chunks.remove(at);
        }
    }

    /// All items once round, from that rank on.
    pub fn round(&self, rank: usize) -> impl Iterator<Item = T> + '_ {
        let (mut at, mut place) = (0, rank.min(self.len));
        while self.chunks.get(at).is_some_and(|chunk| chunk.len() <= place) {
            place -= self.chunks[at].len();
            at += 1;
        }
        let first = self.chunks.get(at..).into_iter().flatten().flatten().skip(place);
        let again = self.chunks.iter().flatten();
        first.chain(again).take(self.len).copied()
    }
}

#[cfg(test)]
#[path = "../tests/unit/ranked.rs"]
mod tests;
