//! A map on sorted vectors.
//!
//! The entries stand in blocks, each a sorted vector, and the blocks are in order. A lookup is one binary
//! search for the block and one inside it; an insertion moves at most the entries of one block.

use std::borrow::Borrow;

/// Most entries of a block.
const BLOCK_LIMIT: usize = 128;

/// Sorted map with binary search.
///
/// No block is empty, and the keys ascend within each block and from block to block.
#[derive(Clone, Debug)]
pub struct SortedIndex<K, V> {
    blocks: Vec<Vec<(K, V)>>,
    len: usize,
}

/// Where a key stands, or would stand.
struct EntryPlace {
    block: usize,
    at: usize,
    found: bool,
}

impl<K, V> Default for SortedIndex<K, V> {
    fn default() -> Self {
        Self {
            blocks: Vec::new(),
            len: 0,
        }
    }
}

impl<K: Ord, V: PartialEq> PartialEq for SortedIndex<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<K: Ord, V: Eq> Eq for SortedIndex<K, V> {}

impl<K: Ord, V> SortedIndex<K, V> {
    /// Creates an empty index.
    ///
    /// ```
    /// use fulmarswitch_records::SortedIndex;
    /// let mut index = SortedIndex::new();
    /// assert_eq!(index.insert("b", 2), None);
    /// assert_eq!(index.insert("b", 3), Some(2));
    /// assert_eq!(index.get("b"), Some(&3));
    /// assert_eq!(index.remove("b"), Some(3));
    /// assert!(index.is_empty());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether the index holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        let place = self.find(key);
        place.found.then(|| &self.blocks[place.block][place.at].1)
    }

    /// Returns the value of `key` for a change in place.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let place = self.find(key);
        place
            .found
            .then(|| &mut self.blocks[place.block][place.at].1)
    }

    /// Tells whether `key` is present.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.find(key).found
    }

    /// Puts a value under `key` and returns the value that stood there.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let place = self.find(&key);
        if place.found {
            let slot = &mut self.blocks[place.block][place.at].1;
            return Some(std::mem::replace(slot, value));
        }
        self.len += 1;
        if self.blocks.is_empty() {
            self.blocks.push(vec![(key, value)]);
            return None;
        }
        let mut place = place;
        if self.blocks[place.block].len() >= BLOCK_LIMIT {
            place = self.split(place);
        }
        self.blocks[place.block].insert(place.at, (key, value));
        None
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let place = self.find(key);
        if !place.found {
            return None;
        }
        self.len -= 1;
        let value = self.blocks[place.block].remove(place.at).1;
        if self.blocks[place.block].is_empty() {
            self.blocks.remove(place.block);
        }
        Some(value)
    }

    /// Returns all entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.blocks
            .iter()
            .flatten()
            .map(|entry| (&entry.0, &entry.1))
    }

    /// Returns all values for a change in place, in the order of their keys.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.blocks.iter_mut().flatten().map(|entry| &mut entry.1)
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for block in &mut self.blocks {
            block.retain_mut(|entry| keep(&entry.0, &mut entry.1));
        }
        self.blocks.retain(|block| !block.is_empty());
        self.len = self.blocks.iter().map(Vec::len).sum();
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> EntryPlace
    where
        K: Borrow<Q>,
    {
        let later = self
            .blocks
            .partition_point(|block| block[0].0.borrow() <= key);
        let block = later.saturating_sub(1);
        let Some(entries) = self.blocks.get(block) else {
            return EntryPlace {
                block,
                at: 0,
                found: false,
            };
        };
        let search = entries.binary_search_by(|entry| entry.0.borrow().cmp(key));
        let (at, found) = match search {
            Ok(at) => (at, true),
            Err(at) => (at, false),
        };
        EntryPlace { block, at, found }
    }

    /// Makes room at a place in a full block, and returns the place in its new block.
    fn split(&mut self, place: EntryPlace) -> EntryPlace {
        let last = place.block + 1 == self.blocks.len() && place.at == BLOCK_LIMIT;
        // Keys that arrive in order fill each block before the next is begun.
        let half = if last { BLOCK_LIMIT } else { BLOCK_LIMIT / 2 };
        let upper = self.blocks[place.block].split_off(half);
        self.blocks.insert(place.block + 1, upper);
        if place.at < half || (place.at == half && !last) {
            return place;
        }
        EntryPlace {
            block: place.block + 1,
            at: place.at - half,
            found: false,
        }
    }
}
