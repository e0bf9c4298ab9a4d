//! Data centres that operators evacuate, and take back.
//!
//! Operators say so by a row of the store, which is read with all others. VMs that learn of
//! it otherwise than from a peer's report tell all peers at once. Versions decide: an older
//! word, whichever way it comes, neither undoes a newer one nor brings an older one back.
//! When the store has returned from a copy, what this VM knows holds for a while, in which
//! operators write again what the store has lost.
//!
//! While a data centre is evacuated, its targets are no candidates, not even if no other
//! target is left. Its engines still serve transfers.

use std::collections::BTreeMap;

use briarshift_logging::Record;
use briarshift_routing::readmission::Readmission;
use briarshift_store::Position;
use briarshift_store::registry::Name;
use briarshift_units::{DataCentre, Moment, PoolId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::evacuation::{Evacuation, Report};

use super::{Entry, Query, State};
use crate::limit::{
    LOST_EVACUATION_TIME, MAX_KEPT_READMISSIONS, MAX_REPORTED_EVACUATIONS, READMISSION_TIME,
};
use crate::peer::News;
use crate::sync::Update;
use crate::{Context, Effect, Output, peer};

/// What operators want of a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Standing {
    /// Its targets are used.
    #[default]
    InUse,
    /// Its targets get nothing new.
    Evacuated,
    /// It has been taken back, and its targets are used for a growing share of requests.
    Readmitted(Readmission),
}

/// The newest word on a data centre.
#[derive(Debug, Clone, Copy)]
struct Word {
    version: Position,
    standing: Standing,
}

/// All data centres on which operators have said something.
#[derive(Debug, Default)]
pub(super) struct Words {
    words: BTreeMap<DataCentre, Word>,
    news: News<Evacuation>,
    /// When the store returned from a copy, and what that says otherwise than this VM knows.
    doubted: Option<(Moment, Vec<Evacuation>)>,
}

impl Words {
    fn standing(&self, data_centre: &DataCentre) -> Standing {
        self.words.get(data_centre).map_or(Standing::InUse, |word| word.standing)
    }

    /// Returns true if requests return to a data centre step by step.
    pub(super) fn has_readmission(&self) -> bool {
        self.words.values().any(|word| matches!(word.standing, Standing::Readmitted(_)))
    }

    /// Applies a word. Returns true if it changes what its targets get. A data centre that
    /// this VM did not know to be evacuated is not readmitted step by step.
    fn apply(&mut self, ctx: &Context<'_>, evacuation: &Evacuation) -> bool {
        let Evacuation { data_centre, version, is_evacuated } = evacuation;
        let known = self.words.get(data_centre);
        if known.is_some_and(|known| version <= &known.version) {
            return false;
        }
        let before = self.standing(data_centre);
        let standing = match before {
            _ if *is_evacuated => Standing::Evacuated,
            Standing::Evacuated => Standing::Readmitted(Readmission::new(ctx.at, READMISSION_TIME)),
            before => before,
        };
        self.words.insert(data_centre.clone(), Word { version: *version, standing });
        self.drop_oldest();
        standing != before
    }

    /// Bounds the number of data centres that have been taken back. What is forgotten is
    /// the oldest of them, which no VM has reason to mention any more.
    fn drop_oldest(&mut self) {
        let taken_back = |word: &Word| word.standing != Standing::Evacuated;
        let kept = self.words.iter().filter(|(_, word)| taken_back(word));
        if kept.clone().count() <= MAX_KEPT_READMISSIONS {
            return;
        }
        let oldest = kept.min_by_key(|(_, word)| word.version).map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.words.remove(&oldest);
        }
    }

    /// Returns true if a word says otherwise than what is known of its data centre.
    fn contradicts(&self, evacuation: &Evacuation) -> bool {
        let known = self.words.get(&evacuation.data_centre);
        known.is_some_and(|it| (it.standing == Standing::Evacuated) != evacuation.is_evacuated)
    }

    /// Leaves out of later words those that are doubted already, and forgets doubts about
    /// which something else is said. Whether a row is missing or has just been deleted can't
    /// be told apart, so that a data centre that operators take back meanwhile stays
    /// evacuated until the doubts end.
    fn keep_doubts(&mut self, read: &mut Vec<Evacuation>, is_snapshot: bool) {
        let Some((_, doubted)) = &mut self.doubted else { return };
        let is_same = |new: &Evacuation, old: &Evacuation| {
            // A row of the copy has the same revision in each era.
            let is_unchanged = !old.is_evacuated || new.version.revision == old.version.revision;
            new.data_centre == old.data_centre
                && new.is_evacuated == old.is_evacuated
                && is_unchanged
        };
        doubted.retain(|old| {
            let mut of_data_centre = read.iter().filter(|it| it.data_centre == old.data_centre);
            match is_snapshot {
                true => of_data_centre.any(|new| is_same(new, old)),
                false => of_data_centre.all(|new| is_same(new, old)),
            }
        });
        read.retain(|new| !doubted.iter().any(|old| is_same(new, old)));
    }

    /// Returns the words that rows of the store contain. A snapshot without the row of an
    /// evacuated data centre says that it has been taken back.
    fn read(&self, update: &Update) -> Vec<Evacuation> {
        let mut read = Vec::new();
        for row in &update.rows {
            if let Name::Evacuation(data_centre) = &row.name {
                let (data_centre, version) = (data_centre.clone(), row.version);
                let is_evacuated = row.value.is_some();
                read.push(Evacuation { data_centre, version, is_evacuated });
            }
        }
        if update.snapshot || update.has_returned {
            let is_missing = |(data_centre, word): &(&DataCentre, &Word)| {
                word.standing == Standing::Evacuated
                    && !read.iter().any(|listed| listed.data_centre == **data_centre)
            };
            let missing: Vec<_> =
                self.words.iter().filter(is_missing).map(|(name, _)| name.clone()).collect();
            let version = update.version;
            read.extend(missing.into_iter().map(|data_centre| Evacuation {
                data_centre,
                version,
                is_evacuated: false,
            }));
        }
        read
    }
}

impl Entry {
    /// Returns true if operators evacuate the target's data centre.
    pub fn is_evacuated(&self) -> bool {
        self.standing == Standing::Evacuated
    }

    /// Returns true if the target's data centre has been taken back for long enough for
    /// this request.
    pub(super) fn is_readmitted(&self, query: &Query<'_>) -> bool {
        match &self.standing {
            Standing::Readmitted(it) => it.admits(query.readmission_key, query.now),
            Standing::InUse | Standing::Evacuated => true,
        }
    }
}

impl State {
    /// Applies what rows of the store say. `tells_peers` is false for the first snapshot of
    /// this VM, which tells peers nothing new.
    pub(super) fn update_evacuations(
        &mut self,
        ctx: &Context<'_>,
        update: &Update,
        tells_peers: bool,
        out: &mut Output,
    ) {
        let mut read = self.evacuations.read(update);
        let tells_peers = tells_peers && !update.has_returned;
        if update.has_returned {
            let doubted = read.extract_if(.., |it| self.evacuations.contradicts(it)).collect();
            self.evacuations.doubted = Some((ctx.at, doubted));
        } else {
            self.evacuations.keep_doubts(&mut read, update.snapshot);
        }
        for evacuation in read {
            if self.apply_evacuation(ctx, &evacuation, "store", out) && tells_peers {
                self.evacuations.news.add(evacuation);
            }
        }
        self.set_standings();
    }

    /// Applies a peer's report.
    pub fn receive_evacuations(&mut self, ctx: &Context<'_>, report: &Report, out: &mut Output) {
        for evacuation in &report.evacuations {
            self.apply_evacuation(ctx, evacuation, report.from.as_str(), out);
        }
        self.set_standings();
    }

    /// Applies one word that came from the store or a peer, and returns true if it is news.
    fn apply_evacuation(
        &mut self,
        ctx: &Context<'_>,
        evacuation: &Evacuation,
        by: &str,
        out: &mut Output,
    ) -> bool {
        if !self.evacuations.apply(ctx, evacuation) {
            return false;
        }
        let Evacuation { data_centre, version, is_evacuated } = evacuation;
        let state = if *is_evacuated { "evacuated" } else { "taken_back" };
        let of_data_centre = |entry: &&Entry| entry.target.data_centre == *data_centre;
        let targets = self.entries.values().filter(of_data_centre);
        out.log(
            Record::new("evacuation")
                .with("data_centre", data_centre)
                .with("state", state)
                .with("version", version)
                .with("by", by)
                .with("targets", targets.clone().count())
                .with("requests", targets.clone().map(|entry| entry.requests).sum::<u32>()),
        );
        if *is_evacuated {
            for entry in targets {
                out.push(Effect::CloseConnections(entry.target.address));
            }
        }
        true
    }

    /// Copies to the targets what is wanted of their data centres.
    fn set_standings(&mut self) {
        if self.evacuations.words.is_empty() {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.standing = self.evacuations.standing(&entry.target.data_centre);
        }
    }

    /// Tells peers what this VM has learned, and ends readmissions and doubts. `rows_at` is
    /// when the rows were last known to be complete.
    pub fn tick_evacuations(
        &mut self,
        ctx: &Context<'_>,
        peers: &peer::State,
        rows_at: Option<Moment>,
        out: &mut Output,
    ) {
        self.end_readmissions(ctx, out);
        self.end_doubts(ctx, rows_at, out);
        let evacuations = self.evacuations.news.take_due(MAX_REPORTED_EVACUATIONS, ctx.at);
        if evacuations.is_empty() {
            return;
        }
        let report = Report { from: ctx.me.vm.clone(), evacuations };
        let datagram = Datagram::EvacuationReport(report);
        out.push(Effect::Broadcast { addresses: peers.addresses(), datagram });
    }

    /// Applies what the store said when it returned from a copy, if it says the same when
    /// operators have had time to write again. While it is away once more, nobody knows.
    fn end_doubts(&mut self, ctx: &Context<'_>, rows_at: Option<Moment>, out: &mut Output) {
        let Some((at, _)) = self.evacuations.doubted else { return };
        if rows_at.is_none_or(|rows_at| rows_at < at + LOST_EVACUATION_TIME) {
            return;
        }
        for evacuation in self.evacuations.doubted.take().map_or_else(Vec::new, |it| it.1) {
            let known = self.evacuations.words.get(&evacuation.data_centre);
            if known.is_none_or(|word| word.version.era < evacuation.version.era) {
                self.apply_evacuation(ctx, &evacuation, "copy", out);
            }
        }
        self.set_standings();
    }

    fn end_readmissions(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let mut has_ended = false;
        for (data_centre, word) in &mut self.evacuations.words {
            let Standing::Readmitted(readmission) = word.standing else { continue };
            if readmission.is_complete(ctx.at) {
                word.standing = Standing::InUse;
                has_ended = true;
                let line = Record::new("evacuation").with("data_centre", data_centre);
                out.log(line.with("state", "in_use").with("version", word.version));
            }
        }
        if has_ended {
            self.set_standings();
        }
    }

    /// Returns true if a target is in an evacuated data centre.
    pub fn has_evacuated(&self) -> bool {
        self.entries.values().any(Entry::is_evacuated)
    }

    /// Returns true if a target of a pool is in an evacuated data centre.
    pub fn has_evacuated_of(&self, pool: &PoolId) -> bool {
        self.entries.values().any(|entry| entry.target.pool == *pool && entry.is_evacuated())
    }
}
