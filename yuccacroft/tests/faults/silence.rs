//! Stalled connections to an upstream, which carry no more data while new connections work.

use {
    crate::fleet::{Fleet, FleetOptions, within},
    http::StatusCode,
};

/// Guards against sending requests on stalled connections to an upstream, and against treating the
/// upstream as dead although new connections to it work.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections_to_an_upstream_are_replaced() {
    let fleet =
        Fleet::start(FleetOptions { has_upstream_proxies: true, ..FleetOptions::default() }).await;
    let (mut caller, _board) = fleet.connect_to_first_agent().await;
    let answer = within("the first answer", caller.get("/who")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.proxy_status);
    fleet.agents.iter().for_each(|agent| agent.stall_connections());
    // Every request opens a new connection, so none of them uses a stalled one.
    let answer = within("an answer over a new connection", caller.get("/who")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.proxy_status);
    fleet.reserve("silent", 5).await;
}
