//! Benchmark of path; see docs/DESIGN.md.

fn main() {}
