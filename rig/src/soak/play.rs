//! Begins and ends the faults of a run.

use crate::fleet::ProcessHandle;
use crate::proxy::ProxyFaults;
use crate::site::{LinkState, PlainFault, SiteFleet, StoreFault};
use crate::soak::configuration::ConfigWriter;
use crate::soak::daemon::SoakDaemon;
use crate::soak::evidence::{FaultSpan, FaultSubject, OwnEnd};
use crate::soak::fault::{
    FaultAction, FaultRow, FaultScope, ProcessAction, SoakFault, StoreAction,
};
use crate::soak::front::ServerFronts;
use crate::soak::shared::SoakShared;
use crate::soak::spec::RuleBounds;
use crate::soak::strike::{WORK_TIME, sound_knobs, struck_knobs};
use std::sync::Arc;
use std::time::Duration;

/// Time from the listing of a server as leaving to the end of its entry.
const LISTED_AS_LEAVING: Duration = Duration::from_millis(3_500);

/// Longest wait for the exit status of a process that has ended.
const EXIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Name of all model servers together, as the subject of a fault.
const ALL_MODELS: &str = "models";

/// A fault that lasts.
#[derive(Debug)]
pub(super) struct ActiveFault {
    pub(super) row: FaultRow,
    pub(super) subject: FaultSubject,
    /// Place of its span in the evidence.
    span: usize,
    ends_at: Duration,
    /// Phase of its end: a daemon that was started again is waited for.
    is_starting: bool,
}

/// Plays faults on a site.
#[derive(Debug)]
pub struct FaultPlayer {
    /// Store and servers.
    pub site: SiteFleet,
    /// Daemons.
    pub daemons: Vec<SoakDaemon>,
    /// Proxies in front of the servers.
    pub fronts: ServerFronts,
    /// Operator.
    pub operator: ConfigWriter,
    /// Shared state.
    pub shared: Arc<SoakShared>,
    /// Random choices.
    pub rng: fastrand::Rng,
    pub(super) active: Vec<ActiveFault>,
    /// Faults for which nothing was free.
    skipped: Vec<SoakFault>,
}

impl FaultPlayer {
    /// Creates a player on a running site and gives the servers their usual speed.
    pub fn new(
        site: SiteFleet,
        daemons: Vec<SoakDaemon>,
        fronts: ServerFronts,
        operator: ConfigWriter,
        shared: Arc<SoakShared>,
        seed: u64,
    ) -> Self {
        let player = Self {
            site,
            daemons,
            fronts,
            operator,
            shared,
            rng: fastrand::Rng::with_seed(seed),
            active: Vec::new(),
            skipped: Vec::new(),
        };
        for server in &player.site.plain_servers {
            server.name_requests();
            server.set_work_time(WORK_TIME);
        }
        for server in &player.site.model_servers {
            server.set_knobs(sound_knobs());
        }
        player
    }

    /// True while a fault lasts.
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty()
    }

    /// Faults that could not be played as nothing was free for them.
    pub fn skipped(&self) -> &[SoakFault] {
        &self.skipped
    }

    /// Begins a fault, if there is something free that it can strike.
    ///
    /// # Errors
    /// When a settings file cannot be written.
    pub fn begin(&mut self, row: FaultRow) -> Result<(), String> {
        let Some(subject) = self.choose_subject(row) else {
            self.skipped.push(row.kind);
            return Ok(());
        };
        let begin = self.shared.now();
        let mut evidence = self.shared.evidence();
        evidence.faults.push(FaultSpan {
            kind: row.kind,
            scope: row.scope,
            subject: subject.clone(),
            begin,
            end: None,
        });
        let span = evidence.faults.len() - 1;
        drop(evidence);
        self.apply(row.action, &subject)?;
        self.active.push(ActiveFault {
            row,
            subject,
            span,
            ends_at: begin + row.span(),
            is_starting: false,
        });
        Ok(())
    }

    /// Ends the faults whose time is over and looks after the daemons.
    ///
    /// # Errors
    /// When a daemon cannot be started.
    pub fn tick(&mut self) -> Result<(), String> {
        let now = self.shared.now();
        self.check_departures(now);
        for mut fault in std::mem::take(&mut self.active) {
            if fault.ends_at > now || !self.end(&mut fault)? {
                self.active.push(fault);
                continue;
            }
            let end = self.shared.now();
            self.shared.evidence().faults[fault.span].end = Some(end);
        }
        self.check_processes()
    }

    fn choose_subject(&mut self, row: FaultRow) -> Option<FaultSubject> {
        let candidates: Vec<FaultSubject> = match (row.scope, row.action) {
            (FaultScope::Daemon, _) => (0..self.daemons.len()).map(FaultSubject::Daemon).collect(),
            (FaultScope::Store, _) => vec![FaultSubject::Store],
            (FaultScope::Config, _) => vec![FaultSubject::Config],
            (FaultScope::Callers, _) => vec![FaultSubject::Callers],
            (FaultScope::Server, FaultAction::AllModels(_)) => {
                vec![FaultSubject::Server(Arc::from(ALL_MODELS))]
            }
            (FaultScope::Server, FaultAction::Model(_)) => {
                let live = self.site.model_servers.iter();
                let live = live.filter(|s| self.site.crashes.is_live(s.address()));
                live.map(|server| FaultSubject::Server(Arc::from(server.id())))
                    .collect()
            }
            (FaultScope::Server, action) => {
                // The state of its answers outlives a crash, its address and identifier don't.
                let needs_address = matches!(action, FaultAction::Server(_));
                let live = self.site.plain_servers.iter();
                let live =
                    live.filter(|s| !needs_address || self.site.crashes.is_live(s.address()));
                live.map(|server| FaultSubject::Server(Arc::from(server.id())))
                    .collect()
            }
        };
        let is_free = |subject: &FaultSubject| {
            let mut active = self.active.iter();
            !active.any(|fault| fault.subject == *subject && fault.row.action.excludes(row.action))
        };
        let free: Vec<FaultSubject> = candidates.into_iter().filter(is_free).collect();
        (!free.is_empty()).then(|| free[self.rng.usize(0..free.len())].clone())
    }

    fn apply(&mut self, action: FaultAction, subject: &FaultSubject) -> Result<(), String> {
        match (action, subject) {
            (FaultAction::Process(act), FaultSubject::Daemon(number)) => {
                return self.signal(act, *number);
            }
            (FaultAction::Link(link, faults), FaultSubject::Daemon(number)) => {
                self.daemons[*number].link(link).set_faults(faults);
            }
            (FaultAction::ServerLinks(state), FaultSubject::Daemon(number)) => {
                self.daemons[*number].server_links().set_state(state);
            }
            (FaultAction::ResetLink(link), FaultSubject::Daemon(number)) => {
                self.daemons[*number].link(link).reset_connections();
            }
            (FaultAction::Store(fault), _) => self.site.store.set_fault(0, fault),
            (FaultAction::AllStoreLinks(faults), _) => self.set_store_links(faults),
            (FaultAction::StoreData(act), _) => self.change_store(act),
            (FaultAction::Plain(fault), FaultSubject::Server(id)) => {
                self.plain(id).set_fault(fault);
            }
            (FaultAction::Server(act), FaultSubject::Server(id)) => self.strike(act, id),
            (FaultAction::Model(act), FaultSubject::Server(id)) => {
                let knobs = struck_knobs(act, &mut self.rng);
                self.set_knobs(id, knobs);
            }
            (FaultAction::AllModels(act), _) => {
                let knobs = struck_knobs(act, &mut self.rng);
                self.set_all_knobs(&knobs);
            }
            (FaultAction::Config(act), _) => {
                self.operator.begin(act, &self.site.store, &self.shared);
            }
            (FaultAction::Callers(mood), _) => self.shared.moods().push(mood),
            // Daemons and servers are always chosen for actions of their scope.
            _ => {}
        }
        Ok(())
    }

    /// Ends a fault; false when it takes longer.
    fn end(&mut self, fault: &mut ActiveFault) -> Result<bool, String> {
        match (fault.row.action, &fault.subject) {
            (FaultAction::Process(act), FaultSubject::Daemon(number)) => {
                return self.end_signal(act, *number, fault.ends_at, &mut fault.is_starting);
            }
            (FaultAction::Link(link, _), FaultSubject::Daemon(number)) => {
                let link = self.daemons[*number].link(link);
                link.set_faults(ProxyFaults::default());
            }
            (FaultAction::ServerLinks(_), FaultSubject::Daemon(number)) => {
                self.daemons[*number]
                    .server_links()
                    .set_state(LinkState::Open);
            }
            (FaultAction::Store(_), _) => self.site.store.set_fault(0, StoreFault::None),
            (FaultAction::AllStoreLinks(_), _) => self.set_store_links(ProxyFaults::default()),
            (FaultAction::StoreData(StoreAction::LapseEntries), _) => self.list_servers(),
            (FaultAction::Plain(_), FaultSubject::Server(id)) => {
                self.plain(id).set_fault(PlainFault::None);
            }
            (FaultAction::Server(act), FaultSubject::Server(id)) => self.heal(act, id),
            (FaultAction::Model(_), FaultSubject::Server(id)) => {
                self.set_knobs(id, sound_knobs());
            }
            (FaultAction::AllModels(_), _) => self.set_all_knobs(&sound_knobs()),
            (FaultAction::Config(act), _) => {
                self.operator.end(act, &self.site.store, &self.shared);
            }
            (FaultAction::Callers(mood), _) => {
                self.shared.moods().retain(|active| *active != mood);
            }
            _ => {}
        }
        Ok(true)
    }

    fn signal(&mut self, action: ProcessAction, number: usize) -> Result<(), String> {
        let daemon = &mut self.daemons[number];
        match action {
            ProcessAction::Kill => daemon.kill(),
            ProcessAction::Reload => return daemon.reload(),
            ProcessAction::Freeze => {
                if let Some(process) = daemon.process() {
                    process.freeze();
                }
            }
            ProcessAction::Terminate => {
                if let Some(process) = daemon.process() {
                    process.terminate();
                }
            }
        }
        Ok(())
    }

    /// Ends what was done to a process; false while a daemon is still ending or starting.
    fn end_signal(
        &mut self,
        action: ProcessAction,
        number: usize,
        since: Duration,
        is_starting: &mut bool,
    ) -> Result<bool, String> {
        let daemon = &mut self.daemons[number];
        if *is_starting {
            return Ok(daemon.is_ready());
        }
        match action {
            ProcessAction::Reload => return Ok(true),
            ProcessAction::Freeze => {
                if let Some(process) = daemon.process() {
                    process.thaw();
                }
                return Ok(true);
            }
            ProcessAction::Terminate => {
                let is_over = self.shared.now() > since + RuleBounds::GRACE;
                let runs = daemon.process().is_some_and(ProcessHandle::is_running);
                if runs && !is_over {
                    return Ok(false);
                }
                daemon.kill();
            }
            ProcessAction::Kill => {}
        }
        daemon.start_process()?;
        *is_starting = true;
        Ok(false)
    }

    /// Removes the entries of servers that have been listed as leaving for long enough.
    fn check_departures(&self, now: Duration) {
        let evidence = self.shared.evidence();
        let departures = evidence.departures.iter();
        let gone: Vec<Arc<str>> = departures
            .filter(|d| d.until.is_none() && now > d.acknowledged + LISTED_AS_LEAVING)
            .map(|departure| Arc::clone(&departure.server))
            .collect();
        drop(evidence);
        for id in gone {
            self.site.store.remove(&format!("servers/{id}"));
        }
    }

    /// Notes daemons that ended without being told to, and starts them again.
    fn check_processes(&mut self) -> Result<(), String> {
        for number in 0..self.daemons.len() {
            let subject = FaultSubject::Daemon(number);
            let is_struck = self.active.iter().any(|fault| {
                fault.subject == subject && matches!(fault.row.action, FaultAction::Process(_))
            });
            let Some(process) = self.daemons[number].process() else {
                continue;
            };
            if is_struck || process.is_running() {
                continue;
            }
            let status = process.wait(EXIT_TIMEOUT);
            let own_end = OwnEnd {
                daemon: number,
                at: self.shared.now(),
                status: format!("{status:?}"),
            };
            self.shared.evidence().own_ends.push(own_end);
            self.daemons[number].kill();
            self.daemons[number].start_process()?;
        }
        Ok(())
    }
}
