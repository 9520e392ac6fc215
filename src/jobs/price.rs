//! Waiting work of a pool in the order of placement, and what further work costs it.
//!
//! A table lists the jobs of a pool that still need capacity, by rank, with the time left
//! until their objectives and their utility to callers. It is rebuilt with the pool's load
//! and extended by jobs accepted in between. Between two updates, the pool is taken to
//! work at its full capacity on the lowest ranks.
//!
//! Estimates are off by a factor of up to two in either direction. The probability that a
//! job completes in time is therefore a piecewise linear function of the ratio of the time
//! left to the projected time: 0 up to 1/2, 1/2 at 1, and 1 from 2 on.

use crate::jobs::waiting::JobRank;

/// Number of rows of a new table; jobs of neighbouring ranks share rows beyond it.
pub const MAX_ROWS: usize = 256;

/// Rows that accepted jobs may add before neighbours are merged again.
const SPARE_ROWS: usize = 64;

/// Part of its utility that a job has after its objective.
pub const LATE_SHARE: f64 = 0.07;

/// Multiple of its objective after which a job has no utility.
pub const LATE_FACTOR: f64 = 3.0;

/// Maximum utility of a job.
const MAX_UTILITY: f64 = 4.0;

/// Millicore-milliseconds of a core-second, the unit of the price.
const CORE_SECOND: f64 = 1_000_000.0;

/// Returns the probability that a job completes within `left_ms` if it is projected to
/// complete in `projected_ms`.
#[must_use]
pub fn timely_probability(projected_ms: f64, left_ms: f64) -> f64 {
    if left_ms <= 0.0 {
        return 0.0;
    }
    let ratio = left_ms / projected_ms.max(1.0);
    if ratio <= 1.0 {
        (ratio - 0.5).max(0.0)
    } else {
        (ratio / 2.0).min(1.0)
    }
}

/// Returns the utility of a job to its caller, given the mean work of its queue's jobs.
#[must_use]
pub fn job_utility(work: u64, mean_work: f64) -> f64 {
    (0.3 + 0.7 * work as f64 / mean_work.max(1.0)).min(MAX_UTILITY)
}

/// Waiting work of a job or of several jobs of neighbouring ranks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRow {
    /// Rank of the job, or the lowest of the jobs.
    pub rank: JobRank,
    /// Remaining work that has no capacity yet, in millicore-milliseconds.
    pub work: f64,
    /// Remaining critical path, in milliseconds.
    pub critical_ms: f64,
    /// Time left until the objective, in milliseconds.
    pub slack_ms: f64,
    /// Time left until the job has no utility, in milliseconds.
    pub late_ms: f64,
    /// Utility to the callers.
    pub utility: f64,
    /// Number of jobs.
    pub jobs: u32,
}

impl WaitingRow {
    /// Returns the expected utility if the work starts after `wait_ms`; `elapsed_ms` of
    /// the times left have passed.
    fn expected(&self, wait_ms: f64, elapsed_ms: f64) -> f64 {
        let projected_ms = wait_ms + self.critical_ms;
        let timely = timely_probability(projected_ms, self.slack_ms - elapsed_ms);
        if timely >= 1.0 {
            return self.utility;
        }
        let useful = timely_probability(projected_ms, self.late_ms - elapsed_ms);
        self.utility * (timely + LATE_SHARE * (useful - timely).max(0.0))
    }

    /// Adds the jobs of a row of higher rank; times become means by utility.
    fn merge(&mut self, other: &Self) {
        let total = (self.utility + other.utility).max(f64::MIN_POSITIVE);
        let weight = other.utility / total;
        self.critical_ms += (other.critical_ms - self.critical_ms) * weight;
        self.slack_ms += (other.slack_ms - self.slack_ms) * weight;
        self.late_ms += (other.late_ms - self.late_ms) * weight;
        self.work += other.work;
        self.utility += other.utility;
        self.jobs += other.jobs;
    }

    /// Returns the work of the row that is done before the mean one of its jobs.
    fn own_ahead(&self) -> f64 {
        self.work * (1.0 - 1.0 / f64::from(self.jobs.max(1))) / 2.0
    }
}

/// What the acceptance of a submission brings and costs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobAssessment {
    /// Expected utility of the job.
    pub gain: f64,
    /// Expected utility that jobs behind it lose.
    pub cost: f64,
    /// Projected time until the job completes, in milliseconds.
    pub projected_ms: f64,
}

/// Capacity of a pool for its waiting work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSupply {
    /// When it was determined, on the boot clock in milliseconds.
    pub built_ms: u64,
    /// Millicores that serve jobs beside long-running tasks.
    pub capacity: f64,
    /// Millicores of VMs that are being moved to the pool.
    pub arriving: f64,
    /// Time until these serve, in milliseconds.
    pub arrival_ms: f64,
    /// Remaining work of running tasks, in millicore-milliseconds.
    pub running: f64,
    /// Free millicores that no ready task waits for; negative if more are needed.
    pub room: f64,
}

/// Waiting work of a pool and the capacity that serves it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriceTable {
    /// Capacity; the times left in the rows count from when it was determined.
    pub supply: PoolSupply,
    rows: Vec<WaitingRow>,
    /// Work of the rows before each row, in millicore-milliseconds.
    ahead: Vec<f64>,
}

impl PriceTable {
    /// Sorts the rows by rank and merges neighbours beyond [`MAX_ROWS`].
    #[must_use]
    pub fn new(supply: PoolSupply, mut rows: Vec<WaitingRow>) -> Self {
        rows.sort_unstable_by_key(|row| row.rank);
        let mut table = Self {
            supply,
            rows,
            ahead: Vec::new(),
        };
        table.merge_neighbours();
        table.sum_ahead(0);
        table
    }

    /// Returns the rows, by rank.
    #[must_use]
    pub fn rows(&self) -> &[WaitingRow] {
        &self.rows
    }

    /// Merges neighbours so that at most [`MAX_ROWS`] rows are left. Rows of different
    /// classes or priorities are kept apart unless there are too many of these.
    fn merge_neighbours(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let per_row = (self.rows.len() * 2).div_ceil(MAX_ROWS);
        let mut merged: Vec<WaitingRow> = Vec::with_capacity(MAX_ROWS);
        let mut members = 0;
        for row in &self.rows {
            let alike = |last: &&mut WaitingRow| {
                let kinds = [last.rank, row.rank].map(|rank| (rank.class, rank.priority));
                kinds[0] == kinds[1]
            };
            let full = members >= per_row;
            let last = merged.last_mut().filter(|_| !full);
            if let Some(last) = last.filter(alike) {
                last.merge(row);
                members += 1;
            } else {
                merged.push(*row);
                members = 1;
            }
        }
        while merged.len() > MAX_ROWS {
            let pairs = merged.chunks(2).map(|pair| {
                let mut first = pair[0];
                pair[1..].iter().for_each(|row| first.merge(row));
                first
            });
            merged = pairs.collect();
        }
        self.rows = merged;
    }

    fn sum_ahead(&mut self, from: usize) {
        self.ahead.resize(self.rows.len(), 0.0);
        for at in from..self.rows.len() {
            self.ahead[at] = match at.checked_sub(1) {
                Some(before) => self.ahead[before] + self.rows[before].work,
                None => 0.0,
            };
        }
    }

    /// Returns the time in which the pool does an amount of work from `built_ms` on, in
    /// milliseconds; VMs that are being moved to the pool count from their arrival.
    fn drain_ms(&self, work: f64) -> f64 {
        let capacity = self.supply.capacity.max(1.0);
        let until_arrival = capacity * self.supply.arrival_ms;
        if work <= until_arrival {
            return work / capacity;
        }
        self.supply.arrival_ms + (work - until_arrival) / (capacity + self.supply.arriving)
    }

    fn wait_ms(&self, ahead: f64, elapsed_ms: f64) -> f64 {
        (self.drain_ms(ahead) - elapsed_ms).max(0.0)
    }

    /// Returns the time until capacity for `cpu` millicores is free if nothing else waits:
    /// that part of the running work must end which uses the missing capacity.
    fn startup_ms(&self, cpu: f64, elapsed_ms: f64) -> f64 {
        let capacity = self.supply.capacity.max(1.0);
        let missing = ((cpu - self.supply.room.max(0.0)) / capacity).clamp(0.0, 1.0);
        (self.supply.running / capacity * missing - elapsed_ms).max(0.0)
    }

    fn elapsed_ms(&self, now: u64) -> f64 {
        now.saturating_sub(self.supply.built_ms) as f64
    }

    /// Returns the time until the waiting work is done, in milliseconds.
    #[must_use]
    pub fn backlog_ms(&self, now: u64) -> f64 {
        let rows = self.rows.last().zip(self.ahead.last());
        let waiting = rows.map_or(0.0, |(row, ahead)| ahead + row.work);
        self.wait_ms(waiting, self.elapsed_ms(now))
    }

    /// Returns the position of the first row that is placed after a rank.
    fn position(&self, rank: JobRank) -> usize {
        self.rows.partition_point(|row| row.rank <= rank)
    }

    fn ahead_of(&self, at: usize) -> f64 {
        match at.checked_sub(1) {
            Some(before) => self.ahead[before] + self.rows[before].work,
            None => 0.0,
        }
    }

    /// Assesses a submission that needs `cpu` millicores at its start; the times left in
    /// `row` count from now on.
    #[must_use]
    pub fn assess(&self, row: &WaitingRow, cpu: f64, now: u64) -> JobAssessment {
        if self.has_room(cpu) {
            return JobAssessment {
                gain: row.expected(0.0, 0.0),
                cost: 0.0,
                projected_ms: row.critical_ms,
            };
        }
        let elapsed_ms = self.elapsed_ms(now);
        let at = self.position(row.rank);
        let wait_ms =
            self.wait_ms(self.ahead_of(at), elapsed_ms) + self.startup_ms(cpu, elapsed_ms);
        JobAssessment {
            gain: row.expected(wait_ms, 0.0),
            cost: self.displaced(at, row.work, elapsed_ms),
            projected_ms: wait_ms + row.critical_ms,
        }
    }

    /// Returns whether the free capacity covers all ready tasks and `cpu` millicores more.
    #[must_use]
    pub fn has_room(&self, cpu: f64) -> bool {
        self.supply.room > 0.0 && self.supply.room >= cpu
    }

    /// Returns the expected utility that the rows from `at` on lose if `work` goes first.
    fn displaced(&self, at: usize, work: f64, elapsed_ms: f64) -> f64 {
        let behind = self.rows[at..].iter().zip(&self.ahead[at..]);
        let losses = behind.map(|(row, ahead)| {
            let ahead = ahead + row.own_ahead();
            let before = row.expected(self.wait_ms(ahead, elapsed_ms), elapsed_ms);
            let after = row.expected(self.wait_ms(ahead + work, elapsed_ms), elapsed_ms);
            (before - after).max(0.0)
        });
        losses.sum()
    }

    /// Returns the expected utility of all rows.
    #[must_use]
    pub fn expected_utility(&self, now: u64) -> f64 {
        let elapsed_ms = self.elapsed_ms(now);
        let rows = self.rows.iter().zip(&self.ahead);
        let expected = rows.map(|(row, ahead)| {
            let wait_ms = self.wait_ms(ahead + row.own_ahead(), elapsed_ms);
            row.expected(wait_ms, elapsed_ms)
        });
        expected.sum()
    }

    /// Returns the utility that the waiting jobs lose by a core-second of work before them.
    #[must_use]
    pub fn price(&self, now: u64) -> f64 {
        self.displaced(0, CORE_SECOND, self.elapsed_ms(now))
    }

    /// Adds an accepted job, whose times left count from now on.
    pub fn insert(&mut self, row: &WaitingRow, cpu: f64, now: u64) {
        let elapsed_ms = self.elapsed_ms(now);
        let at = self.position(row.rank);
        let row = WaitingRow {
            slack_ms: row.slack_ms + elapsed_ms,
            late_ms: row.late_ms + elapsed_ms,
            ..*row
        };
        self.rows.insert(at, row);
        self.supply.room -= cpu;
        if self.rows.len() > MAX_ROWS + SPARE_ROWS {
            self.merge_neighbours();
            self.sum_ahead(0);
        } else {
            self.sum_ahead(at);
        }
    }
}
