//! Tests that a stream is taken up after the very event that its caller received, however long the ids of its
//! events are.

mod support;

use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{BodyFraming, Spawner, sleep_ms};
use comfreymast_proof::Link;
use hyper::StatusCode;
use support::{Gateway, TestEnv, generation, run_test};

/// Ids of the events of one stream, each set beyond what a common type of numbers holds exactly.
const ID_SETS: [[&str; 5]; 4] = [
    ["1", "2", "3", "4", "5"],
    // Beyond the 53 bits of a floating-point number.
    [
        "9007199254740993",
        "9007199254740995",
        "9007199254740997",
        "9007199254740999",
        "9007199254741001",
    ],
    // Beyond 64 bits.
    [
        "18446744073709551613",
        "18446744073709551615",
        "18446744073709551617",
        "18446744073709551619",
        "18446744073709551621",
    ],
    // Beyond 128 bits, with one digit more on the way.
    [
        "999999999999999999999999999999999999999999999997",
        "999999999999999999999999999999999999999999999999",
        "1000000000000000000000000000000000000000000000001",
        "1000000000000000000000000000000000000000000000003",
        "1000000000000000000000000000000000000000000000005",
    ],
];
/// How many events are sent before a stream breaks off.
const SENT_BEFORE: usize = 2;
const DAEMONS: usize = 2;
const ENGINES: usize = 4;

type Ids = [&'static str; 5];

fn events(ids: &[&str]) -> String {
    ids.iter().map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

fn stream_answer(body: String) -> WrittenAnswer {
    let content_type = Some("text/event-stream");
    WrittenAnswer { content_type, body: body.into(), ..WrittenAnswer::default() }
}

/// Whether the engine sends the last event again that a request names, which callers must not get twice.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeats {
    Nothing,
    LastEvent,
}

/// What an engine answers: the first events and a break, or the events after the one that is named.
fn respond(ids: Ids, repeats: Repeats, pause_ms: u64, request: &ReceivedRequest) -> WrittenAnswer {
    let Some(last) = request.header("last-event-id") else {
        return WrittenAnswer {
            end: AnswerEnd::Close,
            framing: BodyFraming::Chunked,
            pause_ms,
            ..stream_answer(events(&ids[..SENT_BEFORE]))
        };
    };
    let Some(place) = ids.iter().position(|id| *id == last) else {
        return stream_answer(format!("id: {last}\ndata: no such event\n\n"));
    };
    let next = if repeats == Repeats::LastEvent { place } else { place + 1 };
    stream_answer(events(&ids[next..]))
}

/// Daemons with links of their own to the same engines, which answer streams of `ids`.
struct Fleet {
    gateways: Vec<Gateway>,
    /// The links of each daemon.
    links: [Vec<Link>; DAEMONS],
    engines: Vec<FramedUpstream>,
    _envs: Vec<TestEnv>,
}

impl Fleet {
    async fn new(spawner: &Spawner, ids: Ids, repeats: Repeats, pause_ms: u64) -> Self {
        const HEARTBEATS_MS: u64 = 600;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let name = format!("e{number}");
            let respond = move |request: &ReceivedRequest| {
                if request.line.contains("/caption/") {
                    respond(ids, repeats, pause_ms, request)
                } else {
                    WrittenAnswer::default()
                }
            };
            let engine = FramedUpstream::start(spawner, &name, respond).await;
            engines.push(engine.expect("a port"));
        }
        let (mut gateways, mut envs) = (Vec::new(), Vec::new());
        let mut links: [Vec<Link>; DAEMONS] = Default::default();
        for (daemon, own_links) in links.iter_mut().enumerate() {
            let mut env = TestEnv::new(spawner).await;
            env.retry_slack = 1_000.0;
            env.publish(1, |_| ());
            for engine in &engines {
                let link = Link::start(spawner, engine.addr).await.expect("a port");
                env.announce_at(&engine.name, link.addr, "engines", "ready");
                own_links.push(link);
            }
            let seeds: Vec<_> = gateways.iter().collect();
            let (name, options) = (format!("d{daemon}"), GatewayOptions::default());
            let gateway = env.gateway_at(&name, env.store_addr, options, &seeds).await;
            gateway.wait_ready(spawner).await;
            gateways.push(gateway);
            envs.push(env);
        }
        sleep_ms(HEARTBEATS_MS).await;
        Self { gateways, links, engines, _envs: envs }
    }

    /// The values of `Last-Event-Id` that engines received.
    fn named_events(&self) -> Vec<String> {
        let requests = self.engines.iter().flat_map(FramedUpstream::requests);
        let named =
            requests.filter_map(|request| request.header("last-event-id").map(str::to_owned));
        named.collect()
    }

    async fn stream(&self, spawner: &Spawner, last_event: Option<&str>) -> String {
        let mut request = generation("/caption/x", "id");
        if let Some(last_event) = last_event {
            let value = last_event.parse().expect("a value");
            request.headers_mut().insert("last-event-id", value);
        }
        let answer = self.gateways[0].call(spawner, request).await;
        assert_eq!(answer.status, StatusCode::OK);
        String::from_utf8(answer.body.to_vec()).expect("text")
    }
}

/// Guards against a caller that takes its stream up after another event than it named (ORDER).
#[test]
fn a_caller_takes_its_stream_up_after_the_very_event_that_it_names() {
    run_test(async |spawner| {
        for ids in ID_SETS {
            let fleet = Fleet::new(&spawner, ids, Repeats::Nothing, 0).await;
            let received = fleet.stream(&spawner, Some(ids[1])).await;
            assert_eq!(fleet.named_events(), [ids[1]]);
            assert_eq!(received, events(&ids[2..]));
        }
    });
}

/// Guards against `Last-Event-Id` that is written anew although it is the caller's own.
#[test]
fn what_a_caller_names_as_its_last_event_is_passed_on_as_it_is() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, ID_SETS[0], Repeats::Nothing, 0).await;
        let mut expected = ["007", "7.0", "1e3", "-7", "three", "0x10"];
        for named in expected {
            fleet.stream(&spawner, Some(named)).await;
        }
        let mut named = fleet.named_events();
        named.sort_unstable();
        expected.sort_unstable();
        assert_eq!(named, expected);
    });
}

/// Guards against events that come twice or are missing when this daemon takes a stream up itself (ORDER).
#[test]
fn a_stream_that_breaks_off_goes_on_after_its_last_event_whatever_the_length_of_its_ids() {
    run_test(async |spawner| {
        for ids in ID_SETS {
            for repeats in [Repeats::Nothing, Repeats::LastEvent] {
                let fleet = Fleet::new(&spawner, ids, repeats, 0).await;
                let received = fleet.stream(&spawner, None).await;
                assert_eq!(received, events(&ids));
                assert_eq!(fleet.named_events(), [ids[SENT_BEFORE - 1]]);
            }
        }
    });
}

/// Guards against the same at a peer, to which a daemon without links hands a stream over (ORDER).
#[test]
fn a_stream_that_goes_on_over_a_peer_does_so_after_its_last_event() {
    const PAUSE_MS: u64 = 2_000;
    run_test(async |spawner| {
        for ids in ID_SETS {
            let fleet = Fleet::new(&spawner, ids, Repeats::LastEvent, PAUSE_MS).await;
            let links = fleet.links[0].clone();
            spawner.detach(async move {
                sleep_ms(PAUSE_MS / 4).await;
                links.iter().for_each(Link::close);
            });
            let received = fleet.stream(&spawner, None).await;
            assert_eq!(received, events(&ids));
            assert_eq!(fleet.named_events(), [ids[SENT_BEFORE - 1]]);
        }
    });
}

/// Guards against the same for a take-up of the caller's that a peer serves (ORDER).
#[test]
fn a_caller_takes_its_stream_up_over_a_peer_after_the_very_event_that_it_names() {
    run_test(async |spawner| {
        for ids in ID_SETS {
            let fleet = Fleet::new(&spawner, ids, Repeats::Nothing, 0).await;
            fleet.links[0].iter().for_each(Link::close);
            let received = fleet.stream(&spawner, Some(ids[1])).await;
            assert_eq!(received, events(&ids[2..]));
            assert_eq!(fleet.named_events(), [ids[1]]);
        }
    });
}
