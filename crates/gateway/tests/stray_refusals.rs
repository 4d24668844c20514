//! Tests that a refusal which does not name the request is not believed: a faulty upstream writes one more than
//! it should, and runs the request.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_fakes::framed_upstream::{
    AnswerId, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{BodyFraming, Spawner};
use hyper::StatusCode;
use support::{Answer, Gateway, TestEnv, run_test};

const CALLS: usize = 200;
/// Near the longest that the configuration of the tests allows.
const BODY_BYTES: usize = 4_000;
/// Large enough for one retry of each request although the daemon has just started.
const RETRY_SLACK: f64 = 100_000.0;
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

type Respond = Arc<dyn Fn(&ReceivedRequest) -> WrittenAnswer + Send + Sync>;

/// A gateway and upstreams of `service`.
struct Fleet {
    env: TestEnv,
    gateway: Gateway,
    upstreams: Vec<FramedUpstream>,
}

impl Fleet {
    async fn start(spawner: &Spawner, service: &str, count: usize, respond: Respond) -> Self {
        let mut env = TestEnv::new(spawner).await;
        env.retry_slack = RETRY_SLACK;
        env.publish(1, |_| ());
        let mut upstreams = Vec::new();
        for number in 0..count {
            let respond = respond.clone();
            let name = format!("u{number}");
            let started = FramedUpstream::start(spawner, &name, move |request| respond(request));
            let upstream = started.await.expect("a port");
            env.announce_at(&name, upstream.addr, service, "ready");
            upstreams.push(upstream);
        }
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(spawner).await;
        Self { env, gateway, upstreams }
    }

    async fn call(&self, path: &str, id: &str) -> Answer {
        let is_stream = path == "/caption/a" || path == "/report/a";
        let tokens = is_stream.then_some((100, 80));
        let caller = CallerRequest { id, tokens, ..CallerRequest::default() };
        let request = caller.request("POST", path, vec![b'x'; BODY_BYTES]);
        self.gateway.call(&self.env.spawner, request).await
    }

    /// How many upstreams received each request.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut arrivals = BTreeMap::new();
        for request in self.upstreams.iter().flat_map(FramedUpstream::requests) {
            *arrivals.entry(request.id().to_owned()).or_default() += 1;
        }
        arrivals
    }
}

/// The answer to a request that the upstream runs.
fn good_answer() -> WrittenAnswer {
    WrittenAnswer { framing: BodyFraming::Length, body: EVENTS.into(), ..WrittenAnswer::default() }
}

/// A refusal that stands where that answer is due.
fn stray_refusal(id: AnswerId, is_after_continue: bool) -> WrittenAnswer {
    WrittenAnswer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        id,
        says_not_run: true,
        is_after_continue,
        body: "".into(),
        ..good_answer()
    }
}

/// Every second request runs, and is answered with a stray refusal.
fn runs_all(id: AnswerId, is_after_continue: bool) -> Respond {
    let count = AtomicU64::new(0);
    Arc::new(move |request| {
        let is_stray = !count.fetch_add(1, Ordering::AcqRel).is_multiple_of(2);
        if is_stray && request.line.contains("/a ") {
            stray_refusal(id.clone(), is_after_continue)
        } else {
            good_answer()
        }
    })
}

fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// The paths of requests that may run once only, with their services.
const ONCE: [(&str, &str); 2] = [("/plain/a", "plain"), ("/report/a", "engines")];

/// Issue 49.
#[test]
fn a_refusal_that_does_not_name_the_request_is_not_believed() {
    run_test(async |spawner| {
        for id in [AnswerId::Absent, AnswerId::Other("another".to_owned())] {
            for (path, service) in ONCE {
                for (is_after_continue, is_early) in [(false, false), (true, false), (false, true)]
                {
                    let respond = runs_all(id.clone(), is_after_continue);
                    let fleet = Fleet::start(&spawner, service, 3, respond).await;
                    if is_early {
                        fleet.upstreams.iter().for_each(FramedUpstream::answer_before_bodies);
                    }
                    let mut told_falsely = 0;
                    for number in 0..CALLS {
                        let answer = fleet.call(path, &format!("id{number}")).await;
                        told_falsely += usize::from(is_refusal(answer.status));
                    }
                    assert_eq!(told_falsely, 0, "{id:?} {path}");
                    let twice = fleet.arrivals().into_values().filter(|count| *count > 1);
                    assert_eq!(twice.count(), 0, "{id:?} {path}");
                }
            }
        }
    });
}

#[test]
fn requests_that_may_run_twice_are_served_although_stray_refusals_answer_every_second_one() {
    run_test(async |spawner| {
        for (path, service) in [("/safe/a", "plain"), ("/caption/a", "engines")] {
            let respond = runs_all(AnswerId::Absent, false);
            let fleet = Fleet::start(&spawner, service, 3, respond).await;
            let mut served = 0;
            for number in 0..CALLS {
                let answer = fleet.call(path, &format!("id{number}")).await;
                assert!(!is_refusal(answer.status), "{path}");
                served += usize::from(answer.status == StatusCode::OK);
            }
            // Each has two tries, of which one at most meets a stray refusal here.
            assert_eq!(served, CALLS, "{path}");
        }
    });
}

/// With honest upstreams, which name the request that they refuse, nothing changes.
#[test]
fn an_honest_refusal_is_believed_and_the_request_served_elsewhere() {
    run_test(async |spawner| {
        for (path, service) in ONCE {
            let count = AtomicU64::new(0);
            let respond: Respond = Arc::new(move |request| {
                let is_refused = count.fetch_add(1, Ordering::AcqRel).is_multiple_of(3);
                if is_refused && request.line.contains("/a ") {
                    stray_refusal(AnswerId::OfRequest, false)
                } else {
                    good_answer()
                }
            });
            let fleet = Fleet::start(&spawner, service, 3, respond).await;
            for number in 0..CALLS {
                let answer = fleet.call(path, &format!("id{number}")).await;
                assert_eq!(answer.status, StatusCode::OK, "{path}");
            }
        }
    });
}

/// So that a refusal which is written once more cannot be read as the answer to a later request.
#[test]
fn a_connection_on_which_a_request_was_refused_is_not_used_again() {
    run_test(async |spawner| {
        let respond: Respond = Arc::new(|request| {
            let refuses = request.id().ends_with('0') && request.line.contains("/a ");
            if refuses { stray_refusal(AnswerId::OfRequest, false) } else { good_answer() }
        });
        let fleet = Fleet::start(&spawner, "plain", 1, respond).await;
        for number in 0..CALLS {
            fleet.call("/plain/a", &format!("id{number}")).await;
        }
        let requests = fleet.upstreams[0].requests();
        let mut refused = requests.iter().filter(|request| request.id().ends_with('0'));
        let later = |refused: &ReceivedRequest| {
            let same = requests.iter().filter(|one| one.connection == refused.connection);
            same.skip_while(|one| one.id() != refused.id()).count() - 1
        };
        assert!(refused.clone().count() > 1);
        assert!(refused.all(|request| later(request) == 0));
    });
}
