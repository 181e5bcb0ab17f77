//! Tests of the limit of log lines.

use tokio::time::{Duration, Instant};

use super::{EventLines, LINE_INTERVAL};

/// Guards against a crowd that fills the log, and against events that leave no trace in it.
#[test]
fn lines_that_are_left_out_are_counted_in_the_next_one() {
    let (mut lines, start) = (EventLines::default(), Instant::now());
    let mut write = |after: Duration| lines.write(start + after);
    assert_eq!(write(Duration::ZERO), Some(0));
    assert_eq!(write(LINE_INTERVAL / 2), None);
    assert_eq!(write(LINE_INTERVAL / 2), None);
    assert_eq!(write(LINE_INTERVAL), Some(2));
    assert_eq!(write(LINE_INTERVAL * 3), Some(0));
}
