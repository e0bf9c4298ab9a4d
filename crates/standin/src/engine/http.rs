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
use crate::serve::{aborted_response, lock};

/// Interval at which a frozen engine checks whether the freeze has been cleared.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Request id that a [`FaultKind::Crossed`] answer echoes if there was no earlier run.
const UNKNOWN_RUN_ID: &str = "0000000000000000.1";

pub(super) fn routes(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/v1/chat/completions", web::post().to(complete_chat))
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
async fn wait_until_unfrozen(shared: &Shared) {
    let frozen = || lock(&shared.state).faults.find(|kind| *kind == FaultKind::Freeze).is_some();
    while frozen() {
        tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
    }
}

/// The faults that affect one answer.
#[derive(Clone, Default)]
struct AnswerFault {
    cut: Option<usize>,
    omit_end: bool,
}

/// A run whose answer is to be generated.
struct Run {
    id: SmolStr,
    model: SmolStr,
    last_message: String,
    chat: ChatKey,
    usage: Usage,
    delay: Duration,
}

async fn complete_chat(shared: Data<Shared>, head: HttpRequest, body: Bytes) -> HttpResponse {
    wait_until_unfrozen(&shared).await;
    let Ok(request) = serde_json::from_slice::<Request>(&body) else {
        return fail(&mut HttpResponse::BadRequest(), "the body is not a chat request");
    };
    if let Some(refusal) = check_refusal(&shared, &request) {
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
        state.faults.find(crash).is_some()
    };
    let (run, fault, crossed) = start_run(&shared, &request, header(REQUEST_ID), header(CHAT_KEY));
    if crashes {
        shared.crash();
        return std::future::pending().await;
    }
    let id = run.id.clone();
    let model = run.model.clone();
    actix_web::rt::spawn(generate(shared.clone(), run));
    let echoed_id = crossed.unwrap_or_else(|| id.clone());
    if request.stream {
        let known = lock(&shared.state).streams.contains_key(&echoed_id);
        let source = if known { echoed_id.clone() } else { id };
        return stream_response(&shared, &echoed_id, source, 0, &fault);
    }
    complete_response(&shared, &echoed_id, &id, &model, &fault).await
}

fn fail(response: &mut HttpResponseBuilder, text: &str) -> HttpResponse {
    response.json(json!({ "error": { "message": text } }))
}

fn check_refusal(shared: &Shared, request: &Request) -> Option<HttpResponse> {
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

/// Records a run in the log and the cache, and takes the faults that affect it. Returns the run, the
/// faults of its answer, and the id to echo instead of its own, if any.
fn start_run(
    shared: &Shared,
    request: &Request,
    id: Option<&str>,
    chat: Option<&str>,
) -> (Run, AnswerFault, Option<SmolStr>) {
    let mut state = lock(&shared.state);
    state.drop_expired_streams();
    let previous_id = state.recorder.log().runs.last().map(|run| run.id.clone());
    let number = state.recorder.log().runs.len();
    let id = id.map_or_else(|| format_smolstr!("unnamed-{number}"), SmolStr::new);
    let chat = request.chat(chat);
    let index = state.recorder.start(&id, Some(chat), None);
    let prompt = request.prompt_tokens();
    let cached = state.cache.tokens(chat).min(prompt);
    state.cache.insert(chat, prompt);
    let run = state.recorder.run_mut(index);
    run.prompt_tokens = prompt;
    run.cached_tokens = cached;
    state.streams.insert(id.clone(), Stream::new(index));
    let delay = match state.faults.take(|kind| matches!(kind, FaultKind::Late { .. })) {
        Some(FaultKind::Late { delay_ms }) => Duration::from_millis(delay_ms),
        _ => Duration::ZERO,
    };
    let cut = match state.faults.take(|kind| matches!(kind, FaultKind::Cut { .. })) {
        Some(FaultKind::Cut { after }) => Some(after),
        _ => None,
    };
    let omit_end = state.faults.take(|kind| *kind == FaultKind::OmitEnd).is_some();
    let crossed = state.faults.take(|kind| *kind == FaultKind::Crossed);
    let crossed = crossed.map(|_| previous_id.unwrap_or_else(|| UNKNOWN_RUN_ID.into()));
    let usage = Usage { prompt, cached, completion: 0 };
    let last_message = request.last_message();
    let run = Run { id, model: request.model.clone(), last_message, chat, usage, delay };
    (run, AnswerFault { cut, omit_end }, crossed)
}

/// Generates the answer token by token, whether or not a connection reads it.
async fn generate(shared: Data<Shared>, mut run: Run) {
    let (token_time, min_tokens, prefill_time) = {
        let state = lock(&shared.state);
        (state.settings.token_time, state.settings.min_tokens, state.settings.prefill_time)
    };
    tokio::time::sleep(run.delay).await;
    if run.usage.cached == 0 && !prefill_time.is_zero() {
        tokio::time::sleep(prefill_time).await;
    }
    let mut number = 0;
    for token in chat::tokens(&run.last_message, min_tokens) {
        if !token_time.is_zero() {
            tokio::time::sleep(token_time).await;
        }
        wait_until_unfrozen(&shared).await;
        number += 1;
        run.usage.completion += 1;
        let event = chat::token_event(number, &run.id, &run.model, &token);
        let mut state = lock(&shared.state);
        let Some(stream) = state.streams.get_mut(&run.id).filter(|stream| !stream.cancelled) else {
            return;
        };
        stream.events.push(event);
        stream.text.push_str(&token);
        let index = stream.index;
        state.recorder.run_mut(index).completion_tokens = run.usage.completion;
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
    stream.events.extend(chat::end_events(number + 1, &run.id, &run.model, run.usage));
    stream.ended_at = Some(Instant::now());
    let index = stream.index;
    state.recorder.end(index, true);
    state.cache.insert(run.chat, run.usage.prompt + run.usage.completion);
    drop(state);
    shared.wake();
}

/// Waits for the end of a run and returns its complete response.
async fn complete_response(
    shared: &Shared,
    echoed_id: &str,
    id: &SmolStr,
    model: &str,
    fault: &AnswerFault,
) -> HttpResponse {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        {
            let state = lock(&shared.state);
            let Some(stream) = state.streams.get(id) else { return aborted_response() };
            if stream.cancelled || (stream.ended_at.is_some() && fault.cut.is_some()) {
                return aborted_response();
            }
            if stream.ended_at.is_some() {
                let run = &state.recorder.log().runs[stream.index];
                let usage = Usage {
                    prompt: run.prompt_tokens,
                    cached: run.cached_tokens,
                    completion: run.completion_tokens,
                };
                let other = state.streams.get(echoed_id).map(|stream| stream.text.as_str());
                let text = other.unwrap_or(&stream.text);
                let body = chat::response_body(echoed_id, model, text, usage, !fault.omit_end);
                return HttpResponse::Ok().insert_header((REQUEST_ID, echoed_id)).json(body);
            }
        }
        if changed.changed().await.is_err() {
            return aborted_response();
        }
    }
}

/// The position of a connection in a stream.
struct StreamReader {
    shared: Data<Shared>,
    id: SmolStr,
    next: usize,
    fault: AnswerFault,
    aborted: bool,
}

/// Streams a run's events as they are generated, starting with index `next`.
fn stream_response(
    shared: &Data<Shared>,
    echoed_id: &str,
    id: SmolStr,
    next: usize,
    fault: &AnswerFault,
) -> HttpResponse {
    let reader =
        StreamReader { shared: shared.clone(), id, next, fault: fault.clone(), aborted: false };
    let events = stream::unfold(reader, |mut reader| async {
        let event = next_event(&mut reader).await?;
        Some((event, reader))
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID, echoed_id))
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

async fn next_event(reader: &mut StreamReader) -> Option<io::Result<Bytes>> {
    let aborted = || Some(Err(io::ErrorKind::ConnectionAborted.into()));
    if reader.aborted {
        return None;
    }
    let mut changed = reader.shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        wait_until_unfrozen(&reader.shared).await;
        {
            let state = lock(&reader.shared.state);
            let stream = state.streams.get(&reader.id);
            let cut = reader.fault.cut.is_some_and(|after| after <= reader.next);
            let Some(stream) = stream.filter(|stream| !stream.cancelled && !cut) else {
                reader.aborted = true;
                return aborted();
            };
            let content = stream.events.len() - if stream.ended_at.is_some() { 3 } else { 0 };
            if reader.fault.omit_end && stream.ended_at.is_some() && content <= reader.next {
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
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

async fn resume(
    shared: Data<Shared>,
    id: Path<SmolStr>,
    Query(query): Query<AfterQuery>,
) -> HttpResponse {
    wait_until_unfrozen(&shared).await;
    let id = id.into_inner();
    {
        let mut state = lock(&shared.state);
        state.drop_expired_streams();
        if state.streams.get(&id).is_none_or(|stream| stream.cancelled) {
            return fail(&mut HttpResponse::NotFound(), "the stream is not retained");
        }
    }
    let next = usize::try_from(query.after).unwrap_or(usize::MAX);
    stream_response(&shared, &id.clone(), id, next, &AnswerFault::default())
}

async fn cancel(shared: Data<Shared>, id: Path<SmolStr>) -> HttpResponse {
    wait_until_unfrozen(&shared).await;
    let mut state = lock(&shared.state);
    let Some(stream) = state.streams.get_mut(id.as_ref()) else {
        return fail(&mut HttpResponse::NotFound(), "the stream is not known");
    };
    if stream.ended_at.is_none() {
        stream.cancelled = true;
        stream.ended_at = Some(Instant::now());
        let index = stream.index;
        state.recorder.end(index, false);
    }
    drop(state);
    shared.wake();
    HttpResponse::NoContent().finish()
}

async fn load(shared: Data<Shared>) -> Json<LoadReport> {
    wait_until_unfrozen(&shared).await;
    Json(lock(&shared.state).report())
}

async fn events(shared: Data<Shared>, Query(query): Query<AfterQuery>) -> impl Responder {
    wait_until_unfrozen(&shared).await;
    let state = lock(&shared.state);
    let settings = &state.settings;
    Json(state.cache.events(query.after, settings.event_delay, settings.event_gap))
}

async fn order(shared: Data<Shared>, Json(order): Json<Order>) -> impl Responder {
    wait_until_unfrozen(&shared).await;
    Json(lock(&shared.state).order(order))
}

async fn runs(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().content_type(ContentType::json()).json(lock(&shared.state).recorder.log())
}

async fn orders(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&shared.state).received_orders)
}

async fn leave(shared: Data<Shared>) -> HttpResponse {
    lock(&shared.state).recorder.start_leaving();
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
