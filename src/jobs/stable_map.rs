//! A hash table with the same order of items in each process.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

/// A hash table with a fixed hash key. With a random one, the order of items would differ
/// between processes, and so could the decisions of the scheduler for the same events.
pub type StableMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
