//! The faults that a run plays, one row each, and the order in which pairs of them are played.

use crate::proxy::{DirectionFault, ProxyFaults};
use crate::site::{EndlessPart, LinkState, PlainFault, StoreFault};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScope {
    /// The process of one daemon or one of its links: that daemon is out of touch.
    Daemon,
    /// The store, for all daemons.
    Store,
    /// One server.
    Server,
    /// The configuration.
    Config,
    /// Callers.
    Callers,
}

/// Which link of a daemon a proxy stands on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonLink {
    /// From callers.
    Callers,
    /// To the store.
    Store,
}

/// What is done to the process of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessAction {
    /// SIGSTOP, and SIGCONT at the end.
    Freeze,
    /// SIGKILL, and a start at the end.
    Kill,
    /// SIGTERM, and a start once it has ended.
    Terminate,
    /// SIGHUP after a change of the settings file.
    Reload,
}

/// What is done to the store, apart from [`StoreFault`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAction {
    /// The history is compacted.
    Compact,
    /// All leases end.
    EndLeases,
    /// The entries of all plain servers lapse and come back.
    LapseEntries,
}

/// What is done to a plain server, apart from [`PlainFault`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAction {
    /// It crashes and comes back under another identifier.
    Crash,
    /// It crashes and comes back under its identifier.
    CrashKeepingId,
    /// It neither answers nor closes connections.
    Dark,
    /// Its connections are reset.
    ResetConnections,
    /// Each request takes this many milliseconds.
    Work(u64),
    /// It names a rate limit.
    NameLimit,
    /// It is listed as leaving, then not at all.
    Leave,
    /// It says in its answers that it leaves, and then ends and comes back under another identifier.
    SayLeaving,
    /// It turns requests away and asks for this many seconds of rest.
    Rest(&'static str),
    /// A server that is gone is listed at its address.
    ReuseAddress,
}

/// How the streams of a model server change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelAction {
    /// They pause for this many milliseconds before the first event.
    PauseFirst(u64),
    /// They pause for this many milliseconds before one of the other events.
    Pause(u64),
    /// They fall silent for good at one of the events.
    Hang,
    /// They are reset in the middle of one of the events.
    Reset,
    /// Each event takes this many milliseconds.
    Gap(u64),
}

/// How the configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAction {
    /// A route is added, and removed at the end.
    AddRoute,
    /// The route of repeatable requests goes to another service.
    MoveRoute,
    /// The route of repeatable requests is shared by two services.
    ShareRoute,
    /// The timeouts are longer.
    LongerTimeout,
    /// One key is removed.
    RemoveKey,
    /// The idle limit is longer.
    LongerIdle,
}

/// How a part of the callers behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerMood {
    /// They leave before the answer.
    Leave,
    /// They shut down their sending side after the request.
    HalfClose,
    /// They repeat failed requests at once.
    Repeat,
    /// They send bodies slowly.
    SlowBody,
    /// They send the next request before the answer.
    Pipeline,
    /// They send requests that crash servers.
    Poison,
}

/// What a fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// To the process of a daemon.
    Process(ProcessAction),
    /// To a link of a daemon.
    Link(DaemonLink, ProxyFaults),
    /// Resets the connections of a link.
    ResetLink(DaemonLink),
    /// To the links of a daemon to all servers.
    ServerLinks(LinkState),
    /// To the store.
    Store(StoreFault),
    /// To the links of all daemons to the store.
    AllStoreLinks(ProxyFaults),
    /// To the data of the store.
    StoreData(StoreAction),
    /// To the answers of a plain server.
    Plain(PlainFault),
    /// To a plain server.
    Server(ServerAction),
    /// To a model server.
    Model(ModelAction),
    /// To all model servers.
    AllModels(ModelAction),
    /// To the configuration.
    Config(ConfigAction),
    /// To callers.
    Callers(CallerMood),
}

const fn faults(to_target: DirectionFault, to_caller: DirectionFault) -> ProxyFaults {
    ProxyFaults {
        to_target,
        to_caller,
        refuse: false,
    }
}

/// Neither direction passes.
pub const SILENT_LINK: ProxyFaults = faults(DirectionFault::Hold, DirectionFault::Hold);
/// Answers are held back.
const ONE_WAY_LINK: ProxyFaults = faults(DirectionFault::Pass, DirectionFault::Hold);
/// Each block of bytes is late.
const SLOW_LINK: ProxyFaults = faults(DirectionFault::Delay(60), DirectionFault::Delay(60));
/// New connections are closed.
const REFUSING_LINK: ProxyFaults = ProxyFaults {
    to_target: DirectionFault::Close,
    to_caller: DirectionFault::Close,
    refuse: true,
};

/// One row of the table of faults.
#[derive(Debug, Clone, Copy)]
pub struct FaultRow {
    /// Fault.
    pub kind: SoakFault,
    /// What it strikes.
    pub scope: FaultScope,
    /// Time for which it lasts, in milliseconds.
    pub millis: u64,
    /// What it does.
    pub action: FaultAction,
}

macro_rules! fault_table {
    ($($kind:ident $scope:ident $millis:literal $action:expr;)*) => {
        /// A fault.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum SoakFault {
            $(#[allow(missing_docs, reason = "the table says what it does")] $kind,)*
        }

        /// All faults.
        pub const FAULT_TABLE: &[FaultRow] = &[$(FaultRow {
            kind: SoakFault::$kind,
            scope: FaultScope::$scope,
            millis: $millis,
            action: $action,
        },)*];
    };
}

use FaultAction::{
    AllModels, AllStoreLinks, Callers, Config, Link, Model, Plain, Process, ResetLink, Server,
    ServerLinks, Store, StoreData,
};

fault_table! {
    DaemonFreeze Daemon 1_500 Process(ProcessAction::Freeze);
    DaemonKill Daemon 600 Process(ProcessAction::Kill);
    DaemonTerm Daemon 600 Process(ProcessAction::Terminate);
    DaemonReload Daemon 100 Process(ProcessAction::Reload);
    CallersLinkReset Daemon 100 ResetLink(DaemonLink::Callers);
    CallersLinkSlow Daemon 1_500 Link(DaemonLink::Callers, SLOW_LINK);
    CallersLinkSilent Daemon 1_500 Link(DaemonLink::Callers, SILENT_LINK);
    CallersLinkOneWay Daemon 1_500 Link(DaemonLink::Callers, ONE_WAY_LINK);
    StoreLinkReset Daemon 100 ResetLink(DaemonLink::Store);
    StoreLinkSilent Daemon 2_500 Link(DaemonLink::Store, SILENT_LINK);
    StoreLinkOneWay Daemon 2_500 Link(DaemonLink::Store, ONE_WAY_LINK);
    StoreLinkRefused Daemon 2_500 Link(DaemonLink::Store, REFUSING_LINK);
    ServersSilent Daemon 6_000 ServerLinks(LinkState::Silent);
    ServersReset Daemon 6_000 ServerLinks(LinkState::Reset);
    ServersRefuse Daemon 6_000 ServerLinks(LinkState::Refusing);
    StoreBusy Store 2_000 Store(StoreFault::Busy);
    StoreReset Store 2_000 Store(StoreFault::Reset);
    StoreRepliesLost Store 1_500 Store(StoreFault::RepliesLost);
    StoreSlow Store 1_500 AllStoreLinks(SLOW_LINK);
    StoreSilent Store 3_000 AllStoreLinks(SILENT_LINK);
    StoreCompact Store 100 StoreData(StoreAction::Compact);
    StoreLeasesEnd Store 100 StoreData(StoreAction::EndLeases);
    EntriesLapse Store 1_500 StoreData(StoreAction::LapseEntries);
    ServerCrash Server 1_500 Server(ServerAction::Crash);
    ServerRestartOldId Server 1_500 Server(ServerAction::CrashKeepingId);
    ServerDark Server 2_500 Server(ServerAction::Dark);
    ServerConnectionsReset Server 100 Server(ServerAction::ResetConnections);
    ServerResetsAfterRun Server 1_000 Plain(PlainFault::ResetAfterRun);
    ServerFull Server 2_000 Plain(PlainFault::Full);
    ServerFails Server 2_000 Plain(PlainFault::Fails);
    ServerTruncates Server 1_500 Plain(PlainFault::ShortBody);
    ServerGarbles Server 1_500 Plain(PlainFault::Garbage);
    ServerWrongAnswer Server 1_500 Plain(PlainFault::WrongAttemptId);
    ServerExtraAnswer Server 2_000 Plain(PlainFault::ExtraResponse);
    ServerNoLength Server 2_000 Plain(PlainFault::NoLength);
    ServerNoLengthReset Server 1_500 Plain(PlainFault::NoLengthReset);
    ServerEndless Server 800 Plain(PlainFault::Endless(EndlessPart::Body));
    ServerSlow Server 2_500 Server(ServerAction::Work(400));
    ServerPauses Server 1_500 Server(ServerAction::Work(1_100));
    ServerLimit Server 8_000 Server(ServerAction::NameLimit);
    ServerLeaves Server 5_500 Server(ServerAction::Leave);
    ServerSaysLeaving Server 4_500 Server(ServerAction::SayLeaving);
    ServerRests Server 3_000 Server(ServerAction::Rest("2"));
    AddressReused Server 3_000 Server(ServerAction::ReuseAddress);
    ModelPausesFirst Server 2_000 Model(ModelAction::PauseFirst(1_000));
    ModelPauses Server 2_000 Model(ModelAction::Pause(1_100));
    ModelSilent Server 1_500 Model(ModelAction::Hang);
    ModelReset Server 2_000 Model(ModelAction::Reset);
    ModelSlow Server 2_500 Model(ModelAction::Gap(60));
    ModelsPauseFirst Server 1_500 AllModels(ModelAction::PauseFirst(900));
    ModelsPause Server 1_500 AllModels(ModelAction::Pause(1_200));
    ModelsPauseLong Server 1_500 AllModels(ModelAction::Pause(1_750));
    RouteAdded Config 4_500 Config(ConfigAction::AddRoute);
    RouteMoved Config 4_500 Config(ConfigAction::MoveRoute);
    WeightsChanged Config 3_000 Config(ConfigAction::ShareRoute);
    TimeoutChanged Config 3_000 Config(ConfigAction::LongerTimeout);
    KeyRemoved Config 4_500 Config(ConfigAction::RemoveKey);
    IdleLimitChanged Config 3_000 Config(ConfigAction::LongerIdle);
    CallersLeave Callers 2_500 Callers(CallerMood::Leave);
    CallersHalfClose Callers 2_000 Callers(CallerMood::HalfClose);
    CallersRepeat Callers 2_500 Callers(CallerMood::Repeat);
    CallersSlowBody Callers 2_500 Callers(CallerMood::SlowBody);
    CallersPipeline Callers 2_500 Callers(CallerMood::Pipeline);
    PoisonRequest Callers 3_000 Callers(CallerMood::Poison);
}

impl FaultAction {
    /// True when both cannot act on one subject at the same time, since the end of one would end the
    /// other.
    pub fn excludes(self, other: Self) -> bool {
        match (self, other) {
            (Self::Process(_), Self::Process(_))
            | (Self::ServerLinks(_), Self::ServerLinks(_))
            | (Self::Store(_), Self::Store(_))
            | (Self::AllStoreLinks(_), Self::AllStoreLinks(_))
            | (Self::Plain(_), Self::Plain(_))
            | (Self::Model(_), Self::Model(_))
            | (Self::AllModels(_), Self::AllModels(_)) => true,
            (Self::Link(one, _), Self::Link(two, _)) => one == two,
            (Self::Server(one), Self::Server(two)) => {
                let is_crash = |action| {
                    matches!(
                        action,
                        ServerAction::Crash
                            | ServerAction::CrashKeepingId
                            | ServerAction::SayLeaving
                    )
                };
                is_crash(one)
                    || is_crash(two)
                    || std::mem::discriminant(&one) == std::mem::discriminant(&two)
            }
            (one, two) => one == two,
        }
    }
}

impl SoakFault {
    /// True for faults under which servers fall silent or answer slowly, but give up no answer. Such a
    /// server is sound.
    pub fn is_silence(self) -> bool {
        const SILENCES: [SoakFault; 10] = [
            SoakFault::ServerSlow,
            SoakFault::ServerPauses,
            SoakFault::ServerLeaves,
            SoakFault::ServerRests,
            SoakFault::ModelPauses,
            SoakFault::ModelPausesFirst,
            SoakFault::ModelsPause,
            SoakFault::ModelsPauseFirst,
            SoakFault::ModelsPauseLong,
            SoakFault::ModelSlow,
        ];
        SILENCES.contains(&self)
    }
}

impl SoakFault {
    /// True for faults that cut a daemon off from all servers. For the rules it stays in touch.
    pub fn is_path_loss(self) -> bool {
        matches!(
            self,
            Self::ServersSilent | Self::ServersReset | Self::ServersRefuse
        )
    }
}

impl FaultRow {
    /// Time for which the fault lasts.
    pub fn span(&self) -> Duration {
        Duration::from_millis(self.millis)
    }
}

impl fmt::Display for SoakFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl FromStr for SoakFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut rows = FAULT_TABLE.iter();
        let row = rows.find(|row| row.kind.to_string() == text);
        row.map(|row| row.kind)
            .ok_or_else(|| format!("there is no fault {text}"))
    }
}

/// Two faults that are played together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPair(pub SoakFault, pub SoakFault);

impl FaultPair {
    /// Rows of the table for both faults.
    pub fn rows(self) -> [FaultRow; 2] {
        let row = |kind| {
            let mut rows = FAULT_TABLE.iter();
            *rows
                .find(|row| row.kind == kind)
                .expect("the table holds all faults")
        };
        [row(self.0), row(self.1)]
    }
}

impl fmt::Display for FaultPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.0, self.1)
    }
}

impl FromStr for FaultPair {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let ends = text.split_once('+');
        let (first, second) = ends.ok_or_else(|| format!("{text} is no pair such as A+B"))?;
        Ok(Self(first.parse()?, second.parse()?))
    }
}

/// Seed of the order of all pairs, which all runs share.
const PAIR_ORDER_SEED: u64 = 11;

/// Pairs of different faults that the run with this seed plays. The runs with the seeds 0, 1, 2, ...
/// take one stretch of the same list after the other, so that together they play every pair.
pub fn pairs_of_seed(seed: u64, count: usize) -> Vec<FaultPair> {
    let mut pairs = Vec::new();
    for (number, first) in FAULT_TABLE.iter().enumerate() {
        for second in &FAULT_TABLE[number + 1..] {
            pairs.push(FaultPair(first.kind, second.kind));
        }
    }
    fastrand::Rng::with_seed(PAIR_ORDER_SEED).shuffle(&mut pairs);
    let start = (seed as usize % pairs.len()) * count;
    let numbers = (start..start + count).map(|number| number % pairs.len());
    numbers.map(|number| pairs[number]).collect()
}
