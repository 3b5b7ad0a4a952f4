//! Handles the announcements of agents.

use {
    super::{Controllers, lock},
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
        gossip::peer::NodeId,
        ids::Instance,
        member::{MemberEntry, membership},
        rendezvous,
    },
    yuccacroft_rpc::server,
    yuccacroft_wire::message::{self, Announce, AnnounceReply, Balancers, Sibling},
};

/// The path of [`Announce`] messages.
pub const ANNOUNCE_PATH: &str = "/v1/announce";
/// Upper bound of the balancers that an agent receives besides its registrars.
const MAX_OTHER_BALANCERS: usize = 4;

/// Returns the HTTP routes of messages from agents.
pub fn router(controllers: &Arc<Controllers>) -> Router {
    Router::new().route(ANNOUNCE_PATH, post(announce)).with_state(controllers.clone())
}

async fn announce(
    State(controllers): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Vec<u8>, StatusCode> {
    controllers.handle_announce(&headers, &body)
}

impl Controllers {
    fn handle_announce(
        self: &Arc<Self>,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Vec<u8>, StatusCode> {
        let announce: Announce = message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
        let contract = self.contract(&announce.entry.customer).ok_or(StatusCode::NOT_FOUND)?;
        server::authenticate(headers, contract.key(), ANNOUNCE_PATH, body)?;
        contract.service(&announce.entry.service).ok_or(StatusCode::NOT_FOUND)?;
        // The refutation is read before the announcement is applied, since the announcement may end
        // the suspicion.
        let refute = lock(&self.membership).refutation(announce.entry.instance, self.clock.now());
        let refute = refute.filter(|&version| version >= announce.entry.version);
        self.step_membership(membership::Event::Announced(announce.entry.clone()));
        let reply = self.build_reply(&announce, &contract, refute);
        message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn build_reply(
        &self,
        announce: &Announce,
        contract: &Contract<Accepted>,
        refute: Option<u32>,
    ) -> AnnounceReply {
        let instance = announce.entry.instance;
        let siblings = self.siblings(&announce.entry);
        let siblings_match = message::siblings_digest(&siblings) == announce.siblings;
        let balancers = self.balancers(instance);
        let balancers_match = balancers.digest() == announce.balancers;
        let is_outdated = contract.revision() > announce.revision;
        let later = lock(&self.membership).incarnation(instance);
        AnnounceReply {
            contract: is_outdated.then(|| contract.clone()),
            siblings: (!siblings_match).then_some(siblings),
            balancers: (!balancers_match).then_some(balancers),
            refute,
            later: later.filter(|&later| later > announce.entry.incarnation),
        }
    }

    fn siblings(&self, entry: &MemberEntry) -> Box<[Sibling]> {
        let membership = lock(&self.membership);
        let members = membership.members_of(&entry.customer, &entry.service);
        let others = members.filter(|other| other.instance != entry.instance);
        others
            .map(|other| Sibling { instance: other.instance, incarnation: other.incarnation })
            .collect()
    }

    /// Returns the balancers for an agent to use. They are few, so that the reply stays small, and
    /// chosen by its address, so that they stay the same and agents are spread over all balancers.
    fn balancers(&self, instance: Instance) -> Balancers {
        let registrars = lock(&self.membership).registrars(instance);
        let key = rendezvous::digest(&(instance, "others"));
        let peers = self.peers();
        let nodes = peers.iter().map(|(node, _)| (*node, rendezvous::digest(node)));
        let others = rendezvous::choose(key, nodes, MAX_OTHER_BALANCERS);
        let addresses = |nodes: Vec<NodeId>| nodes.into_iter().map(NodeId::address).collect();
        Balancers { registrars: addresses(registrars), others: addresses(others) }
    }
}
