//! Property tests of configuration adoption and plan confirmation under random schedules of lost,
//! duplicated and reordered messages, stale store reads and restarts, without sockets or clocks.

#[path = "support/seeded.rs"]
mod seeded;
mod support;

use arbutusmount::{
    AdoptionState, ChangeEntry, ConfigBundle, ConfigDocument, ConfigReply, ConfigRequest,
    ConfigRevision, MonoTime, NoticeStep, OfferOutcome, PlanId, PlanOutcome, append_change,
    plan_outcome,
};
use proptest::prelude::*;
use seeded::seeded;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::documents::{RECENT_LIMIT, empty_document, sized_document, team};

/// Number of daemons in a schedule.
const DAEMONS: usize = 4;

/// One step of a schedule; indexes are taken modulo the number of pending messages or plans.
#[derive(Debug, Clone, Copy)]
enum ScheduleStep {
    /// A daemon sends a notice to another daemon.
    Notice(usize, usize),
    /// A pending message is delivered.
    Deliver(usize),
    /// A pending message is lost.
    Lose(usize),
    /// A pending message is delivered and stays pending, so that it may be delivered again.
    Duplicate(usize),
    /// A daemon reads the store, which returns a value that is the given number of writes old.
    Read(usize, usize),
    /// An operator makes a plan through a daemon.
    Plan(usize),
    /// The write of a plan reaches the store; its reply is lost when the flag is true.
    Write(usize, bool),
    /// A daemon restarts with empty state.
    Crash(usize),
}

fn any_step() -> impl Strategy<Value = ScheduleStep> {
    let (daemon, index) = (0..DAEMONS, 0_usize..64);
    prop_oneof![
        4 => (daemon.clone(), daemon.clone()).prop_map(|(a, b)| ScheduleStep::Notice(a, b)),
        8 => index.clone().prop_map(ScheduleStep::Deliver),
        1 => index.clone().prop_map(ScheduleStep::Lose),
        1 => index.clone().prop_map(ScheduleStep::Duplicate),
        3 => (daemon.clone(), 0_usize..3).prop_map(|(d, age)| ScheduleStep::Read(d, age)),
        2 => daemon.clone().prop_map(ScheduleStep::Plan),
        3 => (index, any::<bool>()).prop_map(|(i, lost)| ScheduleStep::Write(i, lost)),
        1 => daemon.prop_map(ScheduleStep::Crash),
    ]
}

#[derive(Debug, Clone)]
enum NetworkMessage {
    Request(usize, usize, ConfigRequest),
    Reply(usize, ConfigReply),
}

/// Plan made by an operator, with the outcome reported to the operator so far.
#[derive(Debug)]
struct OperatorPlan {
    base: Option<Arc<ConfigBundle>>,
    document: ConfigDocument,
    outcome: Option<PlanOutcome>,
}

impl OperatorPlan {
    fn base_revision(&self) -> ConfigRevision {
        let base = self.base.as_ref();
        base.map_or(ConfigRevision(0), |bundle| bundle.revision)
    }
}

/// Simulated daemons, the messages between them, the operators' plans and the store.
#[derive(Debug, Default)]
struct FleetSimulation {
    daemons: Vec<AdoptionState>,
    messages: Vec<NetworkMessage>,
    written: Vec<Arc<ConfigBundle>>,
    plans: Vec<OperatorPlan>,
    now: MonoTime,
}

impl FleetSimulation {
    fn new() -> Self {
        Self {
            daemons: (0..DAEMONS).map(|_| AdoptionState::new()).collect(),
            ..Self::default()
        }
    }

    fn run(&mut self, step: ScheduleStep) {
        self.now = self.now.after(Duration::from_millis(10));
        let pick = |index: usize, count: usize| (count > 0).then(|| index % count);
        match step {
            ScheduleStep::Notice(from, to) => self.send_notice(from, to),
            ScheduleStep::Deliver(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            ScheduleStep::Duplicate(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    self.deliver(self.messages[index].clone());
                }
            }
            ScheduleStep::Lose(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    self.messages.swap_remove(index);
                }
            }
            ScheduleStep::Read(daemon, age) => self.read_store(daemon, age),
            ScheduleStep::Plan(daemon) => self.make_plan(daemon),
            ScheduleStep::Write(index, lost) => {
                if let Some(index) = pick(index, self.plans.len()) {
                    self.write(index, lost);
                }
            }
            ScheduleStep::Crash(daemon) => self.daemons[daemon] = AdoptionState::new(),
        }
    }

    fn send_notice(&mut self, from: usize, to: usize) {
        if from != to {
            let request = self.daemons[from].notice_request(self.now);
            self.messages
                .push(NetworkMessage::Request(from, to, request));
        }
    }

    fn deliver(&mut self, message: NetworkMessage) {
        let now = self.now;
        match message {
            NetworkMessage::Request(from, to, request) => {
                let step = request.notice.map(|n| self.daemons[to].on_notice(n, now));
                let reply = self.daemons[to].answer_request(&request, now);
                self.messages.push(NetworkMessage::Reply(from, reply));
                if step == Some(NoticeStep::Pull) {
                    let pull = self.daemons[to].pull_request(now);
                    self.messages.push(NetworkMessage::Request(to, from, pull));
                }
            }
            NetworkMessage::Reply(to, reply) => {
                if !reply.head.is_empty()
                    && let Ok(bundle) = self.daemons[to].bundle_from_reply(&reply)
                {
                    self.offer(to, bundle);
                }
            }
        }
    }

    fn read_store(&mut self, daemon: usize, age: usize) {
        let index = self.written.len().checked_sub(age + 1);
        let read = index.map(|index| Arc::clone(&self.written[index]));
        let revision = read.as_ref().map_or(ConfigRevision(0), |b| b.revision);
        self.daemons[daemon].on_store_revision(revision, self.now);
        if let Some(bundle) = read {
            self.offer(daemon, (*bundle).clone());
        }
    }

    /// Offers a bundle to a daemon. The revision in force must not decrease, and the document in
    /// force must be the one written at that revision.
    fn offer(&mut self, daemon: usize, bundle: ConfigBundle) {
        let before = self.daemons[daemon].revision();
        let outcome = self.daemons[daemon].offer(bundle, self.now);
        let after = self.daemons[daemon].revision();
        assert!(
            after >= before,
            "daemon {daemon} went from {before} to {after}"
        );
        if let OfferOutcome::Adopted(config) = outcome {
            let written = self.written.iter().find(|b| b.revision == after);
            let written = written.expect("the adopted revision was written");
            let expected = written.assemble().expect("written bundles are complete");
            assert_eq!(
                *config.document(),
                expected,
                "document at revision {after} differs from the one written"
            );
        }
    }

    fn make_plan(&mut self, daemon: usize) {
        let number = self.plans.len();
        let base = self.daemons[daemon].bundle().cloned();
        let plan: PlanId = format!("plan-{number}").parse().expect("a valid name");
        let author = Arc::from(format!("operator-{}", number % 2));
        let mut document = base.as_ref().map_or_else(empty_document, |bundle| {
            bundle.assemble().expect("bundles in force are complete")
        });
        document.declaration.teams.push(team(number));
        (document.plan, document.author) = (plan, author);
        self.plans.push(OperatorPlan {
            base,
            document,
            outcome: None,
        });
    }

    /// Executes the compare-and-swap of a plan at the store. Plans may be written repeatedly.
    fn write(&mut self, index: usize, reply_lost: bool) {
        let plan = &self.plans[index];
        let (name, base) = (&plan.document.plan, plan.base_revision());
        let present = self.written.last();
        let revision = present.map_or(ConfigRevision(0), |bundle| bundle.revision);
        let outcome = if revision == base {
            let recent = plan.base.as_ref().map_or(&[][..], |b| &b.head.recent);
            let entry = ChangeEntry::new(name, &plan.document.author, &[]);
            let next = ConfigRevision(revision.0 + 2);
            let recent = append_change(base, recent, entry);
            let bundle = ConfigBundle::split(next, &plan.document, recent);
            self.written.push(Arc::new(bundle));
            PlanOutcome::Applied {
                revision: next,
                superseded_by: None,
            }
        } else {
            let present = present.expect("a conflict implies a stored value");
            plan_outcome(name, base, revision, &present.head)
        };
        if !reply_lost {
            self.plans[index].outcome = Some(outcome);
        }
    }

    /// Checks that each plan took effect at most once, that at most one plan took effect per base
    /// revision, and that the outcome reported to each operator matches what was written.
    fn check_outcomes(&self) {
        let mut bases = BTreeSet::new();
        for bundle in &self.written {
            let wrote = |plan: &&OperatorPlan| plan.document.plan == bundle.head.plan;
            let count = self.written.iter();
            let count = count.filter(|other| other.head.plan == bundle.head.plan);
            assert_eq!(count.count(), 1, "{} took effect twice", bundle.head.plan);
            let plan = self.plans.iter().find(wrote).expect("a plan wrote this");
            assert!(
                bases.insert(plan.base_revision()),
                "two plans took effect on the same base"
            );
        }
        for plan in &self.plans {
            let name = &plan.document.plan;
            let written = self.written.iter().find(|b| b.head.plan == *name);
            let written = written.map(|bundle| bundle.revision);
            match &plan.outcome {
                Some(PlanOutcome::Applied { revision, .. }) => {
                    assert_eq!(written, Some(*revision), "{name}");
                }
                // A plan that has dropped out of the head's history is reported as a conflict,
                // although it took effect. It is never written again.
                Some(PlanOutcome::Conflict { changes }) => assert!(
                    written.is_none() || changes.len() >= RECENT_LIMIT,
                    "{name} was reported as a conflict but took effect"
                ),
                Some(PlanOutcome::Pending) => {
                    panic!("{name} is still pending after its write was answered")
                }
                None => {}
            }
        }
    }

    /// Lets one daemon read the store, then every pair exchange notices without message loss.
    fn heal(&mut self) {
        self.read_store(0, 0);
        self.messages.clear();
        for _round in 0..2 {
            for from in 0..DAEMONS {
                for to in 0..DAEMONS {
                    self.send_notice(from, to);
                    while let Some(message) = self.messages.pop() {
                        self.deliver(message);
                    }
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn any_schedule_adopts_forward_and_converges(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        // Arrange
        let mut simulation = FleetSimulation::new();

        // Act
        for step in steps {
            simulation.run(step);
        }
        simulation.heal();

        // Assert: `offer` has checked each adoption; now all daemons have the newest revision.
        simulation.check_outcomes();
        let newest = simulation.written.last().map_or(ConfigRevision(0), |b| b.revision);
        for daemon in &simulation.daemons {
            prop_assert_eq!(daemon.revision(), newest);
        }
    }

    #[test]
    fn split_documents_assemble_to_the_same(teams in 0_usize..200, rows in 0_usize..60) {
        // Arrange
        let document = sized_document(teams, rows);

        // Act
        let bundle = ConfigBundle::split(ConfigRevision(7), &document, Vec::new());
        let assembled = bundle.assemble().expect("the bundle is complete");
        let again = ConfigBundle::split(ConfigRevision(7), &assembled, Vec::new());

        // Assert: the items are the same, though perhaps in another order, and so are the sections.
        let names = |document: &ConfigDocument| -> BTreeSet<String> {
            document.declaration.teams.iter().map(|team| team.team.to_string()).collect()
        };
        prop_assert_eq!(names(&assembled), names(&document));
        prop_assert_eq!(assembled.placements.len(), rows);
        prop_assert_eq!(again, bundle);
    }
}
