//! Guarantee: an answer of a plain service that broke off is not passed on as if it were whole.

#![allow(clippy::unwrap_used)]

mod claims_support;

use claims_support::start;
use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_net::{BodyFraming, Spawner};
use comfreymast_proof::{Fleet, FleetOptions, Recorded, RecordedClient};

const THREADS: usize = 4;
const BODY: &str = "saved as revision 12";

/// A fleet whose only plain server answers as the path of a call says.
async fn start_with(spawner: &Spawner, server: &FramedUpstream) -> (Fleet, RecordedClient) {
    let options = FleetOptions { engines: 0, servers: 0, ..FleetOptions::default() };
    let (mut fleet, client) = start(spawner, options).await;
    let mut entry = fleet.start_server("s0").unwrap();
    entry.vm.addr = server.addr;
    fleet.servers.push(entry);
    fleet.publish_vms().await.unwrap();
    fleet.wait_until_settled().await.unwrap();
    (fleet, client)
}

fn respond(request: &ReceivedRequest) -> WrittenAnswer {
    let end = if request.line.contains("/crash") { AnswerEnd::Crash } else { AnswerEnd::Complete };
    let framing = BodyFraming::ConnectionClose;
    WrittenAnswer { framing, body: BODY.into(), end, ..WrittenAnswer::default() }
}

#[test]
fn an_unframed_answer_of_a_server_that_ended_is_reported_as_unknown() {
    Spawner::run(THREADS, |spawner| async move {
        let server = FramedUpstream::start(&spawner, "s0", respond).await.unwrap();
        let (fleet, client) = start_with(&spawner, &server).await;
        let addr = fleet.daemons[0].callers();
        for (path, expected) in
            [("/boards/whole", (200, "done")), ("/boards/crash", (502, "unknown"))]
        {
            let call =
                Recorded { addr, method: "POST", path, headers: &[], body: path, what: path };
            let answer = client.call(&call).await.unwrap();
            assert_eq!((answer.status, answer.outcome.as_str()), expected, "{path}");
        }
        assert_eq!(server.requests().len(), 2);
    });
}
