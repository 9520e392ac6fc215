//! Benchmark of placement; see docs/DESIGN.md.

fn main() {}
