//! Connections that go silent for good while new ones work.

use {
    crate::fleet::{Fleet, Plan, within},
    http::StatusCode,
};

/// Guards against a pool that keeps giving requests to connections of the upstream which went
/// silent, and against a process that is called dead although new connections to it work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_an_upstream_are_replaced() {
    let fleet = Fleet::start(Plan { valves: true, ..Plan::default() }).await;
    let (mut caller, _board) = fleet.caller_of_first().await;
    let answer = within("a first answer", caller.get("/who")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.proxy_status);
    fleet.agents.iter().for_each(|agent| agent.silence());
    // A reservation takes a new connection each, so none of them can be lost.
    fleet.reserve("silent", 5).await;
    // An idempotent request may meet the silent connection once; its caller asks again.
    let again = async {
        loop {
            let answer = caller.get("/who").await.unwrap();
            if answer.status == StatusCode::OK {
                return;
            }
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.proxy_status);
        }
    };
    within("an answer over a new connection", again).await;
}
