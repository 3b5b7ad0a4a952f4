//! Explains from a state dump of a balancer where a new flow would go now, by the code that places
//! flows. It needs no connection to the balancer, to an agent or to an upstream.

use {
    crate::{
        balancer::chain::MAX_CANDIDATES,
        dump::Placement,
        errors::{Error, Result},
    },
    serde::Serialize,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        ids::Domain,
        pool::{
            Pool,
            explanation::{Explanation, NewFlow},
        },
        route::{Route, ServiceName, Target, TrafficClass},
        segment::Flow,
        time::Moment,
    },
};

/// The time of the explanation on a clock of its own, later than all ages in a dump.
const NOW: Moment = Moment::new(u64::MAX / 2);

/// What the caller opens a flow to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// An address, whose route names the service.
    Address(SocketAddrV4),
    /// A service, through the lowest address with a route to it.
    Service(ServiceName),
}

/// A question about a new flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The address of the caller.
    pub caller: SocketAddrV4,
    /// What the caller opens a flow to.
    pub destination: Destination,
    /// The failure domain of the caller, if it is known. Callers reach the balancers of their domain.
    pub domain: Option<Domain>,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Answer {
    /// The address of the caller.
    pub caller: SocketAddrV4,
    /// The address that the caller opens a flow to.
    pub address: SocketAddrV4,
    /// The failure domain of the balancer.
    pub domain: Domain,
    /// The service that the route names for this flow.
    pub service: Target,
    /// The class of the requests.
    pub class: TrafficClass,
    /// Where the flow would go, and why.
    #[serde(flatten)]
    pub explanation: Explanation,
}

impl Question {
    /// Answers the question from the state of a balancer.
    pub fn answer(&self, state: Placement) -> Result<Answer> {
        let Placement { domain, requirements, route_table, spill_over, members } = state;
        if let Some(own) = self.domain.as_ref().filter(|own| **own != domain) {
            let text =
                format!("the state is of a balancer in {domain}, which gets no flow of {own}");
            return Err(Error::Explanation(text.into()));
        }
        let routes = || route_table.iter().map(|(address, route)| (*address, route));
        let (address, route, service) = self.route(routes())?;
        let flow = Flow { caller: self.caller, address };
        let key = flow.key();
        let service = match service.or_else(|| route.target(key.get())) {
            Some(service) => service,
            None => return Err(Error::Explanation(format!("{address} has no service").into())),
        };
        let members = members.into_iter().map(|member| member.state);
        let plans = spill_over.into_iter().collect();
        let pool = Pool::restore(requirements, members, plans, NOW)
            .map_err(|error| Error::Explanation(error.to_string().into()))?;
        let class = route.class;
        let max_offers = MAX_CANDIDATES;
        let flow = NewFlow { target: service, class, key, domain: &domain, max_offers };
        let explanation = pool.explain(&flow, NOW);
        Ok(Answer { caller: self.caller, address, domain, service, class, explanation })
    }

    /// Returns the address of the flow, its route, and the service if the question names it.
    fn route<'a>(
        &self,
        mut routes: impl Iterator<Item = (SocketAddrV4, &'a Route)>,
    ) -> Result<(SocketAddrV4, &'a Route, Option<Target>)> {
        match &self.destination {
            Destination::Address(address) => {
                let found = routes.find(|(routed, _)| routed == address);
                let found = found.map(|(address, route)| (address, route, None));
                found.ok_or_else(|| Error::Explanation(format!("no route to {address}").into()))
            }
            Destination::Service(name) => {
                let target = name.target();
                let leads_there = |route: &Route| {
                    route.shares.iter().any(|share| share.target == target && share.weight > 0)
                };
                let found = routes.find(|(_, route)| leads_there(route));
                let found = found.map(|(address, route)| (address, route, Some(target)));
                found.ok_or_else(|| {
                    Error::Explanation(format!("no route to the service {name}").into())
                })
            }
        }
    }
}
