//! Announcements of agents.

use {
    super::{Controllers, locked},
    axum::{
        Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    std::sync::Arc,
    yuccacroft_core::{
        contract::{Accepted, Contract},
        gossip::peer::Node,
        ids::Instance,
        member::{Entry, membership},
        rendezvous,
    },
    yuccacroft_rpc::server,
    yuccacroft_wire::message::{self, Announce, AnnounceReply, Balancers, Sibling},
};

/// The path of [`Announce`] messages.
pub const ANNOUNCE_PATH: &str = "/v1/announce";
/// Balancers that an agent is told besides its registrars.
const OTHERS: usize = 4;

/// Returns the routes of messages from agents.
pub fn router(control: &Arc<Controllers>) -> Router {
    Router::new().route(ANNOUNCE_PATH, post(announce)).with_state(control.clone())
}

async fn announce(
    State(control): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Vec<u8>, StatusCode> {
    control.welcome(&headers, &body)
}

impl Controllers {
    fn welcome(self: &Arc<Self>, headers: &HeaderMap, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let announce: Announce = message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
        let contract = self.contract(&announce.entry.customer).ok_or(StatusCode::NOT_FOUND)?;
        server::authenticate(headers, contract.key(), ANNOUNCE_PATH, body)?;
        contract.service(&announce.entry.service).ok_or(StatusCode::NOT_FOUND)?;
        // The refutation is read before the announcement, which may end the suspicion at once.
        let refute = locked(&self.roster).refutation(announce.entry.instance, self.clock.now());
        let refute = refute.filter(|&version| version >= announce.entry.version);
        self.step_roster(membership::Event::Announced(announce.entry.clone()));
        let welcome = self.answer(&announce, &contract, refute);
        message::encode(&welcome).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn answer(
        &self,
        announce: &Announce,
        contract: &Contract<Accepted>,
        refute: Option<u32>,
    ) -> AnnounceReply {
        let instance = announce.entry.instance;
        let siblings = self.siblings(&announce.entry);
        let known = message::siblings_digest(&siblings) == announce.siblings;
        let balancers = self.balancers(instance);
        let same = balancers.digest() == announce.balancers;
        let newer = contract.revision() > announce.revision;
        let later = locked(&self.roster).incarnation(instance);
        AnnounceReply {
            contract: newer.then(|| contract.clone()),
            siblings: (!known).then_some(siblings),
            balancers: (!same).then_some(balancers),
            refute,
            later: later.filter(|&later| later > announce.entry.incarnation),
        }
    }

    fn siblings(&self, entry: &Entry) -> Box<[Sibling]> {
        let roster = locked(&self.roster);
        let all = roster.members_of(&entry.customer, &entry.service);
        let others = all.filter(|other| other.instance != entry.instance);
        others
            .map(|other| Sibling { instance: other.instance, incarnation: other.incarnation })
            .collect()
    }

    /// Chooses the same few balancers for an agent every time, so that its answer stays small
    /// and the agents spread over all balancers.
    fn balancers(&self, instance: Instance) -> Balancers {
        let registrars = locked(&self.roster).registrars(instance);
        let key = rendezvous::digest(&(instance, "others"));
        let peers = self.peers();
        let nodes = peers.iter().map(|(node, _)| (*node, rendezvous::digest(node)));
        let others = rendezvous::choose(key, nodes, OTHERS);
        let addresses = |nodes: Vec<Node>| nodes.into_iter().map(Node::address).collect();
        Balancers { registrars: addresses(registrars), others: addresses(others) }
    }
}
