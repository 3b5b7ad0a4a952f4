//! Joined sending over loopback sockets.

use {
    proptest::prelude::*,
    std::{
        convert::Infallible,
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
    yuccacroft_balancer::{
        send_queue::{SendCounts, SendQueue},
        socket::BatchedSocket,
    },
};

/// More receivers than the queue has runs, so that runs are sent early to make room.
const RECEIVERS: usize = 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Datagrams that are received at a time, few enough for any receive buffer.
const DATAGRAMS_PER_CHUNK: usize = 50;
/// Few sizes, so that datagrams join into runs.
const DATAGRAM_SIZES: [usize; 4] = [4, 354, 704, 1_400];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20))]

    /// Guards against datagrams that are lost, truncated, merged or reordered when several are sent
    /// with one call.
    #[test]
    fn delivers_each_datagram_whole_and_in_order(
        plan in proptest::collection::vec((0..RECEIVERS, 0..DATAGRAM_SIZES.len()), 1..300),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let _guard = runtime.enter();
        let socket = BatchedSocket::bind("test", "127.0.0.1:0".parse().unwrap()).unwrap();
        let receivers: Vec<_> = (0..RECEIVERS).map(|_| receiver()).collect();
        let mut send_queue = SendQueue::new();
        for chunk in plan.chunks(DATAGRAMS_PER_CHUNK) {
            for (number, &(to, size)) in chunk.iter().enumerate() {
                let datagram = datagram(number, size);
                let write = |buffer: &mut [u8]| {
                    buffer[..datagram.len()].copy_from_slice(&datagram);
                    Ok::<_, Infallible>(datagram.len())
                };
                let Ok(()) = send_queue.add(&socket, receivers[to].1, write);
            }
            prop_assert_eq!(send_queue.flush(&socket), SendCounts { sent: chunk.len() as u64, lost: 0 });
            for (number, &(to, size)) in chunk.iter().enumerate() {
                let mut buffer = [0; 2_048];
                let length = receivers[to].0.recv(&mut buffer).unwrap();
                prop_assert!(buffer[..length] == datagram(number, size));
            }
        }
    }
}

fn datagram(number: usize, size: usize) -> Vec<u8> {
    let mut datagram = vec![number as u8; DATAGRAM_SIZES[size]];
    datagram[..4].copy_from_slice(&(number as u32).to_be_bytes());
    datagram
}

fn receiver() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}
