//! A hash table that behaves the same in each process.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

/// A hash table whose hash has a fixed key, so that the scheduler decides the same whenever
/// it is given the same events.
pub type StableMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
