//! Benchmark of lending; see docs/DESIGN.md.

fn main() {}
