//! A format and a socket whose datagrams a test defines.

use {
    std::{
        collections::VecDeque,
        future, io,
        net::SocketAddrV4,
        sync::{Arc, Mutex},
    },
    yuccacroft_core::{
        segment::{Flow, Format, Outbound, Response, Segment, Sequence},
        time::Span,
    },
    yuccacroft_segment::{errors::Result as StartResult, host::Socket},
};

/// A format that is given by functions. By default no datagram is valid.
#[derive(Clone, Copy, Debug)]
pub struct FakeFormat {
    pub parse_inbound: fn(&[u8]) -> Result<Segment, &'static str>,
    pub parse_outbound: fn(&[u8]) -> Result<Outbound, &'static str>,
    pub encode_reset: fn(Flow) -> Vec<u8>,
    pub response: fn(&[u8]) -> Option<Response>,
    pub restore_bounced: fn(&mut [u8]),
    pub copy_delay: fn(u32) -> Span,
}

/// A socket whose datagrams the test writes.
#[derive(Clone, Debug, Default)]
pub struct FakeSocket(Arc<Mutex<VecDeque<Vec<u8>>>>);

impl Default for FakeFormat {
    fn default() -> Self {
        Self {
            parse_inbound: |_| Err("not a segment"),
            parse_outbound: |_| Err("not a segment"),
            encode_reset: |_| Vec::new(),
            response: |_| None,
            restore_bounced: |_| {},
            copy_delay: |_| Span::ZERO,
        }
    }
}

impl Format for FakeFormat {
    type Error = &'static str;

    fn parse_inbound(&self, datagram: &[u8]) -> Result<Segment, Self::Error> {
        (self.parse_inbound)(datagram)
    }

    fn parse_outbound(&self, datagram: &[u8]) -> Result<Outbound, Self::Error> {
        (self.parse_outbound)(datagram)
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }

    fn requests_in_progress(&self, _: &[u8]) -> Option<u32> {
        None
    }

    fn response(&self, datagram: &[u8]) -> Option<Response> {
        (self.response)(datagram)
    }

    fn copy_delay(&self, number: u32) -> Span {
        (self.copy_delay)(number)
    }

    fn restore_bounced(&self, datagram: &mut [u8]) {
        (self.restore_bounced)(datagram);
    }

    fn encode_reset(&self, flow: Flow, _: Sequence) -> Vec<u8> {
        (self.encode_reset)(flow)
    }
}

impl FakeSocket {
    pub fn push(&self, datagram: Vec<u8>) {
        self.0.lock().unwrap().push_back(datagram);
    }
}

impl Socket for FakeSocket {
    async fn connect(self, _: SocketAddrV4) -> StartResult<Self> {
        Ok(self)
    }

    async fn receive(
        &self,
        mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        _: impl FnMut(io::Error) + Send,
    ) {
        loop {
            let next = self.0.lock().unwrap().pop_front();
            let Some(mut datagram) = next else { break };
            on_datagram(&mut datagram, peer());
        }
        future::pending().await
    }

    fn send(&self, _: &[u8], _: SocketAddrV4) {}

    fn send_connected(&self, _: &[u8]) -> bool {
        true
    }
}

/// Returns the sender of all datagrams.
pub fn peer() -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, 1].into(), 7_000)
}
