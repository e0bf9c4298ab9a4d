//! Time limits, sizes and counts that the reducer uses, each with its reason.

use briarshift_units::Span;

/// Minimum interval between two reads of the store's changes. One call per second
/// costs about 1% of the value of the requests that a VM serves. A change is
/// known after one interval and one slow reply at the latest, well within the
/// bounds of one to two seconds.
pub const MIN_SYNC_INTERVAL: Span = Span::from_millis(800);
/// Delay after a failed call to the store.
pub const SYNC_RETRY_DELAY: Span = Span::from_millis(400);
/// Delay after a failed call about this VM's registration. Nothing waits for
/// the registration, so it can be longer than [`SYNC_RETRY_DELAY`].
pub const LEASE_RETRY_DELAY: Span = Span::from_millis(1_000);
/// Interval at which consecutive failed calls are logged.
pub const FAILURE_LOG_INTERVAL: Span = Span::from_secs(1);
/// Time to live of a VM's lease, for which its registration outlives its
/// process. Heartbeats tell whether a peer is alive; the registration only
/// gives its address.
pub const LEASE_TTL: Span = Span::from_secs(30);
/// A lease is renewed after its time to live divided by this.
pub const LEASE_RENEWAL_DIVISOR: u64 = 3;
/// Period over which the VMs of a new fleet spread their attempts to write the
/// fleet's secret: several sync intervals, so that most VMs find it written.
pub const SECRET_WRITE_SPREAD: Span = Span::from_secs(4);
/// Time after a failed call during which the store counts as failing.
/// Registrations that expired during an outage are written again within two
/// seconds of the store's return.
pub const STORE_FAILURE_WINDOW: Span = Span::from_millis(3_000);
/// Time after the store's return from a copy before which a read of the configuration does not
/// show that it is the newest: operators write again what the store has lost.
pub const RETURN_SETTLE_TIME: Span = Span::from_secs(2);
/// Time after the store's return from a copy for which what operators had said of a data
/// centre holds if the copy says otherwise.
pub const LOST_EVACUATION_TIME: Span = Span::from_secs(3);
/// Time over which VMs spread their registrations after the store has returned from a copy.
pub const REGISTRATION_SPREAD: Span = Span::from_secs(1);
/// How long a target whose registration ended while the store was failing is
/// still used if no other target is left. Below the shortest bound on leaving
/// targets (2 s).
pub const UNCONFIRMED_TARGET_TTL: Span = Span::from_millis(1_500);
/// VMs of a data centre per delegate. Delegates read the store for the others.
/// A small data centre can go without its only delegate for some seconds; in a
/// large one all VMs would read the store at once, so it has a second delegate.
pub const VMS_PER_DELEGATE: usize = 16;
/// Maximum number of delegates in a data centre.
pub const MAX_DELEGATES: usize = 3;
/// VMs of a data centre that read the store as soon as its delegates have only
/// stale data. With two of them, three machines must be cut off before other
/// VMs read the store.
pub const BACKUP_DELEGATES: usize = 2;
/// While delegates and backups report that the store fails, the remaining VMs
/// read the store one after the other, this far apart. It equals the interval
/// between two requests to a delegate, after which a VM that got a reply has
/// passed it on to the next one.
pub const STORE_FALLBACK_STEP: Span = DELEGATE_INTERVAL;
/// Delay after a failed call to the store, on a VM that has delegates.
/// Delegates retry more often and report when the store is back.
pub const STORE_RETRY_DELAY: Span = Span::from_millis(2_500);
/// Timeout of a request to a delegate: several round trips within one data
/// centre, plus the scheduling delay of the delegate on a busy core.
pub const DELEGATE_TIMEOUT: Span = Span::from_millis(300);
/// Interval between two requests to a delegate. Half of [`MIN_SYNC_INTERVAL`], at
/// which the delegate itself reads the store, because the two intervals add up.
pub const DELEGATE_INTERVAL: Span = Span::from_millis(400);
/// Maximum age of the data of a delegate that reads the store at
/// [`MIN_SYNC_INTERVAL`]. A delegate that reaches the store has data younger than
/// its own sync interval. Older data shows that it doesn't, and the requesting VM
/// reads the store at once.
pub const MAX_DELEGATE_AGE: Span = Span::from_millis(1_000);
/// Minimum age of a VM's own data at which it reads the store regardless of its
/// delegates. With the time of the call it stays within the shortest bound on
/// changes (2 s).
pub const STORE_FALLBACK_AGE: Span = Span::from_millis(1_500);
/// Time that is left for a read of the store before a bound on changes: a slow
/// call on a busy core.
pub const STORE_READ_TIME: Span = Span::from_millis(500);
/// Time for a peer's response to arrive and be handled, in addition to the
/// interval between two requests.
pub const PASSING_TIME: Span = Span::from_millis(200);
/// Number of VMs that read the store for the delegates of all data centres: one,
/// and one that has the same data when the first is lost.
pub const READERS: usize = 2;
/// How long a VM that has just registered counts as live in the ranking of
/// readers before its first heartbeat, which may take one interval of a large
/// fleet to arrive.
pub const NEW_PEER_TTL: Span = Span::from_secs(3);
/// Maximum number of deleted rows that a VM keeps for peers that are behind.
pub const MAX_KEPT_DELETIONS: usize = 1_000;
/// Maximum number of losses of the store's history that a VM keeps apart. Peers that
/// are further behind read the store.
pub const MAX_KEPT_GAPS: usize = 8;
/// Maximum number of rows, or routes, in one datagram of changes. At about a
/// hundred bytes each they fit; a larger set is better read from the store.
pub const MAX_DATAGRAM_ROWS: usize = 300;
/// How long a target is avoided after another target has answered at its
/// address. Its registration ends within about three of its writes.
pub const MOVED_TARGET_PAUSE: Span = Span::from_secs(4);
/// Minimum interval between heartbeats: the delay of an engine's own load
/// reports.
pub const MIN_HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// Interval between heartbeats for each peer, which limits what a VM receives
/// to a hundred heartbeats per second.
pub const HEARTBEAT_INTERVAL_PER_PEER: Span = Span::from_millis(10);
/// Heartbeats that a peer may miss before its load is no longer counted.
pub const MAX_MISSED_HEARTBEATS: u64 = 8;
/// Interval at which VMs report their loads to relays, and relays send their
/// sums, if heartbeats are more than twice as far apart. Each adds up to one
/// interval of delay, so that the sum is about as old as an engine's own load
/// report.
pub const RELAY_INTERVAL: Span = Span::from_millis(200);
/// Time without a sum from its relay after which a VM reports to another one.
/// Three sums may be lost or late.
pub const RELAY_TIMEOUT: Span = Span::from_millis(600);
/// How long a VM does not report to a relay that sent no sums.
pub const RELAY_RETRY_DELAY: Span = Span::from_secs(5);
/// Maximum age of a sum of loads. With an older one, the loads in heartbeats are
/// used.
pub const MAX_RELAYED_AGE: Span = Span::from_millis(1_000);
/// Number of VMs of another data centre to which a relay sends its sum: the one
/// that probably serves as the relay there, and the one that takes over from it.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Maximum number of placements in one report. At up to 40 bytes each they fit in
/// a datagram beside the loads of some thousand targets.
pub const MAX_REPORTED_PLACEMENTS: usize = 600;
/// Maximum number of demands of accounts that a VM reports. At up to 15 bytes each in a
/// hundred heartbeats a second they take some kilobytes a second.
pub const MAX_REPORTED_DEMANDS: usize = 12;
/// Maximum number of demands in a relay's sum: all accounts that may be above their share,
/// in some kilobytes.
pub const MAX_SUMMED_DEMANDS: usize = 256;
/// How long a pool counts as short of room after a request found no free slot in it: demands
/// are averaged over this time.
pub const SHORT_POOL_TIME: Span = Span::from_secs(2);
/// How long a VM uses the level of shares that it has computed: half the shortest interval
/// between two reports.
pub const SHARE_LEVEL_TTL: Span = Span::from_millis(50);
/// Maximum number of accounts whose usage of a pool a VM keeps.
pub const MAX_TRACKED_ACCOUNTS: usize = 4_500;
/// Maximum number of pools whose usage a VM keeps.
pub const MAX_TRACKED_POOLS: usize = 256;
/// Maximum number of requests that wait for one pool on a VM: what a VM of the smallest size
/// serves in a second.
pub const MAX_WAITING: usize = 200;
/// Maximum size of the prompts of these requests, in tokens. Workers hold their bodies, at
/// about four bytes a token.
pub const MAX_WAITING_TOKENS: u64 = 2_000_000;
/// Maximum number of refused requests whose return a VM remembers.
pub const MAX_EXPECTED_RETURNS: usize = 4_096;
/// How long after the time that it was told a refused request still counts as returning as
/// told.
pub const RETURN_TTL: Span = Span::from_secs(2);
/// Minimum retry delay for callers refused for want of room: a request that runs ends in
/// about this time.
pub const RETRY_AFTER_NO_ROOM: Span = Span::from_millis(50);
/// Minimum number of tokens for which a transfer from another engine is
/// worthwhile: an engine computes this many in about the time that it takes to
/// request them.
pub const MIN_FETCH_TOKENS: u64 = 128;
/// How long a placement is repeated in heartbeats, and in at least one.
/// Datagrams are lost occasionally, and frequent heartbeats have room to repeat
/// it.
pub const PLACEMENT_SEND_TIME: Span = Span::from_millis(250);
/// Maximum number of placements in a heartbeat, so that it fits in a datagram.
pub const MAX_HEARTBEAT_PLACEMENTS: usize = 64;
/// Interval between two writes of what engines hold. Parts are assumed to stay
/// cached seven times as long, and a call costs as much as a request is worth.
pub const HOLDINGS_WRITE_INTERVAL: Span = Span::from_secs(4);
/// Maximum number of parts in one such write. At up to ten bytes each they stay
/// well below the maximum size of a value in the store.
pub const MAX_HOLDINGS_PARTS: usize = 40_000;
/// Interval at which expired cache entries are removed.
pub const CACHE_PRUNE_INTERVAL: Span = Span::from_secs(5);
/// How long a crash is repeated in heartbeats.
pub const CRASH_SEND_TIME: Span = Span::from_secs(3);
/// Time within which reports of a crash of a target that registers no start number count
/// as one: a peer's last repetition, and its way.
pub const CRASH_REPEAT_TIME: Span = Span::from_secs(4);
/// Maximum number of crashes in a heartbeat, so that it fits in a datagram.
pub const MAX_HEARTBEAT_CRASHES: usize = 16;
/// Time after its last crash at which a request's crashes are forgotten.
pub const CRASH_TTL: Span = Span::from_secs(120);
/// A data centre may be cut off if no heartbeat of any of its VMs has arrived
/// for this long: five heartbeats of a data centre with a single VM.
pub const DATA_CENTRE_TIMEOUT: Span = Span::from_millis(500);
/// A data centre may be cut off if this many heartbeats of it have not arrived,
/// in a large fleet whose heartbeats are far apart.
pub const MISSED_DATA_CENTRE_HEARTBEATS: u64 = 5;
/// Minimum interval between two reports of crashes, or of leaving targets, in which
/// news gathers.
pub const NEWS_INTERVAL: Span = Span::from_millis(50);
/// Number of such reports that repeat each item, in case a datagram is lost.
pub const NEWS_REPEATS: u8 = 3;
/// Maximum number of items of each kind in a crash report, so that it fits in a
/// datagram.
pub const MAX_CRASH_REPORT_ITEMS: usize = 64;
/// Maximum number of parts of a prompt that are suspected of a crash.
pub const MAX_SUSPECT_PARTS: usize = 32;
/// Maximum number of leaving targets in a report, so that it fits in a datagram.
pub const MAX_REPORTED_LEAVING: usize = 100;
/// How long a target that said that it leaves is remembered without a registration. Its
/// row may lapse and return.
pub const LEFT_TARGET_TTL: Span = Span::from_secs(120);
/// How long a target that says that it leaves is still used if no other target is left.
/// Below the shortest bound on leaving targets (2 s).
pub const LAST_USE_OF_LEAVING: Span = Span::from_millis(1_000);
/// Time over which requests return to a data centre that has been taken back: in each second
/// its engines read an eighth of the prompts that belong to them.
pub const READMISSION_TIME: Span = Span::from_secs(8);
/// Maximum number of data centres that have been taken back whose last word a VM keeps.
pub const MAX_KEPT_READMISSIONS: usize = 256;
/// Maximum number of evacuations in a report, so that it fits in a datagram.
pub const MAX_REPORTED_EVACUATIONS: usize = 100;
/// Time after which a target that recovers from a pause may permit another request: a
/// short one has ended by then.
pub const PAUSE_RECOVERY_TIME: Span = Span::from_millis(50);
/// Interval between two reports of limits that targets name.
pub const LIMIT_REPORT_INTERVAL: Span = Span::from_millis(100);
/// Interval at which VMs tell each other of a limit that has not changed.
pub const LIMIT_REPEAT_INTERVAL: Span = Span::from_secs(2);
/// Time after which a limit that no answer names has ended: two such reports may be lost.
pub const LIMIT_TTL: Span = Span::from_secs(6);
/// Maximum number of limits in a report, so that it fits in a datagram.
pub const MAX_REPORTED_LIMITS: usize = 100;
/// Maximum number of prompt parts in a log line.
pub const MAX_LOGGED_PARTS: usize = 8;
/// Maximum number of requests whose crashes are kept.
pub const MAX_SUSPECT_REQUESTS: usize = 4096;
/// Number of targets that must have crashed before a request is refused. Two
/// could be a coincidence, and the operators' rules allow three.
pub const POISON_CRASHES: usize = 3;
/// A request whose answer was interrupted counts as a crash if its target turns
/// out to be down within this time.
pub const CRASH_SUSPICION_TIME: Span = Span::from_secs(3);
/// Maximum number of sends of a request that reached no target, in addition to
/// its attempts. A quarter of a pool may be down at once, and finding one such
/// target takes milliseconds.
pub const MAX_UNREACHED: u32 = 10;
/// Interval at which a late request that could not be hedged is considered again: loads
/// of targets change within a heartbeat.
pub const HEDGE_RETRY_INTERVAL: Span = Span::from_millis(100);
/// Maximum number of late requests that are considered for a hedge in one tick, which
/// bounds its duration.
pub const MAX_HEDGE_CHECKS: usize = 64;
/// Maximum number of requests that wait to be considered for a hedge.
pub const MAX_HEDGE_CANDIDATES: usize = 4_096;
/// Maximum number of shared prompt tokens that a target may have to read again for a
/// hedge. A few tokens cost less than the wait; whole parts cost other prompts more.
pub const MAX_HEDGE_REREAD_TOKENS: u64 = MIN_FETCH_TOKENS;
/// Interval of the log lines that tell why requests were not hedged.
pub const HEDGE_LOG_INTERVAL: Span = Span::from_secs(1);
/// Minimum time before the deadline at which another attempt is worthwhile.
pub const MIN_ATTEMPT_TIME: Span = Span::from_millis(40);
/// How long an idempotent request waits for the beginning of its answer before
/// it is sent elsewhere, as a multiple of its route's latency goal.
pub const ANSWER_TIMEOUT_FACTOR: u64 = 2;
/// Maximum age of a target's own load report.
pub const MAX_REPORT_AGE: Span = Span::from_millis(1_000);
/// Time after SIGTERM during which callers are still served, because the
/// platform sends them until it has noticed: two checks a second apart, plus a
/// margin.
pub const DRAIN_SETTLE: Span = Span::from_millis(2_600);
/// Part of the grace time that is left when the last requests are cut off, for
/// their answers to leave on a slow core.
pub const DRAIN_RESERVE: Span = Span::from_millis(400);
/// Time that a VM that accepts nothing more stays up to send its last refusals.
pub const DRAIN_FLUSH: Span = Span::from_millis(250);
/// Part of the grace time that is left when callers that still read their answers are cut
/// off, for the process to exit on a slow core.
pub const DRAIN_EXIT: Span = Span::from_millis(150);
/// Part of a long wait over which the return of refused callers is spread.
pub const RETRY_SPREAD_DIVISOR: u64 = 8;
/// Minimum retry delay for callers refused because this VM is about to stop:
/// another VM has capacity.
pub const RETRY_AFTER_LEAVING: Span = Span::from_millis(10);
/// Minimum retry delay for callers refused because no target is available: a
/// restart is noticed and a replacement found in about this time.
pub const RETRY_AFTER_NO_TARGET: Span = Span::from_millis(300);
/// Minimum retry delay for callers refused because operators evacuate all targets: an
/// evacuation lasts for tens of seconds at least, and its end is known to all VMs in about
/// this time.
pub const RETRY_AFTER_EVACUATED: Span = Span::from_secs(2);
/// Minimum retry delay for callers refused because this VM has no current
/// configuration: another VM may have one.
pub const RETRY_AFTER_STALE: Span = Span::from_millis(100);
/// Minimum retry delay for callers that targets turned away: another target may
/// have capacity by now.
pub const RETRY_AFTER_TURNED_AWAY: Span = Span::from_millis(50);
/// Minimum retry delay for callers for whose request no engine has memory: some answers end
/// in this time.
pub const RETRY_AFTER_NO_MEMORY: Span = Span::from_millis(200);
/// Minimum time that work takes at a target, in percent of the usual, for VMs to tell each
/// other of it.
pub const MIN_TOLD_PERCENT: u32 = 150;
/// Interval at which VMs tell each other that a target is still slow: half of the time for
/// which what it states counts.
pub const SLOW_REPEAT_INTERVAL: Span = Span::from_millis(150);
/// Maximum number of slow targets in a report, so that a VM hears little of a pool that is
/// slow as a whole.
pub const MAX_REPORTED_SLOW: usize = 32;
/// Minimum number of events of an answer by whose pace the speed of its engine is learned.
pub const MIN_PACED_EVENTS: u32 = 4;
/// Minimum retry delay for callers of a route or client account that operators configured
/// wrongly: they must write another configuration first.
pub const RETRY_AFTER_UNUSABLE: Span = Span::from_secs(2);
/// Minimum retry delay for callers whose request crashes targets.
pub const RETRY_AFTER_POISON: Span = Span::from_secs(10);
/// Greatest age of a target's registration when it arrives: targets write at least each
/// 1.2 s, and VMs read what has changed within two seconds.
pub const MAX_ROW_AGE: Span = Span::from_secs(4);
/// How long a VM that has just read the registrations has no turns at cold targets. What it
/// read may be three seconds old, and the others learn of it within two.
pub const COLD_START_WAIT: Span = Span::from_secs(5);
/// How long a VM has turns at cold targets when it no longer hears of the store, and how
/// long it keeps the place of a VM whose registration has ended. A VM's registration
/// outlives it by as long ([`LEASE_TTL`]), so that its turns end before others take them.
pub const MAX_FEEDER_AGE: Span = LEASE_TTL;
/// Interval at which a VM looks which others are registered, to draw its turns.
pub const MEMBERSHIP_INTERVAL: Span = Span::from_millis(250);
/// How long a target that could not be reached may be cold when it answers again. Its
/// registration ends after about 4 s of silence, and tells within as many that it is back.
pub const LOST_TARGET_TIME: Span = Span::from_secs(10);
/// Lost targets of a pool are taken to be a fault of this VM's link if they are more than
/// one in this many.
pub const LOST_TARGETS_DIVISOR: usize = 2;
/// Longest time for which a target counts as cold after its last word. Starts take some
/// seconds; an odd figure must not keep a target out for ever.
pub const MAX_COLD_TIME: Span = Span::from_secs(60);
/// Consecutive requests that a target does not answer in time, without an answer between
/// them, from which it counts as lost rather than slow.
pub const LOST_FAILURES: u32 = 2;
/// Time within which two peers must report that they can't reach a target: twice the
/// interval of heartbeats in a fleet of 80 VMs, and less than that of chance failures on
/// bad links.
pub const LOSS_WINDOW: Span = Span::from_millis(1_500);
