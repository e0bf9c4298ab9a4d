//! Builders for documents, accounts and pools.

use briarshift_units::{AccountId, ModelId, OwnerId, PoolId};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

use crate::{Account, Document, Engine, Kind, Model, Orders, Pool, Priority, Rate, Runner};

/// Default of [`Pool::queue_wait_ms`].
const DEFAULT_QUEUE_WAIT_MS: u64 = 5_000;
/// Default of [`Pool::queue_length`].
const DEFAULT_QUEUE_LENGTH: u32 = 1_000;
/// Default of [`Pool::retry_share`].
const DEFAULT_RETRY_SHARE: f64 = 0.1;
/// Default of [`Account::rate`].
const DEFAULT_RATE: Rate = Rate { per_second: 10.0, burst: 20 };

/// Builds a [`Document`].
#[derive(Debug, Clone, Default)]
pub struct DocumentBuilder(Document);

impl DocumentBuilder {
    /// Adds an owner.
    #[must_use]
    pub fn owner(mut self, owner: OwnerId) -> Self {
        self.0.owners.push(owner);
        self
    }

    /// Adds a client account.
    #[must_use]
    pub fn account(mut self, account: Account) -> Self {
        self.0.accounts.push(account);
        self
    }

    /// Adds a pool.
    #[must_use]
    pub fn pool(mut self, pool: Pool) -> Self {
        self.0.pools.push(pool);
        self
    }

    /// Adds a model and the pool that serves it.
    #[must_use]
    pub fn model(mut self, id: ModelId, pool: PoolId) -> Self {
        self.0.models.push(Model { id, pool });
        self
    }

    /// Sets the comment of the document.
    #[must_use]
    pub fn comment(mut self, comment: &str) -> Self {
        comment.clone_into(&mut self.0.comment);
        self
    }

    /// Returns the document without checking it; [`Document::parse`] does that.
    pub fn build(self) -> Document {
        self.0
    }
}

/// Builds an [`Account`].
#[derive(Debug, Clone)]
pub struct AccountBuilder(Account);

impl Account {
    /// Returns a builder for an account with the bearer key `key`, of which only the hash is stored.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Account;
    /// let builder = Account::builder("a".parse().unwrap(), "kitambaa".parse().unwrap(), "key");
    /// let account = builder.rate(2.5, 5).build();
    /// assert_eq!(account.rate.burst, 5);
    /// assert!(account.key_sha256.starts_with("2c70e12b"));
    /// ```
    pub fn builder(id: AccountId, owner: OwnerId, key: &str) -> AccountBuilder {
        let key_sha256 = SmolStr::from(hex::encode(Sha256::digest(key)));
        let priority = Priority::default();
        AccountBuilder(Self { id, owner, key_sha256, rate: DEFAULT_RATE, priority })
    }
}

impl AccountBuilder {
    /// Sets the mean rate of requests per second, and the largest burst.
    #[must_use]
    pub fn rate(mut self, per_second: f64, burst: u32) -> Self {
        self.0.rate = Rate { per_second, burst };
        self
    }

    /// Sets the priority of its requests.
    #[must_use]
    pub fn priority(mut self, priority: Priority) -> Self {
        self.0.priority = priority;
        self
    }

    /// Returns the account.
    pub fn build(self) -> Account {
        self.0
    }
}

/// Builds a [`Pool`].
#[derive(Debug, Clone)]
pub struct PoolBuilder(Pool);

impl Pool {
    /// Returns a builder for a pool of model engines.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::{Engine, Pool};
    /// let engine = Engine { load_factor: 1.25, place_wait_ms: 50, overnight_share: 0.5 };
    /// let builder = Pool::engines("rota".parse().unwrap(), "kitambaa".parse().unwrap(), engine);
    /// assert_eq!(builder.queue(100, 10).build().queue_length, 10);
    /// ```
    pub fn engines(id: PoolId, owner: OwnerId, engine: Engine) -> PoolBuilder {
        PoolBuilder::new(id, owner, Kind::Engine(engine))
    }

    /// Returns a builder for a pool of desk runners.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::{Pool, Runner};
    /// let runner =
    ///     Runner { concurrency: 4, timeout_ms: 2_000, retention_s: 60, repeatable: Vec::new() };
    /// let pool = Pool::runners("desk".parse().unwrap(), "kitambaa".parse().unwrap(), runner);
    /// assert_eq!(pool.build().id.as_str(), "desk");
    /// ```
    pub fn runners(id: PoolId, owner: OwnerId, runner: Runner) -> PoolBuilder {
        PoolBuilder::new(id, owner, Kind::Runner(runner))
    }
}

impl PoolBuilder {
    fn new(id: PoolId, owner: OwnerId, kind: Kind) -> Self {
        Self(Pool {
            id,
            owner,
            kind,
            queue_wait_ms: DEFAULT_QUEUE_WAIT_MS,
            queue_length: DEFAULT_QUEUE_LENGTH,
            retry_share: DEFAULT_RETRY_SHARE,
            orders: None,
        })
    }

    /// Sets the longest time that a request waits in the queue, in milliseconds, and the most
    /// requests that may wait.
    #[must_use]
    pub fn queue(mut self, wait_ms: u64, length: u32) -> Self {
        self.0.queue_wait_ms = wait_ms;
        self.0.queue_length = length;
        self
    }

    /// Sets the retries allowed, as a fraction of first attempts.
    #[must_use]
    pub fn retry_share(mut self, share: f64) -> Self {
        self.0.retry_share = share;
        self
    }

    /// Enables orders, which make its engines load and unload models.
    #[must_use]
    pub fn orders(mut self, orders: Orders) -> Self {
        self.0.orders = Some(orders);
        self
    }

    /// Returns the pool.
    pub fn build(self) -> Pool {
        self.0
    }
}
