//! Injected faults.

use serde::{Deserialize, Serialize};

/// An injected fault, as posted to `/admin/fault`.
///
/// # Examples
///
/// ```
/// use briarshift_standin::{Fault, platform};
/// let fault: Fault<platform::FaultKind> =
///     serde_json::from_str(r#"{"kind":{"slow":{"delay_ms":50}},"count":3}"#).unwrap();
/// assert_eq!(fault, Fault::times(platform::FaultKind::Slow { delay_ms: 50 }, 3));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault<K> {
    /// Kind of the fault.
    pub kind: K,
    /// Number of calls that it affects, or `None` for all calls until it is cleared.
    #[serde(default)]
    pub count: Option<u32>,
}

impl<K> Fault<K> {
    /// Returns a fault that affects all calls until it is cleared.
    pub fn until_cleared(kind: K) -> Self {
        Self { kind, count: None }
    }

    /// Returns a fault that affects the next `count` calls.
    pub fn times(kind: K, count: u32) -> Self {
        Self { kind, count: Some(count) }
    }
}

/// The active faults, oldest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveFaults<K> {
    active: Vec<Fault<K>>,
}

impl<K> Default for ActiveFaults<K> {
    fn default() -> Self {
        Self { active: Vec::new() }
    }
}

impl<K: Clone> ActiveFaults<K> {
    /// Adds a fault.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_standin::fault::{Fault, ActiveFaults};
    /// let mut faults = ActiveFaults::default();
    /// faults.add(Fault::times("late", 1));
    /// assert_eq!(faults.take(|kind| *kind == "late"), Some("late"));
    /// assert_eq!(faults.take(|kind| *kind == "late"), None);
    /// ```
    pub fn add(&mut self, fault: Fault<K>) {
        self.active.push(fault);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Returns the first fault that matches, without reducing its count.
    pub fn find(&self, matches: impl Fn(&K) -> bool) -> Option<&K> {
        self.active.iter().map(|fault| &fault.kind).find(|kind| matches(kind))
    }

    /// Returns the first fault that matches and reduces its count by one. The fault is removed when
    /// its count reaches 0.
    pub fn take(&mut self, matches: impl Fn(&K) -> bool) -> Option<K> {
        let index = self.active.iter().position(|fault| matches(&fault.kind))?;
        let fault = &mut self.active[index];
        let kind = fault.kind.clone();
        if let Some(count) = &mut fault.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.active.remove(index);
            }
        }
        Some(kind)
    }
}
