//! A request from end to end through separate processes on the loopback interface.

#[allow(dead_code, reason = "each test program uses only a part of it")]
mod support;

use {bytes::Bytes, http::StatusCode, support::System};

/// Guards against request handling that works only while all parts share one process.
#[tokio::test(flavor = "multi_thread")]
async fn serves_requests_through_separate_processes() {
    let system = System::start().await;
    let mut caller = system.caller().await;
    for seat in 0..20 {
        let key = format!("seat-{seat}");
        let answer = caller.reserve(&key, Bytes::from_static(b"two seats")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, format!("reserved {key} with 9 bytes"));
    }
    let runs: u32 = system.upstreams.iter().flat_map(|u| u.runs().into_values()).sum();
    assert_eq!(runs, 20);
}
