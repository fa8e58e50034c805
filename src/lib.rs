//! Arbutusmount: a router for model pipelines over mixed accelerators.
//!
//! The library holds every part of the daemon; `arbutusmountd` and `arbutusmount` are thin programs
//! around it.

mod api;
mod check;
mod claims;
mod config;
mod engine;
mod http;
mod ids;
mod kernel;
mod membership;
mod operator;
mod peer;
mod platform;
mod reconcile;
mod routing;
mod settings;
mod store;
mod telemetry;
mod units;

pub use api::{
    AddressAnswer, AddressRow, ChatChoice, ChatMessage, ChatRequest, ChatResponse, ChatUsage,
    ConfirmReply, IncompleteMessage, ModelStatus, PlanRequest, StatusReply,
};
pub use check::{CheckError, CheckFault, FieldKind, FieldRule, check_document};
pub use claims::{ClaimOutcome, ClaimRecord, ClaimRequest, ClaimTicket};
pub use config::{
    AcceptedConfig, AdoptOutcome, CONFIG_KEY, ConfigCell, ConfigDocument, EngineOffer,
    FleetDeclaration, FleetPlan, ModelEntry, ModelSpec, PlacementError, PlanChange, PlanCost,
    ServiceSpec, StagePlacement, TeamSpec, TokenDigest, digest_token, make_plan, place_models,
};
pub use engine::{
    ActivationReply, ActivationRequest, CancelRequest, ChainStage, EngineClient, EngineError,
    EngineEvent, EngineOrder, EngineReport, EngineStream, FinishCause, GenerateRequest, HeldStage,
    OrderReply, PipelineWork, StagePhase, StageProgress, StreamRecord,
};
pub use http::{
    CallerWatch, ConnectionCount, ConnectionPool, ConnectionReuse, HttpCall, HttpReply,
    ProblemAnswer, ProblemKind, RunOutcome, SendError, SseReader, encode_event, read_body,
    serve_http, sse_response,
};
pub use ids::{
    AttemptNumber, ConfigRevision, DomainId, FenceNumber, IdError, InstanceId, LeaseId, ModelId,
    PlanId, RequestId, ServiceId, TeamId, TokenPosition, VersionId,
};
pub use kernel::{
    DaemonError, DaemonHandle, DaemonPhase, KernelContext, LifecycleCell, MonoClock, PluginEntry,
    PluginError, PluginHost, TimerJob, TimerService, TimerSpec, WebApp, run_daemon, start_daemon,
};
pub use operator::{AskRequest, OperatorClient, OperatorCommand, OperatorError, run_command};
pub use peer::{
    FrameKind, HandshakeError, PeerError, PeerFrame, PeerHandlers, PeerTopic, PeerTransport,
    serve_peers,
};
pub use platform::{
    InstanceClient, InstanceList, InstanceRole, InstanceRow, InstanceState, InstanceTable,
};
pub use reconcile::{LeaderCell, LeaderState};
pub use routing::{
    AnswerEvent, AnswerStream, AttemptEvent, AttemptFailure, AttemptMachine, AttemptNotice,
    AttemptStep, AwaitedStep, ChainChoice, ChainQuery, ChainWish, DeliveryState, DeliveryStep,
    FinalAnswer, FlightGuard, FlowWeights, GapEstimate, GenerationRequest, GrantTable, GraphTable,
    LoadDigest, LoadRow, MachineSpec, ModelGraph, OwnHistory, PoisonEntry, PoisonFingerprint,
    PoisonTable, PolicyError, PolicyName, RoutingMetrics, RoutingSettings, RoutingState, StageEdge,
    StageFault, StageKey, StageProbe, StepRate, TargetHealth, TargetLoad, TargetReservation,
    TargetState, TargetTable, choose_chain, engine_key, expected_micros, judge_probes, pick_reader,
    run_generation, start_generation, weigh_flows,
};
pub use settings::{
    BoundSettings, DaemonSettings, LogSettings, PlatformSettings, TimingSettings, TraceSettings,
};
pub use store::{
    CompareClause, EventKind, ExpectedRevision, KeyValue, LeaseGrantReply, LeaseGrantRequest,
    LeaseKeepAliveReply, LeaseRequest, RangeReply, RangeRequest, ReplyHeader, StoreClient,
    StoreError, StoreEvent, StoreRecord, StoreWatch, SwapOutcome, TxnOperation, TxnOperationReply,
    TxnReply, TxnRequest, WatchCreate, WatchFrame, WatchReply, WatchRequest, WireEvent, WireInt,
    decode_bytes, encode_bytes,
};
pub use telemetry::{
    LogError, MetricSet, SpanGuard, SpanOutcome, SpanRecord, TraceContext, TraceSink, init_logging,
};
pub use units::{ByteSize, LayerRange, MonoTime, TokenRate, UnitError};
