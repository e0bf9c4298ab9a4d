//! The engine's HTTP handlers.

use std::io;
use std::time::{Duration, Instant};

use actix_web::http::header::{ContentType, RETRY_AFTER};
use actix_web::web::{self, Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, Responder};
use briarshift_target::http::{CHAT_KEY, REQUEST_ID};
use briarshift_target::{LoadReport, Order};
use briarshift_units::ChatKey;
use futures::stream;
use serde::Deserialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use super::chat::{Request, Usage};
use super::state::Stream;
use super::{FaultKind, Shared, chat};
use crate::Fault;
use crate::serve::{broken, lock};

/// Time between two looks at whether a freeze is over.
const FREEZE_PAUSE: Duration = Duration::from_millis(5);
/// The id echoed by a crossed answer when no other run is known.
const STRANGER: &str = "0000000000000000.1";

pub(super) fn routes(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/streams/{id}", web::get().to(resume))
        .route("/v1/streams/{id}", web::delete().to(cancel))
        .route("/load", web::get().to(load))
        .route("/cache/events", web::get().to(events))
        .route("/orders", web::post().to(order))
        .route("/admin/runs", web::get().to(runs))
        .route("/admin/orders", web::get().to(orders))
        .route("/admin/leave", web::post().to(leave))
        .route("/admin/fault", web::post().to(set_fault))
        .route("/admin/fault", web::delete().to(clear_faults));
}

/// Waits while the engine is frozen.
async fn thaw(shared: &Shared) {
    let frozen = || lock(&shared.state).faults.peek(|kind| *kind == FaultKind::Freeze).is_some();
    while frozen() {
        tokio::time::sleep(FREEZE_PAUSE).await;
    }
}

/// How one answer goes wrong.
#[derive(Clone, Default)]
struct Flaw {
    cut: Option<usize>,
    omit_end: bool,
}

/// A run about to start.
struct Run {
    id: SmolStr,
    model: SmolStr,
    last: String,
    chat: ChatKey,
    usage: Usage,
    late: Duration,
}

async fn complete(shared: Data<Shared>, head: HttpRequest, body: Bytes) -> HttpResponse {
    thaw(&shared).await;
    let Ok(request) = serde_json::from_slice::<Request>(&body) else {
        return fail(&mut HttpResponse::BadRequest(), "the body is not a chat request");
    };
    if let Some(refusal) = refuse(&shared, &request) {
        return refusal;
    }
    let header = |name: &str| head.headers().get(name).and_then(|value| value.to_str().ok());
    let crashes = {
        let text = request.text();
        let state = lock(&shared.state);
        let crash = |kind: &FaultKind| match kind {
            FaultKind::Crash { text: fatal } => text.contains(fatal.as_str()),
            _ => false,
        };
        state.faults.peek(crash).is_some()
    };
    let (run, flaw, crossed) = begin(&shared, &request, header(REQUEST_ID), header(CHAT_KEY));
    if crashes {
        shared.crash();
        return std::future::pending().await;
    }
    let id = run.id.clone();
    let model = run.model.clone();
    actix_web::rt::spawn(execute(shared.clone(), run));
    let shown = crossed.unwrap_or_else(|| id.clone());
    if request.stream {
        let known = lock(&shared.state).streams.contains_key(&shown);
        let source = if known { shown.clone() } else { id };
        return follow(&shared, &shown, source, 0, &flaw);
    }
    whole(&shared, &shown, &id, &model, &flaw).await
}

fn fail(response: &mut HttpResponseBuilder, text: &str) -> HttpResponse {
    response.json(json!({ "error": { "message": text } }))
}

fn refuse(shared: &Shared, request: &Request) -> Option<HttpResponse> {
    let mut state = lock(&shared.state);
    let refusal = state.faults.take(|kind| matches!(kind, FaultKind::Refuse { .. }));
    if let Some(FaultKind::Refuse { retry_after_s }) = refusal {
        let mut response = HttpResponse::ServiceUnavailable();
        response.insert_header((RETRY_AFTER, retry_after_s));
        return Some(fail(&mut response, "no room"));
    }
    if !state.serves(&request.model) {
        return Some(fail(&mut HttpResponse::NotFound(), "the model is not held here"));
    }
    None
}

/// Enters a run in the log and the cache, and draws its faults.
fn begin(
    shared: &Shared,
    request: &Request,
    id: Option<&str>,
    chat: Option<&str>,
) -> (Run, Flaw, Option<SmolStr>) {
    let mut state = lock(&shared.state);
    state.forget();
    let before = state.recorder.log().runs.last().map(|run| run.id.clone());
    let number = state.recorder.log().runs.len();
    let id = id.map_or_else(|| format_smolstr!("unnamed-{number}"), SmolStr::new);
    let chat = request.chat(chat);
    let place = state.recorder.start(&id, Some(chat), None);
    let prompt = request.prompt_tokens();
    let cached = state.cache.tokens(chat).min(prompt);
    state.cache.store(chat, prompt);
    let run = state.recorder.get_mut(place);
    run.prompt_tokens = prompt;
    run.cached_tokens = cached;
    state.streams.insert(id.clone(), Stream::new(place));
    let late = match state.faults.take(|kind| matches!(kind, FaultKind::Late { .. })) {
        Some(FaultKind::Late { delay_ms }) => Duration::from_millis(delay_ms),
        _ => Duration::ZERO,
    };
    let cut = match state.faults.take(|kind| matches!(kind, FaultKind::Cut { .. })) {
        Some(FaultKind::Cut { after }) => Some(after),
        _ => None,
    };
    let omit_end = state.faults.take(|kind| *kind == FaultKind::OmitEnd).is_some();
    let crossed = state.faults.take(|kind| *kind == FaultKind::Crossed);
    let crossed = crossed.map(|_| before.unwrap_or_else(|| STRANGER.into()));
    let usage = Usage { prompt, cached, completion: 0 };
    let last = request.last();
    let run = Run { id, model: request.model.clone(), last, chat, usage, late };
    (run, Flaw { cut, omit_end }, crossed)
}

/// Generates the answer, token by token, whoever listens.
async fn execute(shared: Data<Shared>, mut run: Run) {
    let (token, tokens, prefill) = {
        let state = lock(&shared.state);
        (state.settings.token, state.settings.tokens, state.settings.prefill)
    };
    tokio::time::sleep(run.late).await;
    if run.usage.cached == 0 && !prefill.is_zero() {
        tokio::time::sleep(prefill).await;
    }
    let mut number = 0;
    for piece in chat::pieces(&run.last, tokens) {
        if !token.is_zero() {
            tokio::time::sleep(token).await;
        }
        thaw(&shared).await;
        number += 1;
        run.usage.completion += 1;
        let event = chat::delta(number, &run.id, &run.model, &piece);
        let mut state = lock(&shared.state);
        let Some(stream) = state.streams.get_mut(&run.id).filter(|stream| !stream.cancelled) else {
            return;
        };
        stream.events.push(event);
        stream.text.push_str(&piece);
        let place = stream.place;
        state.recorder.get_mut(place).completion_tokens = run.usage.completion;
        drop(state);
        shared.wake();
    }
    finish(&shared, &run, number);
}

fn finish(shared: &Shared, run: &Run, number: usize) {
    let mut state = lock(&shared.state);
    let Some(stream) = state.streams.get_mut(&run.id).filter(|stream| !stream.cancelled) else {
        return;
    };
    stream.events.extend(chat::end(number + 1, &run.id, &run.model, run.usage));
    stream.ended_at = Some(Instant::now());
    let place = stream.place;
    state.recorder.end(place, true);
    state.cache.store(run.chat, run.usage.prompt + run.usage.completion);
    drop(state);
    shared.wake();
}

/// Waits for the end of a run and answers in one piece.
async fn whole(
    shared: &Shared,
    shown: &str,
    id: &SmolStr,
    model: &str,
    flaw: &Flaw,
) -> HttpResponse {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        {
            let state = lock(&shared.state);
            let Some(stream) = state.streams.get(id) else { return broken() };
            if stream.cancelled || (stream.ended_at.is_some() && flaw.cut.is_some()) {
                return broken();
            }
            if stream.ended_at.is_some() {
                let run = &state.recorder.log().runs[stream.place];
                let usage = Usage {
                    prompt: run.prompt_tokens,
                    cached: run.cached_tokens,
                    completion: run.completion_tokens,
                };
                let other = state.streams.get(shown).map(|stream| stream.text.as_str());
                let text = other.unwrap_or(&stream.text);
                let body = chat::body(shown, model, text, usage, !flaw.omit_end);
                return HttpResponse::Ok().insert_header((REQUEST_ID, shown)).json(body);
            }
        }
        if changed.changed().await.is_err() {
            return broken();
        }
    }
}

/// Where a reader of a stream is.
struct Reader {
    shared: Data<Shared>,
    id: SmolStr,
    next: usize,
    flaw: Flaw,
    broken: bool,
}

/// Passes a run's events on as they appear, from one on.
fn follow(
    shared: &Data<Shared>,
    shown: &str,
    id: SmolStr,
    next: usize,
    flaw: &Flaw,
) -> HttpResponse {
    let reader = Reader { shared: shared.clone(), id, next, flaw: flaw.clone(), broken: false };
    let events = stream::unfold(reader, |mut reader| async {
        let event = read(&mut reader).await?;
        Some((event, reader))
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID, shown))
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

async fn read(reader: &mut Reader) -> Option<io::Result<Bytes>> {
    let aborted = || Some(Err(io::ErrorKind::ConnectionAborted.into()));
    if reader.broken {
        return None;
    }
    let mut changed = reader.shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        thaw(&reader.shared).await;
        {
            let state = lock(&reader.shared.state);
            let stream = state.streams.get(&reader.id);
            let cut = reader.flaw.cut.is_some_and(|after| after <= reader.next);
            let Some(stream) = stream.filter(|stream| !stream.cancelled && !cut) else {
                reader.broken = true;
                return aborted();
            };
            let content = stream.events.len() - if stream.ended_at.is_some() { 3 } else { 0 };
            if reader.flaw.omit_end && stream.ended_at.is_some() && content <= reader.next {
                return None;
            }
            if let Some(event) = stream.events.get(reader.next) {
                reader.next += 1;
                return Some(Ok(event.clone()));
            }
            if stream.ended_at.is_some() {
                return None;
            }
        }
        if changed.changed().await.is_err() {
            return aborted();
        }
    }
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn resume(
    shared: Data<Shared>,
    id: Path<SmolStr>,
    Query(query): Query<After>,
) -> HttpResponse {
    thaw(&shared).await;
    let id = id.into_inner();
    {
        let mut state = lock(&shared.state);
        state.forget();
        if state.streams.get(&id).is_none_or(|stream| stream.cancelled) {
            return fail(&mut HttpResponse::NotFound(), "the stream is not retained");
        }
    }
    let next = usize::try_from(query.after).unwrap_or(usize::MAX);
    follow(&shared, &id.clone(), id, next, &Flaw::default())
}

async fn cancel(shared: Data<Shared>, id: Path<SmolStr>) -> HttpResponse {
    thaw(&shared).await;
    let mut state = lock(&shared.state);
    let Some(stream) = state.streams.get_mut(id.as_ref()) else {
        return fail(&mut HttpResponse::NotFound(), "the stream is not known");
    };
    if stream.ended_at.is_none() {
        stream.cancelled = true;
        stream.ended_at = Some(Instant::now());
        let place = stream.place;
        state.recorder.end(place, false);
    }
    drop(state);
    shared.wake();
    HttpResponse::NoContent().finish()
}

async fn load(shared: Data<Shared>) -> Json<LoadReport> {
    thaw(&shared).await;
    Json(lock(&shared.state).report())
}

async fn events(shared: Data<Shared>, Query(query): Query<After>) -> impl Responder {
    thaw(&shared).await;
    let state = lock(&shared.state);
    let settings = &state.settings;
    Json(state.cache.events(query.after, settings.event_lag, settings.event_gap))
}

async fn order(shared: Data<Shared>, Json(order): Json<Order>) -> impl Responder {
    thaw(&shared).await;
    Json(lock(&shared.state).order(order))
}

async fn runs(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().content_type(ContentType::json()).json(lock(&shared.state).recorder.log())
}

async fn orders(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&shared.state).received)
}

async fn leave(shared: Data<Shared>) -> HttpResponse {
    lock(&shared.state).recorder.leave();
    HttpResponse::NoContent().finish()
}

async fn set_fault(shared: Data<Shared>, Json(fault): Json<Fault<FaultKind>>) -> HttpResponse {
    shared.set_fault(fault);
    HttpResponse::NoContent().finish()
}

async fn clear_faults(shared: Data<Shared>) -> HttpResponse {
    lock(&shared.state).faults.clear();
    HttpResponse::NoContent().finish()
}
