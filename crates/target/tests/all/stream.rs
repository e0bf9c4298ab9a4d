//! Answers checked while they are read.

use briarshift_target::stream::{CompleteResponse, Event, MAX_EVENT, Reader, Tokens};
use briarshift_target::{Attempt, Failure, Response};
use briarshift_units::RequestId;
use futures::stream::{self, StreamExt};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert_eq, prop_oneof, proptest};

const ID: Attempt = Attempt { request: RequestId(7), number: 2 };

fn head(content_type: &str, echo: &str, length: Option<u64>) -> Response {
    Response {
        status: 200,
        content_type: Some(content_type.into()),
        echoed_id: Some(echo.into()),
        length,
        retry_after: None,
        body: stream::empty().boxed_local(),
    }
}

fn events_head() -> Response {
    head("text/event-stream", &ID.to_string(), None)
}

type Read = Result<(Vec<Event>, CompleteResponse), Failure>;

fn read(head: &Response, pieces: &[&[u8]]) -> Read {
    let mut reader = Reader::new(ID, head)?;
    let mut events = Vec::new();
    for piece in pieces {
        events.extend(reader.push(piece)?);
    }
    Ok((events, reader.finish()?))
}

/// Cuts the bytes at the given places, taken modulo the length.
fn cut(bytes: &[u8], places: &[usize]) -> Vec<Vec<u8>> {
    let mut places: Vec<_> = places.iter().map(|place| place % (bytes.len() + 1)).collect();
    places.sort_unstable();
    let mut pieces = Vec::new();
    let mut from = 0;
    for place in places {
        pieces.push(bytes[from..place].to_vec());
        from = place;
    }
    pieces.push(bytes[from..].to_vec());
    pieces
}

fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => "data: [a-z{}\"]{0,12}",
        2 => (1..40_u64).prop_map(|id| format!("id: {id}")),
        1 => Just("data: [DONE]".to_owned()),
        1 => Just(r#"data: {"usage":{"prompt_tokens":3,"completion_tokens":2}}"#.to_owned()),
        1 => "[:a-z]{0,6}",
        3 => Just(String::new()),
    ]
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    let end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let lines = prop::collection::vec((line(), end), 0..30);
    lines.prop_map(|lines| {
        lines.into_iter().flat_map(|(line, end)| format!("{line}{end}").into_bytes()).collect()
    })
}

proptest! {
    #[test]
    fn any_chunking_gives_the_same_events(
        body in prop_oneof![4 => body(), 1 => prop::collection::vec(any::<u8>(), 0..200)],
        places in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let pieces = cut(&body, &places);
        let pieces: Vec<_> = pieces.iter().map(Vec::as_slice).collect();
        for head in [events_head(), head("application/json", &ID.to_string(), None)] {
            prop_assert_eq!(read(&head, &pieces), read(&head, &[&body]));
        }
    }

    #[test]
    fn a_stream_cut_anywhere_is_not_whole_and_resumes(
        count in 1..8_u64,
        place in any::<usize>(),
    ) {
        let text = |ids: std::ops::RangeInclusive<u64>| {
            let events: String = ids.map(|id| format!("id: {id}\ndata: {{\"n\":{id}}}\n\n")).collect();
            format!("{events}id: {}\ndata: [DONE]\n\n", count + 1)
        };
        let whole = text(1..=count);
        // One byte less is still a cut inside the last event.
        let cut = place % whole.len();
        let broken = read(&events_head(), &[&whole.as_bytes()[..cut]]);
        prop_assert_eq!(broken.unwrap_err(), Failure::Broken("the stream has no end marker".into()));
        let mut reader = Reader::new(ID, &events_head()).unwrap();
        let mut events = reader.push(&whole.as_bytes()[..cut]).unwrap();
        reader.resume_with(&events_head()).unwrap();
        // The engine goes one event too far back: that one is not repeated.
        let again = text(reader.last_id().max(1)..=count);
        events.extend(reader.push(again.as_bytes()).unwrap());
        let bytes: Vec<_> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(String::from_utf8(bytes).unwrap(), whole);
        reader.finish().unwrap();
    }
}

#[test]
fn another_requests_answer_is_dropped() {
    let check = |echo: Option<&str>, same: bool| {
        let mut answer = events_head();
        answer.echoed_id = echo.map(Into::into);
        let crossed = Failure::Crossed(echo.unwrap_or_default().into());
        let got = Reader::new(ID, &answer).map(drop);
        assert_eq!(got, if same { Ok(()) } else { Err(crossed.clone()) });
        let mut reader = Reader::new(ID, &events_head()).unwrap();
        assert_eq!(reader.resume_with(&answer), if same { Ok(()) } else { Err(crossed) });
    };
    check(Some("0000000000000007.2"), true);
    check(Some("0000000000000007.1"), false);
    check(Some("0000000000000008.2"), false);
    check(Some(""), false);
    check(None, false);
}

#[test]
fn bodies_are_whole_with_their_length_or_as_complete_json() {
    let check = |kind: &str, length: Option<u64>, body: &str, whole: bool| {
        let got = read(&head(kind, &ID.to_string(), length), &[body.as_bytes()]);
        assert_eq!(got.is_ok(), whole, "{kind} {length:?} {body}");
    };
    check("application/json", None, "{\"a\":1}", true);
    check("application/json", None, "{\"a\":1", false);
    check("application/json", Some(7), "{\"a\":1}", true);
    check("application/json", Some(9), "{\"a\":1}", false);
    check("application/json", None, "12", false);
    check("text/plain", None, "ok", false);
    check("text/plain", Some(2), "ok", true);
    check("text/plain", Some(3), "ok", false);
}

#[test]
fn tokens_are_read_from_the_last_chunk_or_the_body() {
    let usage = r#"{"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":5}}}"#;
    let tokens = Tokens { prompt: 9, cached: 5, completion: 4 };
    let stream = format!("data: {{\"usage\":null}}\n\ndata: {usage}\n\ndata: [DONE]\n\n");
    assert_eq!(read(&events_head(), &[stream.as_bytes()]).unwrap().1.tokens, tokens);
    let json = head("application/json", &ID.to_string(), None);
    assert_eq!(read(&json, &[usage.as_bytes()]).unwrap().1.tokens, tokens);
}

#[test]
fn memory_is_bounded_and_the_end_is_the_end() {
    let check = |body: &[u8]| {
        let got = Reader::new(ID, &events_head()).unwrap().push(body);
        assert!(matches!(got, Err(Failure::Protocol(_))), "{got:?}");
    };
    check(&vec![b'a'; MAX_EVENT + 1]);
    check(&b"data: a\n".repeat(MAX_EVENT / 8 + 1));
    check(b"data: [DONE]\n\ndata: more\n\n");
    check(b"id: x\n");
}

#[test]
fn only_answers_that_promise_it_count_as_not_run() {
    let check = |status: u16, retry_after: Option<&str>, refusal: bool| {
        let mut answer = events_head();
        answer.status = status;
        answer.retry_after = retry_after.map(Into::into);
        assert_eq!(answer.is_refusal(), refusal, "{status}");
    };
    check(429, None, true);
    check(503, Some("1"), true);
    check(503, None, false);
    check(500, Some("1"), false);
    check(200, None, false);
}
