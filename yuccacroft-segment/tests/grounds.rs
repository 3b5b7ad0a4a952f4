//! Tests of the fields that explain the reset of a flow in the log.

mod support;

use {
    crate::support::{Capture, Fields},
    slog::{KV, info},
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::AgentId,
        ids::{Domain, Incarnation, Instance, Revision},
        pool::{
            AgentEntry, AgentLoad, AgentPhase, EvidenceVersion, Pool,
            indirect::{Condition, Report},
        },
        route::ServiceName,
        search::{AgentFinding, Evidence, Finding},
        segment::Sequence,
        steering::{CachedFlow, LossVerdict},
        time::{Moment, Span},
        units::Slots,
    },
    yuccacroft_segment::balancer::{
        freshness::Freshness,
        grounds::{Grounds, Members},
    },
};

const START: Moment = Moment::new(1_000_000);

/// Returns the fields that these values add to a line.
fn fields(values: impl KV) -> Fields {
    let capture = Capture::default();
    info!(capture.logger(), "line"; values);
    capture.take().pop().unwrap().fields
}

fn instance(number: u8) -> Instance {
    Instance::new(SocketAddrV4::new([10, 0, 0, number].into(), 7000))
}

fn agent_id(number: u8) -> AgentId {
    AgentId { instance: instance(number), incarnation: Incarnation::new(1) }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn pool(count: u8) -> Pool {
    let pool = Pool::new();
    for number in 1..=count {
        let entry = AgentEntry {
            agent_id: agent_id(number),
            entry_version: 1,
            target: ServiceName::new("booking").target(),
            domain: Domain::new("a").unwrap(),
            slots: Slots::new(2),
            phase: AgentPhase::Ready,
            succeeds: false,
        };
        pool.upsert(entry, START);
    }
    pool
}

fn finding(number: u8, finding: Finding, answer_age: u64, silence: u64) -> AgentFinding {
    let age = |millis| (millis > 0).then(|| Span::from_millis(millis));
    AgentFinding {
        instance: instance(number),
        finding,
        answer_age: age(answer_age),
        silence: age(silence),
        indirect: Report::default(),
    }
}

/// Guards against a line about a search that gives numbers only: it must name the agents that did
/// not deny, and what the search knew about the agent that had the flow before.
#[test]
fn a_search_names_the_agents_that_did_not_deny() {
    let evidence = Evidence {
        elapsed: Span::from_millis(1_300),
        agents: Box::new([
            finding(1, Finding::Denied, 1_200, 0),
            finding(2, Finding::Lost, 0, 1_100),
            finding(3, Finding::Lost, 0, 1_050),
            finding(4, Finding::Removed, 0, 400),
        ]),
        queries: 4,
        retries: 7,
        skipped_ticks: 2,
        ..Evidence::default()
    };
    let fields = fields(Grounds::Search { evidence, last_agent: Some(instance(3)) });
    let value = |key: &str| fields.get(key).map(String::as_str);
    assert_eq!(value("search_time"), Some("1300 ms"));
    assert_eq!(value("denied"), Some("1"));
    assert_eq!(value("excluded_lost"), Some("2"));
    assert_eq!(value("removed"), Some("1"));
    assert_eq!(value("unanswered"), Some("0"));
    assert_eq!(value("lost_agents"), Some("10.0.0.2:7000,10.0.0.3:7000"));
    assert_eq!(value("removed_agents"), Some("10.0.0.4:7000"));
    assert_eq!(value("denied_agents"), None);
    assert_eq!(value("oldest_denial"), Some("1200 ms"));
    assert_eq!(value("longest_silence"), Some("1100 ms"));
    assert_eq!(value("skipped_ticks"), Some("2"));
    assert_eq!(value("last_agent"), Some("10.0.0.3:7000"));
    assert_eq!(value("last_agent_finding"), Some("excluded_lost"));
}

/// Guards against a verdict that does not tell whether other agents were asked about those that it
/// excludes, and against a search without an end that hides which agents others reach.
#[test]
fn a_search_tells_what_other_agents_have_reported() {
    let pool = pool(6);
    for number in 1..=3 {
        pool.record_query(instance(number), at(0));
    }
    for number in 4..=6 {
        pool.record_query(instance(number), at(300));
        pool.record_answer(agent_id(number), AgentLoad::default(), at(301));
    }
    // Three suspects are asked about at once: each at three agents.
    assert_eq!(pool.indirect_pings(&Domain::new("a").unwrap(), at(320)).len(), 9);
    for number in 2..=3 {
        pool.record_indirect_answer(agent_id(number), Condition::Running, instance(6), at(330));
    }
    let agents = Box::new([
        finding(1, Finding::Lost, 0, 1_500),
        finding(2, Finding::Lost, 0, 1_500),
        finding(3, Finding::Unanswered, 0, 1_500),
        finding(4, Finding::Denied, 1_100, 0),
    ]);
    let evidence = Evidence { agents, ..Evidence::default() }
        .with_indirect_reports(|instance| pool.indirect_report(instance, at(1_530)));
    let fields = fields(Grounds::Search { evidence, last_agent: None });
    let value = |key: &str| fields.get(key).map(String::as_str);
    assert_eq!(value("fewest_indirect_pings"), Some("3"));
    assert_eq!(value("latest_indirect_answer"), Some("1200 ms"));
    assert_eq!(value("reached_by_others"), Some("10.0.0.2:7000,10.0.0.3:7000"));
}

/// Guards against lines that grow with the number of agents.
#[test]
fn the_number_of_named_agents_is_limited() {
    let agents = (0..200).map(|number| finding(number, Finding::Lost, 0, 1_000)).collect();
    let evidence = Evidence { agents, ..Evidence::default() };
    let fields = fields(Grounds::Search { evidence, last_agent: None });
    assert_eq!(fields["excluded_lost"], "200");
    assert!(fields["lost_agents"].len() < 400, "{}", fields["lost_agents"]);
    assert!(fields["lost_agents"].ends_with(",..."));
}

/// Guards against resets of a silent owner that do not tell how long it has been silent, and
/// whether other members answer.
#[test]
fn a_lost_owner_is_described_by_its_silence() {
    let pool = pool(3);
    pool.record_load(agent_id(1), AgentLoad::default(), at(100));
    for millis in [200, 300, 1_200] {
        pool.record_query(instance(1), at(millis));
    }
    pool.record_query(instance(2), at(900));
    let cached = CachedFlow::Owned { owner: agent_id(1), at: at(100), acknowledged: None };
    let owner = fields(Grounds::of_cached(Some(cached), &pool, at(1_250)));
    assert_eq!(owner["owner"], "10.0.0.1:7000");
    assert_eq!(owner["owner_phase"], "Ready");
    assert_eq!(owner["owner_last_message"], "1150 ms");
    assert_eq!(owner["owner_unanswered"], "3");
    assert_eq!(owner["owner_silence"], "1050 ms");
    assert_eq!(owner["owner_indirect_pings"], "0");
    assert_eq!(owner["owner_indirect_answers"], "0");
    assert!(!owner.contains_key("owner_indirect_answer"));
    let members = fields(Members::new(&pool, at(1_250)));
    let count = |key: &str| &*members[key];
    let reachability = ["agents", "good", "suspect", "lost"].map(count);
    assert_eq!(reachability, ["3", "1", "1", "1"]);
    assert_eq!(["prompt", "late", "silent"].map(count), ["0", "0", "3"]);
    assert_eq!(count("silence_conclusive"), "false");
    assert!(!members.contains_key("loss_timeout"));
    // The silence of the others is conclusive when the path has been sound for the loss timeout.
    for (answered, conclusive) in [(1_210, "false"), (3_210, "true")] {
        pool.record_query(instance(3), at(answered - 10));
        pool.record_answer(agent_id(3), AgentLoad::default(), at(answered));
        let members = fields(Members::new(&pool, at(answered + 40)));
        assert_eq!((&*members["prompt"], &*members["silence_conclusive"]), ("1", conclusive));
        let timeout = members.get("loss_timeout").map(|timeout| &**timeout);
        assert_eq!(timeout, (conclusive == "true").then_some("2 s"));
    }
}

/// Guards against repeated resets of a lost flow whose lines hide the age of the verdict.
#[test]
fn a_lost_flow_is_described_by_the_age_of_the_verdict() {
    let cached = CachedFlow::Lost(LossVerdict {
        detected_at: at(100),
        acknowledged: Sequence::new(1),
        evidence: EvidenceVersion::new(0),
    });
    let fields = fields(Grounds::of_cached(Some(cached), &pool(1), at(1_000)));
    assert_eq!(fields["verdict_age"], "900 ms");
}

/// Guards against ages that begin at the wrong event: a change of the configuration is older than
/// its last confirmation by the store.
#[test]
fn ages_tell_changes_from_confirmations() {
    let freshness = Freshness::default();
    assert!(!fields(freshness.ages(START)).contains_key("members_age"));
    freshness.record_configuration(Revision::new(7), at(0));
    freshness.record_configuration_applied(at(0));
    freshness.record_configuration(Revision::new(9), at(800));
    freshness.record_members(Revision::new(8), at(400));
    freshness.record_stall(at(700));
    let ages = fields(freshness.ages(at(1_100)));
    assert_eq!(ages["version_age"], "1100 ms");
    assert_eq!(ages["configuration_age"], "300 ms");
    assert_eq!(ages["configuration_revision"], "9");
    assert_eq!(ages["members_age"], "700 ms");
    assert_eq!(ages["members_revision"], "8");
    assert_eq!(ages["running"], "400 ms");
}
