//! The bound on the load of each target.

/// Returns the maximum number of requests on one target:
/// `ceil(factor * (pool_load + 1) / targets)`, at least 1. The added 1 is the
/// request to be admitted.
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

/// Returns the maximum number of overnight requests on one target, where `cap`
/// is the bound for all requests. At least 1, so that overnight requests are
/// never starved.
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
