//! Benchmark of planner; see docs/DESIGN.md.

fn main() {}
