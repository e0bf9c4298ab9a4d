//! The document reducer of one VM, with the messages of its peers and the
//! replies of the store given by the test.

use std::net::{Ipv4Addr, SocketAddr};

use briarshift_control::document::{Peers, State};
use briarshift_control::{Context, Effect, Identity, Output, Ticket};
use briarshift_environment::Report;
use briarshift_settings::Document;
use briarshift_store::{Entry, Key, Operation, Reply, Version};
use briarshift_units::{DataCentre, Moment, Revision, Span, StartNumber, VmId, WallTime};
use briarshift_wire::document::{Head, Message};

const A: &str = "a";
const B: &str = "b";

/// Two peers that are alive, `A` and `B`.
struct TwoPeers([VmId; 2]);

impl Peers for TwoPeers {
    fn alive_in(&self, _: &DataCentre) -> Vec<&VmId> {
        self.0.iter().collect()
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.0.contains(vm).then(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))
    }
}

/// A reducer with its clock.
struct Vm {
    state: State,
    me: Identity,
    peers: TwoPeers,
    at: Moment,
}

impl Vm {
    fn new() -> Self {
        let me = Identity {
            vm: id("me"),
            start: StartNumber(1),
            data_centre: "aarau".parse().expect("an id"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
            environment: "trial".into(),
            token_key: [0; 32],
        };
        Self { state: State::default(), me, peers: TwoPeers([id(A), id(B)]), at: Moment(1_000_000) }
    }

    fn with(
        &mut self,
        apply: impl FnOnce(&mut State, &Context<'_>, &TwoPeers, &mut Output),
    ) -> Vec<Effect> {
        let ctx = Context { at: self.at, wall: WallTime(0), entropy: 0, me: &self.me };
        let mut out = Output::default();
        apply(&mut self.state, &ctx, &self.peers, &mut out);
        out.effects
    }

    fn head(&mut self, from: &str, head: Head) -> Vec<(VmId, Message)> {
        let from = id(from);
        sent(self.with(|state, ctx, peers, out| {
            state.handle_head(ctx, peers, &from, Some(head), out);
        }))
    }

    fn message(&mut self, from: &str, message: Message) -> Vec<(VmId, Message)> {
        let from = id(from);
        sent(self.with(|state, ctx, peers, out| {
            state.handle_message(ctx, peers, &from, message, out);
        }))
    }

    fn read(&mut self, revision: Revision, bytes: &str) -> Vec<Effect> {
        let entry =
            Entry { key: Key::from("k"), value: bytes.to_owned(), version: Version(revision.0) };
        let result = Ok(Reply::Value(Some(entry)));
        self.with(|state, ctx, _, out| state.handle_store_reply(ctx, result, out))
    }

    fn tick(&mut self, after: Span) -> Vec<Effect> {
        self.at = self.at + after;
        self.with(|state, ctx, peers, out| state.tick(ctx, peers, out))
    }
}

fn id(name: &str) -> VmId {
    name.parse().expect("an id")
}

fn sent(effects: Vec<Effect>) -> Vec<(VmId, Message)> {
    let message = |effect| match effect {
        Effect::Send { to, message: briarshift_wire::Message::Document(message), .. } => {
            Some((to, message))
        }
        _ => None,
    };
    effects.into_iter().filter_map(message).collect()
}

fn document(comment: &str) -> String {
    let document = Document::builder().comment(comment).build();
    serde_json::to_string(&document).expect("documents are JSON")
}

fn head(revision: u64, bytes: &str) -> Head {
    Head { revision: Revision(revision), digest: Document::digest(bytes.as_bytes()) }
}

/// Has `to` pull the document of `from`, and checks the number of answers.
#[track_caller]
fn check_pull(from: &mut Vm, to: &mut Vm, expected: usize) {
    let head = from.state.current_head().expect("a document");
    let mut requests = to.head(A, head);
    let mut messages = 0;
    while let Some((vm, request)) = requests.pop() {
        assert_eq!(vm, id(A));
        let (_, answer) = from.message(B, request).pop().expect("an answer");
        messages += 1;
        requests = to.message(A, answer);
    }
    assert_eq!(to.state.current_head(), Some(head));
    assert_eq!(messages, expected);
}

#[test]
fn a_short_document_is_sent_whole_and_a_long_one_in_pieces() {
    for (length, messages) in [(10, 1), (100_000, 7)] {
        let (mut from, mut to) = (Vm::new(), Vm::new());
        from.read(Revision(1), &document(&"x".repeat(length)));
        check_pull(&mut from, &mut to, messages);
    }
}

#[test]
fn a_change_of_a_long_document_is_sent_as_deltas() {
    let (mut from, mut to) = (Vm::new(), Vm::new());
    let old = document(&"x".repeat(100_000));
    from.read(Revision(1), &old);
    to.read(Revision(1), &old);
    for n in 2..5 {
        from.read(Revision(n), &document(&format!("{}{n}", "x".repeat(100_000))));
    }
    check_pull(&mut from, &mut to, 1);
}

#[test]
fn the_whole_document_is_pulled_if_the_deltas_do_not_fit() {
    let (mut from, mut to) = (Vm::new(), Vm::new());
    from.read(Revision(1), &document("one"));
    to.read(Revision(1), &document("another one"));
    from.read(Revision(2), &document("two"));
    check_pull(&mut from, &mut to, 2);
}

#[test]
fn bytes_that_do_not_match_the_digest_are_refused() {
    let mut vm = Vm::new();
    let announced = head(2, &document("named"));
    vm.head(A, announced);
    vm.message(A, Message::Full { head: announced, bytes: document("sent").into_bytes() });
    assert_eq!(vm.state.revision(), Revision(0));
}

#[test]
fn an_older_document_replaces_nothing() {
    let mut vm = Vm::new();
    vm.read(Revision(5), &document("new"));
    vm.read(Revision(4), &document("old"));
    assert_eq!(vm.head(A, head(4, &document("old"))), []);
    assert_eq!(vm.state.revision(), Revision(5));
}

#[test]
fn an_invalid_document_is_logged_with_all_faults() {
    let mut vm = Vm::new();
    let effects = vm.read(Revision(1), "{ \"owners\": [1], \"pools\": [], \"models\": [] }");
    let line = |effect: &Effect| match effect {
        Effect::Log(record) => Some(record.to_string()),
        _ => None,
    };
    let lines: Vec<_> = effects.iter().filter_map(line).collect();
    assert_eq!(lines.len(), 3, "{lines:#?}");
    assert!(lines[0].contains("faults=2") && lines[2].contains("path=$.owners[0]"), "{lines:#?}");
}

#[test]
fn a_pull_resumes_from_another_peer_where_it_stopped() {
    let (mut from, mut to) = (Vm::new(), Vm::new());
    from.read(Revision(1), &document(&"x".repeat(40_000)));
    let head = from.state.current_head().expect("a document");
    let (_, request) = to.head(A, head).pop().expect("a request");
    let (_, piece) = from.message(A, request).pop().expect("a piece");
    to.message(A, piece);
    assert_eq!(to.head(B, head), [], "one peer at a time");
    let requests = sent(to.tick(Span::from_secs(1)));
    assert_eq!(
        requests,
        [(id(B), Message::RequestPiece { digest: head.digest, offset: 16 << 10 })]
    );
}

#[test]
fn a_delegate_counts_the_vms_that_announced_its_digest() {
    let mut vm = Vm::new();
    let bytes = document("x");
    // The revision selects the delegate. Some of these revisions select this
    // VM.
    for n in 1..20 {
        vm.read(Revision(n), &bytes);
        vm.head(A, head(n, &bytes));
        let effects = vm.tick(Span::from_secs(5));
        let report = effects.iter().find_map(|effect| match effect {
            Effect::Store { ticket: Ticket::Report, operation: Operation::Put { value, .. } } => {
                serde_json::from_str::<Report>(value).ok()
            }
            _ => None,
        });
        let Some(report) = report else { continue };
        assert_eq!((report.live, report.in_force), (3, 2));
        assert!(!report.is_in_force_everywhere(head(n, &bytes).digest));
        return;
    }
    panic!("this VM was never the delegate");
}
