//! Snapshots of a pool, from which a tool builds an equal pool in another process. Ages take the
//! place of moments, which belong to one process.

use {
    super::{
        AgentEntry, AgentLoad, Measures, Member, Pool,
        outlier::{Ejection, Standing},
        path::Answer,
    },
    crate::{
        errors::{Error, Result},
        ids::{Domain, Revision},
        requirements::Requirements,
        route::Target,
        spill_over::Plan,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, HashMap},
};

/// A member of a pool, with all that the placement of a flow rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The latest entry that the agent published.
    pub entry: AgentEntry,
    /// The last reported load; `None` before the first report.
    pub load: Option<AgentLoad>,
    /// The time since the load was reported.
    pub load_age: Option<Span>,
    /// The measures that the agent has reported last, if it reports any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub measures: Option<Measures>,
    /// The time since the measures were reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub measures_age: Option<Span>,
    /// The part of its flows that an ejected member gets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ejection: Option<Ejection>,
    /// The delay of its latest answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_delay: Option<Span>,
    /// The time for which it has owed an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unanswered: Option<Span>,
    /// The number of offers that its load does not include yet.
    #[serde(default)]
    pub pending_offers: usize,
    /// Whether its failure domain is evacuated.
    #[serde(default)]
    pub is_evacuated: bool,
}

impl Member {
    /// Returns a snapshot of the member.
    pub fn state(&self, now: Moment) -> MemberState {
        MemberState {
            entry: self.entry.clone(),
            load: self.load.map(|(load, _)| load),
            load_age: self.load.map(|(_, at)| now.since(at)),
            measures: self.measures.map(|(measures, _)| measures),
            measures_age: self.measures.map(|(_, at)| now.since(at)),
            ejection: self.standing.ejection(),
            answer_delay: self.answer.map(|answer| answer.delay),
            unanswered: self.unanswered_since.map(|since| now.since(since)),
            pending_offers: self.pending_offers.len(),
            is_evacuated: self.is_evacuated,
        }
    }

    fn restore(state: MemberState, now: Moment) -> Result<Self> {
        let standing = state.ejection.map(|ejection| {
            let error = || Error::expected("a step of an ejection", &format!("{ejection:?}"));
            ejection.standing().ok_or_else(error)
        });
        let at = |age: Option<Span>| now - age.unwrap_or_default();
        Ok(Self {
            load: state.load.map(|load| (load, at(state.load_age))),
            measures: state.measures.map(|measures| (measures, at(state.measures_age))),
            standing: standing.transpose()?.unwrap_or(Standing::ADMITTED),
            answer: state.answer_delay.map(|delay| Answer { at: now, delay }),
            unanswered_since: state.unanswered.map(|span| now - span),
            pending_offers: std::iter::repeat_n(now, state.pending_offers).collect(),
            is_evacuated: state.is_evacuated,
            ..Self::new(state.entry, now)
        })
    }
}

impl Pool {
    /// Builds a pool that places new flows as the one from which the members and the spill-over
    /// were taken. It has no history beyond that, so its controllers are not to be run. `now` has
    /// to be later than all ages.
    pub fn restore(
        requirements: Requirements,
        members: impl IntoIterator<Item = MemberState>,
        plans: HashMap<Target, Plan>,
        now: Moment,
    ) -> Result<Self> {
        let pool = Self::new().with_requirements(requirements);
        let mut evacuated: BTreeSet<Domain> = BTreeSet::new();
        for state in members {
            let member = Member::restore(state, now)?;
            let (instance, target) = (member.entry.agent_id.instance, member.entry.target);
            if member.is_evacuated {
                evacuated.insert(member.entry.domain.clone());
            }
            pool.members.update(instance, |slot| *slot = Some(member));
            pool.index_by_service(target, instance);
        }
        pool.update_evacuations(|evacuations| {
            evacuations.apply_listing(evacuated, Revision::default(), now)
        });
        pool.set_spill_over_plans(plans);
        Ok(pool)
    }
}
