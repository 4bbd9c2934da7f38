//! An ordered map in sorted blocks.
//!
//! The entries are stored in blocks. Each block is a sorted vector, and the blocks are ordered by key. A
//! lookup is a binary search for the block and another one within it; an insertion moves at most the entries
//! of one block.

use std::borrow::Borrow;

/// Maximum number of entries in a block.
const MAX_BLOCK_ENTRIES: usize = 128;

/// Ordered map with binary search.
///
/// Invariants: no block is empty, and keys are strictly ascending within each block and across blocks.
#[derive(Clone, Debug)]
pub struct SortedIndex<K, V> {
    blocks: Vec<Vec<(K, V)>>,
    len: usize,
}

/// Position of a key, or the position to insert it at.
struct EntryPosition {
    block: usize,
    index: usize,
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

    /// Returns whether the index has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of `key`, or `None` if the key is not present.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        let position = self.find(key);
        position
            .found
            .then(|| &self.blocks[position.block][position.index].1)
    }

    /// Returns a mutable reference to the value of `key`, or `None` if the key is not present.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let position = self.find(key);
        position
            .found
            .then(|| &mut self.blocks[position.block][position.index].1)
    }

    /// Returns whether `key` is present.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.find(key).found
    }

    /// Inserts or replaces the value of `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let position = self.find(&key);
        if position.found {
            let slot = &mut self.blocks[position.block][position.index].1;
            return Some(std::mem::replace(slot, value));
        }
        self.len += 1;
        if self.blocks.is_empty() {
            self.blocks.push(vec![(key, value)]);
            return None;
        }
        let mut position = position;
        if self.blocks[position.block].len() >= MAX_BLOCK_ENTRIES {
            position = self.split(position);
        }
        self.blocks[position.block].insert(position.index, (key, value));
        None
    }

    /// Removes `key` and returns its value, or `None` if the key was not present.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let position = self.find(key);
        if !position.found {
            return None;
        }
        self.len -= 1;
        let value = self.blocks[position.block].remove(position.index).1;
        if self.blocks[position.block].is_empty() {
            self.blocks.remove(position.block);
        }
        Some(value)
    }

    /// Iterates over all entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.blocks
            .iter()
            .flatten()
            .map(|entry| (&entry.0, &entry.1))
    }

    /// Iterates over mutable references to all values, in key order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.blocks.iter_mut().flatten().map(|entry| &mut entry.1)
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for block in &mut self.blocks {
            block.retain_mut(|entry| keep(&entry.0, &mut entry.1));
        }
        self.blocks.retain(|block| !block.is_empty());
        self.len = self.blocks.iter().map(Vec::len).sum();
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> EntryPosition
    where
        K: Borrow<Q>,
    {
        let next_block = self
            .blocks
            .partition_point(|block| block[0].0.borrow() <= key);
        let block = next_block.saturating_sub(1);
        let Some(entries) = self.blocks.get(block) else {
            return EntryPosition {
                block,
                index: 0,
                found: false,
            };
        };
        let search = entries.binary_search_by(|entry| entry.0.borrow().cmp(key));
        let (index, found) = match search {
            Ok(index) => (index, true),
            Err(index) => (index, false),
        };
        EntryPosition {
            block,
            index,
            found,
        }
    }

    /// Splits a full block to make room at `position`, and returns the position after the split.
    fn split(&mut self, position: EntryPosition) -> EntryPosition {
        let appending =
            position.block + 1 == self.blocks.len() && position.index == MAX_BLOCK_ENTRIES;
        // An append splits off an empty block, so that keys inserted in ascending order leave full blocks.
        let split_at = if appending {
            MAX_BLOCK_ENTRIES
        } else {
            MAX_BLOCK_ENTRIES / 2
        };
        let upper = self.blocks[position.block].split_off(split_at);
        self.blocks.insert(position.block + 1, upper);
        if position.index < split_at || (position.index == split_at && !appending) {
            return position;
        }
        EntryPosition {
            block: position.block + 1,
            index: position.index - split_at,
            found: false,
        }
    }
}
