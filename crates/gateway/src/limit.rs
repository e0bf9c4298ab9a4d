//! Times and numbers that the reducer keeps to, with their sources.

use briarshift_units::Span;

/// Pause between two reads of the store's changes. A call a second costs a VM
/// about a hundredth of what it earns; a change is known at the latest a pause
/// and a slow answer later, well within the bounds of one to two seconds.
pub const SYNC_INTERVAL: Span = Span::from_millis(800);
/// Pause after a call to the store that failed.
pub const SYNC_RETRY_DELAY: Span = Span::from_millis(400);
/// Pause after a call about this VM's registration that failed: nothing waits
/// for it.
pub const LEASE_RETRY_DELAY: Span = Span::from_millis(1_000);
/// Failed calls in a row are logged this often.
pub const FAILURE_LOG_INTERVAL: Span = Span::from_secs(1);
/// How long a VM's registration outlives its process. Peers are believed by
/// their beats; the registration only tells where they are.
pub const LEASE_TTL: Span = Span::from_secs(30);
/// A lease is renewed after this part of its time.
pub const LEASE_RENEWAL_DIVISOR: u64 = 3;
/// The VMs of a new fleet write its secret at a moment drawn from this time: a
/// few pauses between reads, so that most find it written by then.
pub const SECRET_WRITE_SPREAD: Span = Span::from_secs(4);
/// A store is in trouble for this long after a call that failed: registrations
/// that ended meanwhile are written again within two seconds of its return.
pub const STORE_FAILURE_WINDOW: Span = Span::from_millis(3_000);
/// How long a target whose registration ended in such trouble is still used
/// where no other is left: below the shortest bound on leaving targets (2 s).
pub const UNCONFIRMED_TARGET_TTL: Span = Span::from_millis(1_500);
/// VMs of a data centre for each of its delegates, which read the store for the
/// others. A few VMs can go without their one delegate for some seconds; many
/// would all turn to the store, so they have a second one.
pub const VMS_PER_DELEGATE: usize = 16;
/// Most delegates of a data centre.
pub const MAX_DELEGATES: usize = 3;
/// VMs of a data centre that turn to the store as soon as its delegates have only
/// old news: with two of them three machines must be cut off before more do.
pub const BACKUP_DELEGATES: usize = 2;
/// While delegates and backups say that the store fails them, all others turn to
/// it one after the other, this much apart: the pause between two asks, after
/// which a VM that was served has told the next.
pub const STORE_FALLBACK_STEP: Span = DELEGATE_INTERVAL;
/// Pause after a call to the store that failed, at a VM that has delegates:
/// these try more often, and tell it when the store is back.
pub const STORE_RETRY_DELAY: Span = Span::from_millis(2_500);
/// An ask to a delegate is given up after this time: some round trips within
/// one data centre, and the delegate's next turn on a busy core.
pub const DELEGATE_TIMEOUT: Span = Span::from_millis(300);
/// Pause between two asks of a delegate: half of the delegate's own, since the
/// two pauses add up.
pub const DELEGATE_INTERVAL: Span = Span::from_millis(400);
/// A delegate in touch with the store has news younger than its pause; older
/// news says that it is not, and the asker turns to the store at once.
pub const MAX_DELEGATE_AGE: Span = Span::from_millis(1_000);
/// A VM turns to the store at this age of its own news whatever delegates do:
/// with the call it stays within the shortest bound on changes (2 s).
pub const STORE_FALLBACK_AGE: Span = Span::from_millis(1_500);
/// Changes that a delegate keeps for askers that fell behind.
pub const MAX_KEPT_CHANGES: usize = 1_000;
/// Most rows, or routes, in one datagram of changes: at about a hundred bytes
/// each they fit, and a larger one is better read from the store.
pub const MAX_DATAGRAM_ROWS: usize = 300;
/// A target that turned a request away as another's is passed over for this
/// long: its registration ends within about three of its writes.
pub const MOVED_TARGET_PAUSE: Span = Span::from_secs(4);
/// Shortest pause between beats: the lag of an engine's own reports.
pub const MIN_HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// Pause between beats for each peer, so that a VM receives at most a hundred
/// beats a second.
pub const HEARTBEAT_INTERVAL_PER_PEER: Span = Span::from_millis(10);
/// Beats that a peer may miss before its load is no longer counted.
pub const MAX_MISSED_HEARTBEATS: u64 = 8;
/// Fewest tokens worth a transfer from another engine: reading them takes
/// about as long as asking for them.
pub const MIN_FETCH_TOKENS: u64 = 128;
/// A placement is told in the beats of this long, in one at least: datagrams are
/// lost now and then, and frequent beats can afford to repeat it.
pub const PLACEMENT_SEND_TIME: Span = Span::from_millis(250);
/// Most placements in a beat, so that it fits a datagram.
pub const MAX_HEARTBEAT_PLACEMENTS: usize = 64;
/// Pause between two writes of what engines hold: parts are believed to be held
/// for seven times as long, and a call is worth a request.
pub const HOLDINGS_WRITE_INTERVAL: Span = Span::from_secs(4);
/// Most parts that are written, at up to ten bytes each: well below the longest
/// value of the store.
pub const MAX_HOLDINGS_PARTS: usize = 40_000;
/// How often old beliefs about engines' memory are dropped.
pub const CACHE_PRUNE_INTERVAL: Span = Span::from_secs(5);
/// Strikes are told in beats for this long.
pub const CRASH_SEND_TIME: Span = Span::from_secs(3);
/// Most strikes in a beat, so that it fits a datagram.
pub const MAX_HEARTBEAT_CRASHES: usize = 16;
/// Strikes are forgotten after this time.
pub const CRASH_TTL: Span = Span::from_secs(120);
/// A data centre none of whose VMs is heard for this long may be cut off: five
/// beats of its only VM.
pub const DATA_CENTRE_TIMEOUT: Span = Span::from_millis(500);
/// Most requests whose strikes are kept.
pub const MAX_SUSPECT_REQUESTS: usize = 4096;
/// Targets that must have died before a request is refused: two could be an
/// accident, and the operators' rules allow three.
pub const POISON_CRASHES: usize = 3;
/// A request that broke off is suspected if its target turns out to be down
/// within this time.
pub const CRASH_SUSPICION_TIME: Span = Span::from_secs(3);
/// Most sends of a request that reached no target, beside its attempts: a
/// quarter of a pool may be down at once, and finding one takes milliseconds.
pub const MAX_UNSENT_SENDS: u32 = 10;
/// Least time left for another attempt to be worth its place.
pub const MIN_ATTEMPT_TIME: Span = Span::from_millis(40);
/// How long an idempotent request waits for the beginning of its answer before
/// it is sent elsewhere, as a multiple of its route's aim.
pub const ANSWER_TIMEOUT_FACTOR: u64 = 2;
/// Longest that a target's own load report is relied on.
pub const MAX_REPORT_AGE: Span = Span::from_millis(1_000);
/// After SIGTERM callers still come until the platform has noticed: two checks
/// a second apart, and some slack.
pub const DRAIN_SETTLE: Span = Span::from_millis(2_600);
/// What is left of the grace time when the last requests are cut: the time for
/// their answers to leave, and a slow core.
pub const DRAIN_RESERVE: Span = Span::from_millis(400);
/// How long a VM that takes nothing more stays for its last refusals to leave.
pub const DRAIN_FLUSH: Span = Span::from_millis(250);
/// Advice to callers refused by a VM that is about to stop: another has room.
pub const RETRY_AFTER_LEAVING: Span = Span::from_millis(10);
/// Advice to callers refused for want of a target: a restart is noticed and a
/// replacement found in about this time.
pub const RETRY_AFTER_NO_TARGET: Span = Span::from_millis(300);
/// Advice to callers refused by a VM that knows no configuration: another VM
/// may, so soon.
pub const RETRY_AFTER_STALE: Span = Span::from_millis(100);
/// Advice to callers whose target turned them away: another has room now.
pub const RETRY_AFTER_TURNED_AWAY: Span = Span::from_millis(50);
/// Advice to callers whose request crashes targets.
pub const RETRY_AFTER_POISON: Span = Span::from_secs(10);
