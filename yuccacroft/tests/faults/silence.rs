//! Connections that go silent for good while new ones work.

use {
    crate::fleet::{Fleet, Plan, within},
    http::StatusCode,
};

/// Guards against requests that are given to connections of the upstream which went silent,
/// and against a process that is called dead although new connections to it work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_an_upstream_are_replaced() {
    let fleet = Fleet::start(Plan { valves: true, ..Plan::default() }).await;
    let (mut caller, _board) = fleet.caller_of_first().await;
    let answer = within("a first answer", caller.get("/who")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.proxy_status);
    fleet.agents.iter().for_each(|agent| agent.silence());
    // Every request takes a new connection, so none of them meets a silent one.
    let answer = within("an answer over a new connection", caller.get("/who")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.proxy_status);
    fleet.reserve("silent", 5).await;
}
