//! The whole path with separate processes of the one binary on the loopback interface.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {bytes::Bytes, http::StatusCode, support::System};

/// Guards against a path that works only when all parts share one process.
#[tokio::test(flavor = "multi_thread")]
async fn serves_a_request_over_separate_processes() {
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
