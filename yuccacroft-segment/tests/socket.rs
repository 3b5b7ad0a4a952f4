//! Tests of the UDP sockets of the operating system.

use {
    std::net::{Ipv4Addr, SocketAddrV4},
    tokio::runtime::{Builder, Runtime},
    yuccacroft_segment::{
        host::Socket,
        socket::{BatchedSocket, ERROR_BACKOFF},
    },
};

fn build_runtime() -> Runtime {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap()
}

/// Binds a socket that cannot wait for datagrams, since its runtime has ended.
fn bind_failing() -> BatchedSocket {
    let runtime = build_runtime();
    let _context = runtime.enter();
    BatchedSocket::bind("test", SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).unwrap()
}

/// Guards against a thread that spins and fills the log while its socket fails.
#[test]
fn lasting_error_is_reported_at_intervals() {
    const MAX_ERRORS: u32 = 3;
    let socket = bind_failing();
    let mut errors = 0;
    let on_error = |_| {
        errors += 1;
        assert!(errors <= MAX_ERRORS, "error {errors} came too early");
    };
    build_runtime().block_on(async {
        let receive = socket.receive(|_, _| {}, on_error);
        let duration = ERROR_BACKOFF * MAX_ERRORS - ERROR_BACKOFF / 2;
        assert!(tokio::time::timeout(duration, receive).await.is_err(), "the socket gave up");
    });
    assert_eq!(errors, MAX_ERRORS);
}
