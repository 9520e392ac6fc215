//! Benchmark of dispatch; see docs/DESIGN.md.

fn main() {}
