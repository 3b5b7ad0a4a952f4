//! The routers of the platform: they choose a balancer for each packet by a hash over the nodes in
//! rotation.

use {
    crate::http,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        net::{SocketAddrV4, UdpSocket},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

#[derive(Clone)]
pub struct Node {
    pub datagrams: SocketAddrV4,
    pub ready: SocketAddrV4,
}

#[derive(Clone)]
pub struct Router {
    nodes: Arc<Vec<Node>>,
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Router {
    pub fn start(nodes: Vec<Node>) -> Self {
        let misses = Arc::new(Mutex::new(vec![MISSES; nodes.len()]));
        let router = Self { nodes: Arc::new(nodes), misses };
        for index in 0..router.nodes.len() {
            let checking = router.clone();
            thread::spawn(move || {
                loop {
                    let answer =
                        http::call(checking.nodes[index].ready.into(), "GET", "/api/ready", "");
                    let is_ready = answer.is_ok_and(|(status, _)| status == 200);
                    let mut misses = checking.misses.lock().unwrap();
                    misses[index] = if is_ready { 0 } else { misses[index].saturating_add(1) };
                    drop(misses);
                    thread::sleep(CHECK_INTERVAL);
                }
            });
        }
        router
    }

    /// Returns the number of nodes in rotation.
    pub fn in_rotation(&self) -> usize {
        self.misses.lock().unwrap().iter().filter(|misses| **misses < MISSES).count()
    }

    /// Sends a packet of a consumer to the node that the hash selects, and returns its index.
    pub fn send(
        &self,
        socket: &UdpSocket,
        from: SocketAddrV4,
        to: SocketAddrV4,
        bytes: &[u8],
    ) -> usize {
        let misses = self.misses.lock().unwrap().clone();
        let mut indices: Vec<usize> = (0..misses.len()).filter(|&i| misses[i] < MISSES).collect();
        // With fewer than half in rotation, all nodes of the zone are used.
        if indices.len() * 2 < misses.len() {
            indices = (0..misses.len()).collect();
        }
        let mut hasher = DefaultHasher::new();
        (from, to).hash(&mut hasher);
        let index = indices[(hasher.finish() % indices.len() as u64) as usize];
        let _ = socket.send_to(bytes, self.nodes[index].datagrams);
        index
    }
}
