//! Dense storage addressed by small `Copy` keys.

use crate::core::keys::ArenaKey;
use std::marker::PhantomData;

/// Stores values in insertion order and hands out one key per value.
#[derive(Clone, Debug, PartialEq)]
pub struct Arena<K, V> {
    items: Vec<V>,
    marker: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self { items: Vec::new(), marker: PhantomData }
    }
}

impl<K: ArenaKey, V> Arena<K, V> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.items.push(value);
        K::from_index(self.items.len() - 1)
    }

    /// Returns the value of a key, or `None` if the key came from a larger arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// Returns the value of a key for modification, or `None` if the key came from a larger arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena holds no value.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and values in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &V)> + ExactSizeIterator {
        self.items.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over keys and values for modification, in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items.iter_mut().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over all keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = K> + ExactSizeIterator + use<K, V> {
        (0..self.items.len()).map(K::from_index)
    }
}

impl<K: ArenaKey, V> std::ops::Index<K> for Arena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K: ArenaKey, V> std::ops::IndexMut<K> for Arena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}

impl<K: ArenaKey, V> FromIterator<V> for Arena<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(values: I) -> Self {
        Self { items: values.into_iter().collect(), marker: PhantomData }
    }
}
