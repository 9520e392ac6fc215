//! Formats tables and times for standard output.

/// Length of a day in milliseconds.
const DAY_MS: u64 = 24 * 3600 * 1000;

/// Prints a header line and rows in aligned columns.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<_> = header.iter().map(|title| (*title).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        println!("{}", line.trim_end());
    }
}

/// Formats a Unix time as an ISO 8601 date and time in UTC.
pub fn time(unix_ms: u64) -> String {
    let (year, month, day) = date(unix_ms / DAY_MS);
    let second = unix_ms % DAY_MS / 1000;
    let (hour, minute) = (second / 3600, second / 60 % 60);
    let (second, milli) = (second % 60, unix_ms % 1000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Returns the Gregorian year, month and day for a number of days since 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    // Years are counted from 1 March, so that the leap day is the last day of a year.
    const DAYS_TO_1970: u64 = 719_468; // from 0000-03-01
    const ERA_DAYS: u64 = 146_097; // 400 years
    let days = days + DAYS_TO_1970;
    let era = days / ERA_DAYS;
    let day_of_era = days % ERA_DAYS;
    let leap_days = day_of_era / 1460 + day_of_era / 146_096;
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153; // months since March
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
