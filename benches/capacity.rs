//! Benchmark of capacity; see docs/DESIGN.md.

fn main() {}
