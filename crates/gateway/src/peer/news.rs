//! News that is sent to all peers, several times in case datagrams are lost.

use briarshift_units::Moment;

use crate::limit::{NEWS_INTERVAL, NEWS_REPEATS};

/// Items for the next reports.
#[derive(Debug)]
pub(crate) struct News<T> {
    /// Each with the number of reports still to contain it.
    items: Vec<(T, u8)>,
    reported_at: Moment,
}

impl<T> Default for News<T> {
    fn default() -> Self {
        Self { items: Vec::new(), reported_at: Moment::default() }
    }
}

impl<T: Clone + PartialEq> News<T> {
    /// Adds an item, unless it is still to be sent.
    pub fn add(&mut self, item: T) {
        if !self.items.iter().any(|(known, _)| *known == item) {
            self.items.push((item, NEWS_REPEATS));
        }
    }

    /// Returns at most `max_items` items for a report that is due now, none if there is
    /// nothing to report.
    pub fn take_due(&mut self, max_items: usize, now: Moment) -> Vec<T> {
        if self.items.is_empty() || now.since(self.reported_at) < NEWS_INTERVAL {
            return Vec::new();
        }
        self.reported_at = now;
        let mut due = Vec::new();
        for (item, repeats) in self.items.iter_mut().take(max_items) {
            *repeats -= 1;
            due.push(item.clone());
        }
        self.items.retain(|(_, repeats)| 0 < *repeats);
        due
    }
}
