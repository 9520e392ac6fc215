//! Outcomes of relayed requests: what a caller may be told after attempts without an
//! answer.

use std::net::SocketAddr;
use std::time::Duration;

use chicorygauge::jobs::codec::decode_with;
use chicorygauge::jobs::codec::encode_with;
use chicorygauge::jobs::record::MemberRecord;
use chicorygauge::jobs::terms::JobTerms;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::keep_alive::KeepAliveClient;
use chicorygauge::service::jobs::attempts::AttemptResult;
use chicorygauge::service::jobs::attempts::RelayOutcome;
use chicorygauge::service::jobs::attempts::RequestAttempts;
use chicorygauge::service::jobs::messages::MemberState;
use chicorygauge::service::jobs::messages::OwnerEvent;
use chicorygauge::service::jobs::messages::RelayExtension;
use chicorygauge::service::jobs::messages::RelayOperation;
use chicorygauge::service::jobs::messages::RelayReply;
use chicorygauge::service::jobs::messages::RelayRequest;
use chicorygauge::service::jobs::relay::RelayClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

const NAME: &str = "entry-0";

fn submission() -> RelayRequest {
    RelayRequest {
        job: "00000000000000aa".to_owned(),
        queue: "orders".to_owned(),
        pool: "orders".to_owned(),
        ask: RelayOperation::Submit(JobSpec::default()),
        version: 1,
        account: None,
        terms: None,
    }
}

/// Returns members whose owner is the named entry VM at this address.
fn members_with_owner(name: &str, address: SocketAddr, epoch: u64) -> MemberState {
    let record = MemberRecord {
        name: name.to_owned(),
        address: address.to_string(),
        epoch,
        ..MemberRecord::default()
    };
    MemberState {
        synced: true,
        owner: Some((record, 1)),
        ..MemberState::default()
    }
}

/// A relay client and the channels that it observes.
struct TestRelay {
    client: RelayClient,
    members: watch::Sender<MemberState>,
    inbox: watch::Sender<Option<mpsc::UnboundedSender<OwnerEvent>>>,
}

impl TestRelay {
    fn new(members: MemberState) -> Self {
        let (members, member_view) = watch::channel(members);
        let (inbox, inbox_view) = watch::channel(None);
        let client = RelayClient {
            name: NAME.to_owned(),
            members: member_view,
            inbox: inbox_view,
            client: KeepAliveClient::default(),
        };
        Self {
            client,
            members,
            inbox,
        }
    }
}

/// Removes the owner's key from the view, as a lease that has run out does.
fn remove_owner(members: &watch::Sender<MemberState>) {
    members.send_modify(|state| state.former_owner = state.owner.take().map(|(owner, _)| owner));
}

fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// The owner's key was gone at the deadline, so a submission that lay with the owner of the same
/// process was answered as not executed; it was stored and ran.
#[tokio::test]
async fn relay_key_gone_at_deadline_unknown() {
    let relay = TestRelay::new(members_with_owner(NAME, unused_address(), 1));
    let (sender, mut receiver) = mpsc::unbounded_channel();
    relay.inbox.send_replace(Some(sender));
    let deadline = Instant::now() + Duration::from_millis(300);
    let request = submission();
    let (outcome, event) = tokio::join!(relay.client.relay(&request, deadline), async {
        // Held until the end, since an owner that ends drops it and so answers.
        let event = receiver.recv().await;
        remove_owner(&relay.members);
        event
    });
    assert!(matches!(event, Some(OwnerEvent::Relay(..))));
    assert_eq!(outcome, RelayOutcome::Unknown);
}

/// Without an owner nothing is handed over, so that the caller is told so and may go elsewhere.
#[tokio::test]
async fn relay_no_owner_not_reached() {
    let relay = TestRelay::new(MemberState::default());
    let deadline = Instant::now() + Duration::from_millis(100);
    let outcome = relay.client.relay(&submission(), deadline).await;
    assert_eq!(outcome, RelayOutcome::NotReached);
}

/// Ends one attempt with this result; `handed_over` is whether an owner may have received it.
fn end_attempt(attempts: &mut RequestAttempts, handed_over: bool, result: AttemptResult) {
    attempts.begin();
    if handed_over {
        attempts.hand_over();
    }
    assert_eq!(attempts.end(result), None);
}

/// An attempt that was handed over counts even if it has no result or the later ones were not.
#[test]
fn attempts_outcome_by_hand_over() {
    let not_owner = AttemptResult::Answered(RelayReply::NotOwner);
    let mut attempts = RequestAttempts::default();
    end_attempt(&mut attempts, false, AttemptResult::NotSent);
    end_attempt(&mut attempts, true, AttemptResult::NotSent);
    end_attempt(&mut attempts, true, not_owner);
    attempts.begin();
    assert_eq!(attempts.abandon(), RelayOutcome::NotReached);
    let mut cut_short = attempts;
    cut_short.hand_over();
    assert_eq!(cut_short.abandon(), RelayOutcome::Unknown);
    for unresolved in [
        AttemptResult::Unknown,
        AttemptResult::Answered(RelayReply::Lost),
    ] {
        let mut attempts = attempts;
        end_attempt(&mut attempts, true, unresolved);
        end_attempt(&mut attempts, true, not_owner);
        end_attempt(&mut attempts, false, AttemptResult::NotSent);
        assert_eq!(attempts.abandon(), RelayOutcome::Unknown);
    }
}

/// Plays an owner that answers its second connection only; the first request stays unread.
async fn answer_second_connection(listener: TcpListener, reply: RelayReply) {
    let first = listener.accept().await.expect("a connection");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = [0; 4096];
    let size = stream.read(&mut buffer).await.expect("a request");
    assert!(size > 0, "the client closed the connection");
    let body = rmp_serde::to_vec(&reply).expect("encode the reply");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.expect("send");
    stream.write_all(&body).await.expect("send");
    drop(first);
}

/// An owner that had not read the first message refused the second one, and the caller was told
/// that its job never runs; the first message was still in the owner's socket.
#[tokio::test]
async fn relay_refused_after_unanswered_attempt_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("an address");
    let relay = TestRelay::new(members_with_owner("entry-1", address, 1));
    let refused = RelayReply::Refused { retry_ms: 1000 };
    let owner = tokio::spawn(answer_second_connection(listener, refused));
    let deadline = Instant::now() + Duration::from_secs(10);
    let outcome = relay.client.relay(&submission(), deadline).await;
    assert_eq!(outcome, RelayOutcome::Unknown);
    owner.await.expect("the owner");
}

/// A rejection speaks for its own attempt only, an acceptance for all.
#[test]
fn attempts_rejected_after_unresolved_unknown() {
    let rejections = [
        RelayReply::Refused { retry_ms: 0 },
        RelayReply::Invalid,
        RelayReply::NoQueue,
        RelayReply::Conflict,
    ];
    for reply in rejections {
        let result = AttemptResult::Answered(reply);
        let mut attempts = RequestAttempts::default();
        end_attempt(&mut attempts, true, AttemptResult::NotSent);
        assert_eq!(
            { attempts }.end(result),
            Some(RelayOutcome::Answered(reply))
        );
        end_attempt(&mut attempts, true, AttemptResult::Unknown);
        assert_eq!(
            attempts.end(result),
            Some(RelayOutcome::Unknown),
            "{reply:?}"
        );
    }
    for reply in [
        RelayReply::Accepted,
        RelayReply::Cancelled,
        RelayReply::Unknown,
    ] {
        let mut attempts = RequestAttempts::default();
        end_attempt(&mut attempts, true, AttemptResult::Unknown);
        let outcome = attempts.end(AttemptResult::Answered(reply));
        assert_eq!(outcome, Some(RelayOutcome::Answered(reply)));
    }
}

/// The terms of a submission follow what entry VMs of the version before read, and theirs has none.
#[test]
fn relay_with_terms_read_by_both_versions() {
    let terms = JobTerms {
        version: 3,
        attempts: 4,
        ..JobTerms::default()
    };
    for account in [None, Some("one".to_owned())] {
        let request = RelayRequest {
            account: account.clone(),
            terms: Some(terms),
            ..submission()
        };
        let bytes = request.encode().expect("a request");
        let read = RelayRequest::decode(&bytes).expect("a request");
        assert_eq!((read.terms, &read.account), (Some(terms), &account));
        let (_, extension): (RelayRequest, Option<RelayExtension>) =
            decode_with("relay", &bytes).expect("a request");
        assert_eq!(extension.and_then(|extension| extension.account), account);
        let earlier = RelayExtension { account };
        let bytes = encode_with(&submission(), &earlier).expect("a request");
        assert_eq!(RelayRequest::decode(&bytes).expect("a request").terms, None);
    }
}
