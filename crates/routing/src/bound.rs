//! The bound on a target's load.

/// Most requests a target may run: `ceil(factor * (pool load + 1) / targets)`,
/// at least 1. The added 1 is the request being placed.
///
/// # Examples
///
/// ```
/// use briarshift_routing::bound::cap;
/// assert_eq!(cap(1.25, 239, 10), 30);
/// assert_eq!(cap(1.25, 0, 10), 1);
/// ```
pub fn cap(factor: f64, pool_load: u32, targets: u32) -> u32 {
    let mean = f64::from(pool_load.saturating_add(1)) / f64::from(targets.max(1));
    ((factor * mean).ceil() as u32).max(1)
}

/// Places of a target, out of `cap`, that overnight work may take; at least 1,
/// so that it is never starved.
///
/// # Examples
///
/// ```
/// use briarshift_routing::bound::overnight_cap;
/// assert_eq!(overnight_cap(0.5, 30), 15);
/// assert_eq!(overnight_cap(0.1, 2), 1);
/// ```
pub fn overnight_cap(share: f64, cap: u32) -> u32 {
    ((share * f64::from(cap)).floor() as u32).max(1)
}
