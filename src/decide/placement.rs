//! Placement of the jobs of pools on workers.
