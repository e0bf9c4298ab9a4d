//! Tests of the incremental validation of responses.

use briarshift_target::stream::{CompleteResponse, Event, MAX_EVENT, Reader, Tokens};
use briarshift_target::{Attempt, Failure, Response};
use briarshift_units::RequestId;
use futures::stream::{self, StreamExt};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert_eq, prop_oneof, proptest};

const ID: Attempt = Attempt { request: RequestId(7), number: 2 };

fn head(content_type: &str, echoed_id: &str, length: Option<u64>) -> Response {
    Response {
        status: 200,
        content_type: Some(content_type.into()),
        echoed_id: Some(echoed_id.into()),
        length,
        retry_after: None,
        body: stream::empty().boxed_local(),
    }
}

fn stream_head() -> Response {
    head("text/event-stream", &ID.to_string(), None)
}

type ReadResult = Result<(Vec<Event>, CompleteResponse), Failure>;

fn read(head: &Response, chunks: &[&[u8]]) -> ReadResult {
    let mut reader = Reader::new(ID, head)?;
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(reader.push(chunk)?);
    }
    Ok((events, reader.finish()?))
}

/// Splits the bytes at the given offsets, taken modulo the length.
fn split(bytes: &[u8], offsets: &[usize]) -> Vec<Vec<u8>> {
    let mut offsets: Vec<_> = offsets.iter().map(|offset| offset % (bytes.len() + 1)).collect();
    offsets.sort_unstable();
    let mut chunks = Vec::new();
    let mut from = 0;
    for offset in offsets {
        chunks.push(bytes[from..offset].to_vec());
        from = offset;
    }
    chunks.push(bytes[from..].to_vec());
    chunks
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
    fn events_do_not_depend_on_chunk_boundaries(
        body in prop_oneof![4 => body(), 1 => prop::collection::vec(any::<u8>(), 0..200)],
        offsets in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let chunks = split(&body, &offsets);
        let chunks: Vec<_> = chunks.iter().map(Vec::as_slice).collect();
        for head in [stream_head(), head("application/json", &ID.to_string(), None)] {
            prop_assert_eq!(read(&head, &chunks), read(&head, &[&body]));
        }
    }

    #[test]
    fn truncated_streams_are_incomplete_and_can_be_resumed(
        count in 1..8_u64,
        offset in any::<usize>(),
    ) {
        let text = |ids: std::ops::RangeInclusive<u64>| {
            let events: String = ids.map(|id| format!("id: {id}\ndata: {{\"n\":{id}}}\n\n")).collect();
            format!("{events}id: {}\ndata: [DONE]\n\n", count + 1)
        };
        let complete = text(1..=count);
        // At least the last byte is missing, so the last event is incomplete.
        let end = offset % complete.len();
        let broken = read(&stream_head(), &[&complete.as_bytes()[..end]]);
        prop_assert_eq!(broken.unwrap_err(), Failure::Broken("the stream has no end marker".into()));
        let mut reader = Reader::new(ID, &stream_head()).unwrap();
        let mut events = reader.push(&complete.as_bytes()[..end]).unwrap();
        reader.resume_with(&stream_head()).unwrap();
        // The engine repeats the last complete event, which must not be
        // returned twice.
        let resumed = text(reader.last_id().max(1)..=count);
        events.extend(reader.push(resumed.as_bytes()).unwrap());
        let bytes: Vec<_> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(String::from_utf8(bytes).unwrap(), complete);
        reader.finish().unwrap();
    }
}

#[test]
fn responses_to_other_requests_are_rejected() {
    let check = |echoed_id: Option<&str>, same: bool| {
        let mut response = stream_head();
        response.echoed_id = echoed_id.map(Into::into);
        let crossed = Failure::Crossed(echoed_id.unwrap_or_default().into());
        let result = Reader::new(ID, &response).map(drop);
        assert_eq!(result, if same { Ok(()) } else { Err(crossed.clone()) });
        let mut reader = Reader::new(ID, &stream_head()).unwrap();
        assert_eq!(reader.resume_with(&response), if same { Ok(()) } else { Err(crossed) });
    };
    check(Some("0000000000000007.2"), true);
    check(Some("0000000000000007.1"), false);
    check(Some("0000000000000008.2"), false);
    check(Some(""), false);
    check(None, false);
}

#[test]
fn bodies_are_complete_with_their_length_or_as_complete_json() {
    let check = |content_type: &str, length: Option<u64>, body: &str, complete: bool| {
        let result = read(&head(content_type, &ID.to_string(), length), &[body.as_bytes()]);
        assert_eq!(result.is_ok(), complete, "{content_type} {length:?} {body}");
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
fn token_usage_is_read_from_the_last_chunk_or_the_body() {
    let usage = r#"{"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":5}}}"#;
    let tokens = Tokens { prompt: 9, cached: 5, completion: 4 };
    let stream = format!("data: {{\"usage\":null}}\n\ndata: {usage}\n\ndata: [DONE]\n\n");
    assert_eq!(read(&stream_head(), &[stream.as_bytes()]).unwrap().1.tokens, tokens);
    let json = head("application/json", &ID.to_string(), None);
    assert_eq!(read(&json, &[usage.as_bytes()]).unwrap().1.tokens, tokens);
}

#[test]
fn oversized_events_and_protocol_violations_are_rejected() {
    let check = |body: &[u8]| {
        let result = Reader::new(ID, &stream_head()).unwrap().push(body);
        assert!(matches!(result, Err(Failure::Protocol(_))), "{result:?}");
    };
    check(&vec![b'a'; MAX_EVENT + 1]);
    check(&b"data: a\n".repeat(MAX_EVENT / 8 + 1));
    check(b"data: [DONE]\n\ndata: more\n\n");
    check(b"id: x\n");
}

#[test]
fn refusals_are_recognized_by_status_and_retry_after() {
    let check = |status: u16, retry_after: Option<&str>, refusal: bool| {
        let mut response = stream_head();
        response.status = status;
        response.retry_after = retry_after.map(Into::into);
        assert_eq!(response.is_refusal(), refusal, "{status}");
    };
    check(429, None, true);
    check(503, Some("1"), true);
    check(503, None, false);
    check(500, Some("1"), false);
    check(200, None, false);
}
