//! Arbutusmount: a router for model pipelines over mixed accelerators.
//!
//! The library contains all parts of the daemon and of the command-line client; the programs
//! `arbutusmountd` and `arbutusmount` are thin wrappers around it.

mod admission;
mod api;
mod catalog;
mod check;
mod claims;
mod config;
mod engine;
mod feed;
mod gateway;
mod hash;
mod http;
mod ids;
mod instances;
mod kernel;
mod lending;
mod limits;
mod loads;
mod membership;
mod mirror;
mod operator;
mod paths;
mod peer;
mod placement;
mod poison;
mod presence;
mod reach;
mod reconcile;
mod relay;
mod routing;
mod settings;
mod snapshots;
mod store;
mod targets;
mod telemetry;
mod units;
mod wire;

pub use admission::{
    AdmissionDecision, AdmissionGate, AdmissionPermit, AdmissionRequest, AdmissionSettings,
    AdmissionTicket, BucketOutcome, CapacityQueue, CapacityRequest, CapacityStep, ConcurrencyLimit,
    DemandReport, DemandRow, DemandTable, FairOrder, FairQueue, LimitSettings, PriorityDemand,
    QueueBacklog, QueueOrder, QueueRequest, QueueSettings, TokenBucket, priority_headroom,
};
pub use api::{
    AddressResponse, AddressRow, ChatChoice, ChatMessage, ChatRequest, ChatResponse, ChatUsage,
    ConfirmResponse, MessageDelta, ModelStatus, NextVersion, PlanRequest, StatusResponse,
    StreamOptions,
};
pub use catalog::{
    AccessOutcome, CallerLimits, CardKind, CatalogCell, ModelShape, PriorityClass, RetryRule,
    RouteEntry, RouteShare, RoutingCatalog, ServiceEntry, TeamEntry,
};
pub use check::{CheckError, CheckFault, FieldKind, FieldRule, check_document, parse_json};
pub use claims::{
    AttemptState, CachedResponse, ChangeOrigin, ClaimAction, ClaimAttempt, ClaimDecision,
    ClaimEvent, ClaimGuard, ClaimMetrics, ClaimNode, ClaimOutcome, ClaimPage, ClaimRefusal,
    ClaimRequest, ClaimRow, ClaimService, ClaimSettings, ClaimTime, ClaimVerdict, DATED_SLOT_COUNT,
    KeyDigest, MAX_PAGE_CLAIMS, PageChange, PageSlot, PageWriter, SHARD_COUNT, UNDATED_PAGE_COUNT,
    UNDATED_RETENTION_S, WINDOW_MS, WriterAction, WriterCounts, choose_home,
};
pub use config::{
    AcceptedConfig, AdoptOutcome, AdoptionState, BackoffLimits, BundleError, CONFIG_KEY,
    CapacityChange, ChangeEntry, ConfigBundle, ConfigCell, ConfigDocument, ConfigHead,
    ConfigNotice, ConfigPull, ConfigReply, ConfigRequest, EngineCapacity, FleetDeclaration,
    FleetPlan, ModelEntry, ModelSpec, NoticeStep, OfferOutcome, PUSH_FANOUT, PlacementError,
    PlacementPlan, PlanChange, PlanCost, PlanInputs, PlanOutcome, REVISION_KEY, RetryBackoff,
    RolloutSpec, RouterCandidate, STORE_WATCHERS, SectionDigest, SectionMap, ServiceSpec,
    ServingVersion, StagePlacement, StoreDuty, StoreStep, TeamSpec, TokenDigest, advance_rollout,
    append_change, check_plan, count_replicas, diff_documents, digest_token, exchange_period,
    make_plan, place_best_effort, place_models, plan_outcome, rank_routers, read_head, store_duty,
};
pub use engine::{
    ActivationReply, ActivationRequest, CancelRequest, ChainStage, EngineClient, EngineError,
    EngineEvent, EngineOrder, EngineReport, EngineStream, FinishCause, GenerateRequest, HeldStage,
    OrderReply, PipelineWork, StagePhase, StageProgress, StreamRecord,
};
pub use feed::{
    FeedChange, FeedError, FeedFrame, FeedInbox, FeedPart, FeedParts, FeedStep, LIST_REST,
    ListRest, READERS_PER_DOMAIN, ReadingRole, StoreContactCell, count_readers, is_first_reader,
    next_snapshot_delay, reading_role, saving_role,
};
pub use gateway::{
    AddressReply, GatewayError, GatewayHandle, GatewayPorts, GatewayState, LayerOrder,
    OrderOutcome, StoreSchema, TargetCall, TargetPort, TargetPublisher, TargetRegistry,
    TargetReport, campaign_delay, start_gateway,
};
pub use http::{
    CallerWatch, ConnectionCount, ConnectionPool, ConnectionReuse, ExecutionOutcome, HttpCall,
    HttpResponse, ProblemKind, ProblemResponse, SendError, SseReader, encode_event, read_body,
    serve_http, sse_response,
};
pub use ids::{
    AttemptNumber, ConfigRevision, DomainId, FenceNumber, IdError, InstanceId, LeaseId, ModelId,
    PlanId, RequestId, ServiceId, StoreEra, TeamId, TokenPosition, VersionId,
};
pub use instances::{
    InstanceClient, InstanceList, InstanceListCell, InstanceRole, InstanceRow, InstanceState,
};
pub use kernel::{
    DaemonError, DaemonHandle, DaemonPhase, KernelContext, LifecycleCell, MonoClock, PluginEntry,
    PluginError, PluginHost, TimerJob, TimerService, TimerSpec, WebApp, run_daemon, start_daemon,
};
pub use lending::{RetryAsk, RetryLoan};
pub use limits::{
    KeeperTable, LimitCell, LimitChange, LimitRow, LimitStatement, PermitAsk, PermitGrant,
    PermitReply, TakeOutcome, choose_keeper,
};
pub use loads::{
    DemandTotals, LoadTable, PeerGroups, PeerOrigin, PriorityDemandRow, ReservationDigest,
    ReservationRow, demand_rows, service_hash, target_hash,
};
pub use membership::{
    AddressPlan, CallNumber, IncarnationNumber, LeavingMarks, LeavingTarget, MarkRecord,
    MemberCall, MemberChange, MemberMessage, MemberProtocol, MemberRecord, MemberRow,
    MemberService, MemberSettings, MemberState, MemberView, MemberViewCell, MessageKind,
    ProtocolCounts, ProtocolTiming, RequestStep, TeamShare, share_by_weight,
};
pub use mirror::{
    CommitOutcome, EraCell, EraReading, ExpiryHold, ItemGuard, ItemPage, ItemWrite, LeaseGrant,
    MirrorChange, MirrorDelta, MirrorSet, MirrorStep, PortError, PortFuture, PortResult,
    PrefixMirror, RemovalStep, RenewOutcome, RevisionNumber, StoreItem, StorePort,
    StoreTransaction, StoreVersion, WatchChange, WatchOutcome,
};
pub use operator::{
    AskRequest, OperatorClient, OperatorCommand, OperatorError, format_plan, format_status,
    run_command,
};
pub use peer::{
    FrameKind, HandshakeError, PeerError, PeerFrame, PeerHandlers, PeerTopic, PeerTransport,
    QuestionClient, serve_peers,
};
pub use placement::{
    LayerAssignment, OrderScheduler, PendingOrder, PlanInput, PlanScope, PlanStep, ServerPlacement,
    chain_rate, plan_layers, split_layers,
};
pub use poison::{
    CrashOutbox, CrashState, CrashedRun, HarmlessParts, OutboxRow, PartId, PoisonEntry,
    PoisonFingerprint, PoisonLimits, PoisonRow, PoisonTable, PoisonVerdict,
};
pub use presence::{LeaseSession, LeaseStep, PresenceRow, PresenceTable, RelayAccess};
pub use reach::{
    PathLoss, PeerReach, ReachCandidate, ReachCell, ReachChange, ReachStatement, ReachStep,
    ReachTracker,
};
pub use reconcile::{
    DrainTable, LeaderElection, LeaderLease, ObservedEngine, OrderPlan, PlannedOrder, plan_orders,
};
pub use relay::{
    BalancingSettings, BudgetLimits, ChainRequirement, DispatchMetadata, FlowCandidate, FlowTable,
    GatewayAdmission, GatewayBounds, GatewayListen, GatewaySettings, GatewayStore, LoadMetrics,
    LocalReply, MAX_RESERVED_SHARE, PeerDispatch, ProcessLimits, RefusalCause, RefusalPressure,
    RelayCodec, RelayContext, RelayFailure, RelayMetrics, ReplyMetadata, RequestMetadata,
    RetryBudget, RetryState, RetryStep, RoundRobin, ServiceChains, StallDetector, StallStep,
    TargetNotices, flow_shares, pick_chain, pick_target, return_delay,
};
pub use routing::{
    AnswerEvent, AnswerStream, AttemptEvent, AttemptFailure, AttemptLimits, AttemptMachine,
    AttemptNotice, AttemptStep, AwaitedStep, ChainChoice, ChainConstraints, ChainQuery,
    DeliveryState, DeliveryStep, FinalAnswer, FlowWeights, GapEstimate, GenerationRequest,
    GraphTable, InFlightGuard, InFlightHistory, IsolationGrants, LoadDigest, LoadRow, ModelGraph,
    PolicyError, PolicyName, RoutingMetrics, RoutingSettings, RoutingState, StageEdge, StageFault,
    StageKey, StageProbe, StepTiming, TargetHealth, TargetLoad, TargetReservation, TargetState,
    TargetTable, TokenMeter, choose_chain, choose_report_reader, compute_flow_weights,
    expected_token_micros, find_stage_faults, hash_engine_name, run_generation, start_generation,
};
pub use settings::{
    BoundSettings, DaemonSettings, LogSettings, PlatformSettings, TimingSettings, TraceSettings,
};
pub use snapshots::{
    FeedPosition, FeedRequest, PackingError, SnapshotItem, SnapshotReply, SnapshotRequest,
    pack_message, unpack_message,
};
pub use store::{
    CompareClause, EventKind, ExpectedRevision, JsonInt64, KeyValue, LeaseGrantReply,
    LeaseGrantRequest, LeaseKeepAliveReply, LeaseRequest, RangeReply, RangeRequest, ReplyHeader,
    StoreBatch, StoreClient, StoreError, StoreEvent, StoreRecord, StoreWatch, SwapOutcome,
    TxnOperation, TxnOperationReply, TxnReply, TxnRequest, WatchCreate, WatchFrame, WatchReply,
    WatchRequest, WireEvent, decode_bytes, encode_bytes,
};
pub use targets::{
    ChainPart, LayerChain, SheddingCell, TargetEntry, TargetPhase, TargetStats, TargetView,
    ViewCell, find_chains,
};
pub use telemetry::{
    EventLine, EventLog, LogError, MetricSet, SpanGuard, SpanOutcome, SpanRecord, TraceContext,
    TraceSink, init_logging,
};
pub use units::{ByteSize, LayerRange, MonoTime, RequestRate, TokenRate, UnitError};
pub use wire::{
    BodyDecoder, BodyError, BodyFraming, BodyStep, CallError, CompleteEvent, ConnectionPhase,
    EventSplitter, HeadBuilder, HeadError, HeadLimits, HeadOutcome, HeadStep, HoldStep, ReadError,
    ResponseBudget, ResponseHold, StreamError, StreamPool, UploadLimits, UploadTable, WireCall,
    WireClient, WireHead, WireResponse, WireStream, parse_request, parse_response,
    read_request_head,
};
