//! The state of an engine, which one mutex guards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use briarshift_target::{LoadReport, Order, Outcome};
use briarshift_units::{FencingToken, ModelId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::cache::Cache;
use super::{FaultKind, Settings};
use crate::fault::ActiveFaults;
use crate::run::Recorder;

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: Order,
    /// True if the order was accepted, false if its fencing token was stale.
    pub obeyed: bool,
}

/// A model that is being loaded.
struct Loading {
    model: ModelId,
    ready_at: Instant,
}

/// The output of a run, which is kept so that a stream can be resumed.
pub(super) struct Stream {
    pub index: usize,
    pub events: Vec<Bytes>,
    pub text: String,
    pub ended_at: Option<Instant>,
    pub cancelled: bool,
}

impl Stream {
    pub fn new(index: usize) -> Self {
        Self { index, events: Vec::new(), text: String::new(), ended_at: None, cancelled: false }
    }
}

struct LoadSample {
    sampled_at: Instant,
    running: u32,
}

pub(super) struct State {
    pub settings: Settings,
    pub cache: Cache,
    pub recorder: Recorder,
    pub faults: ActiveFaults<FaultKind>,
    pub streams: BTreeMap<SmolStr, Stream>,
    pub received_orders: Vec<ReceivedOrder>,
    pub crashed: bool,
    models: Vec<ModelId>,
    loading: Vec<Loading>,
    limited_to_models: bool,
    fencing: Option<FencingToken>,
    sample: Option<LoadSample>,
}

impl State {
    pub fn new(settings: Settings) -> Self {
        Self {
            cache: Cache::new(settings.cache_capacity),
            recorder: Recorder::new(),
            faults: ActiveFaults::default(),
            streams: BTreeMap::new(),
            received_orders: Vec::new(),
            crashed: false,
            models: settings.models.clone(),
            loading: Vec::new(),
            limited_to_models: !settings.models.is_empty(),
            fencing: None,
            sample: None,
            settings,
        }
    }

    /// Returns true if the engine serves a model.
    pub fn serves(&mut self, model: &str) -> bool {
        self.finish_loading();
        !self.limited_to_models || self.models.iter().any(|held| held.as_str() == model)
    }

    /// Returns the load as last sampled. A new sample is taken when the last one has reached
    /// `max_report_age`.
    pub fn report(&mut self) -> LoadReport {
        self.finish_loading();
        let max_age = self.settings.max_report_age;
        let now = Instant::now();
        let expired = self.sample.as_ref().is_none_or(|sample| sample.sampled_at + max_age <= now);
        if expired {
            self.sample = Some(LoadSample { sampled_at: now, running: self.recorder.running() });
        }
        LoadReport {
            start: self.settings.start_number,
            running: self.sample.as_ref().map_or(0, |sample| sample.running),
            waiting: 0,
            leaving: self.recorder.is_leaving(),
            models: self.models.clone(),
            fencing: self.fencing.filter(|_| self.settings.check_fencing),
        }
    }

    /// Handles an order. It is accepted unless its fencing token is stale and the engine checks
    /// tokens.
    pub fn order(&mut self, order: Order) -> Outcome {
        self.finish_loading();
        let newest = self.fencing.unwrap_or_default();
        if self.settings.check_fencing && order.fencing < newest {
            self.received_orders.push(ReceivedOrder { order, obeyed: false });
            return Outcome::Stale { newest };
        }
        self.fencing = Some(newest.max(order.fencing));
        self.limited_to_models = true;
        self.models.retain(|model| order.models.contains(model));
        self.loading.retain(|loading| order.models.contains(&loading.model));
        let mut ready_at = Instant::now();
        if let Some(last) = self.loading.last() {
            ready_at = last.ready_at;
        }
        for model in &order.models {
            let known = self.loading.iter().any(|loading| &loading.model == model);
            if known || self.models.contains(model) {
                continue;
            }
            ready_at += self.settings.model_load_time;
            self.loading.push(Loading { model: model.clone(), ready_at });
        }
        self.received_orders.push(ReceivedOrder { order, obeyed: true });
        Outcome::Accepted
    }

    /// Drops streams whose retention time has passed.
    pub fn drop_expired_streams(&mut self) {
        let retention: Duration = self.settings.retention;
        let now = Instant::now();
        self.streams
            .retain(|_, stream| stream.ended_at.is_none_or(|ended_at| now < ended_at + retention));
    }

    fn finish_loading(&mut self) {
        let now = Instant::now();
        while self.loading.first().is_some_and(|loading| loading.ready_at <= now) {
            let loading = self.loading.remove(0);
            self.models.push(loading.model);
        }
    }
}
