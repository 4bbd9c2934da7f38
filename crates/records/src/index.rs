//! A map on two sorted vectors.
//!
//! A large sorted vector holds most entries and a small one the newest, so that an insertion moves few
//! elements. Lookups are binary searches in both.

/// Length from which the small vector is merged into the large one, at the least.
const MERGE_FLOOR: usize = 64;

/// Sorted map with binary search.
///
/// Every key stands in exactly one of the two vectors, and both are sorted.
#[derive(Clone, Debug)]
pub struct SortedIndex<K, V> {
    settled: Vec<(K, V)>,
    recent: Vec<(K, V)>,
}

impl<K: Ord, V: PartialEq> PartialEq for SortedIndex<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len()
            && self
                .iter()
                .all(|(key, value)| other.get(key) == Some(value))
    }
}

impl<K: Ord, V: Eq> Eq for SortedIndex<K, V> {}

impl<K, V> Default for SortedIndex<K, V> {
    fn default() -> Self {
        Self {
            settled: Vec::new(),
            recent: Vec::new(),
        }
    }
}

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
        self.settled.len() + self.recent.len()
    }

    /// Tells whether the index holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.settled.is_empty() && self.recent.is_empty()
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        find(&self.settled, key)
            .map(|at| &self.settled[at].1)
            .or_else(|| find(&self.recent, key).map(|at| &self.recent[at].1))
    }

    /// Returns the value of `key` for a change in place.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        if let Some(at) = find(&self.settled, key) {
            return Some(&mut self.settled[at].1);
        }
        let at = find(&self.recent, key)?;
        Some(&mut self.recent[at].1)
    }

    /// Tells whether `key` is present.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.get(key).is_some()
    }

    /// Puts a value under `key` and returns the value that stood there.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if let Some(slot) = self.get_mut(&key) {
            return Some(std::mem::replace(slot, value));
        }
        // Keys often arrive in order: appending to the large vector costs nothing.
        if self.recent.is_empty() && self.settled.last().is_none_or(|last| last.0 < key) {
            self.settled.push((key, value));
            return None;
        }
        let at = self.recent.partition_point(|entry| entry.0 < key);
        self.recent.insert(at, (key, value));
        if self.recent.len() > MERGE_FLOOR.max(self.settled.len() / 64) {
            self.merge();
        }
        None
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        if let Some(at) = find(&self.recent, key) {
            return Some(self.recent.remove(at).1);
        }
        let at = find(&self.settled, key)?;
        Some(self.settled.remove(at).1)
    }

    /// Returns all entries, in order within each of the two vectors.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.settled
            .iter()
            .chain(&self.recent)
            .map(|entry| (&entry.0, &entry.1))
    }

    /// Returns all values for a change in place.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.settled
            .iter_mut()
            .chain(&mut self.recent)
            .map(|entry| &mut entry.1)
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.settled
            .retain_mut(|entry| keep(&entry.0, &mut entry.1));
        self.recent.retain_mut(|entry| keep(&entry.0, &mut entry.1));
    }

    fn merge(&mut self) {
        // The standard sort finds the two sorted runs and merges them in linear time.
        self.settled.append(&mut self.recent);
        self.settled.sort_by(|a, b| a.0.cmp(&b.0));
    }
}

fn find<K, V, Q: Ord + ?Sized>(entries: &[(K, V)], key: &Q) -> Option<usize>
where
    K: std::borrow::Borrow<Q>,
{
    entries
        .binary_search_by(|entry| entry.0.borrow().cmp(key))
        .ok()
}
