//! HTTP interface of the platform, with its faults and call counts.

use crate::platform::instance_list::LaggedList;
use crate::platform::key_value_api;
use crate::platform::keyspace::KeySpace;
use crate::platform::weights::TransferQueue;
use crate::web::json_response;
use arbutusmount::{ConnectionCount, InstanceId, InstanceRow, serve_http};
use async_std::net::TcpListener;
use async_std::task;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// Behaviour of the platform; can be changed while it runs.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformKnobs {
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Refuse every call of the key-value service.
    pub outage: bool,
    /// Leave calls of the key-value service without a reply.
    pub hang: bool,
    /// Number of calls that take effect and whose replies are lost.
    pub lose_replies: u32,
    /// Lose only replies about keys that start with this; empty for all replies.
    pub lose_prefix: String,
    /// Reads return the value of each key before its last change.
    pub stale_reads: bool,
    /// Reads return all keys as of this revision of the store; 0 for the present.
    pub stale_as_of: i64,
    /// Writes allowed per second; 0 for no limit.
    pub writes_per_second: u32,
    /// Age of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Refuse every call of the instance list.
    pub list_outage: bool,
    /// Rate of the weight store, in bytes per second; 0 stands for 1 GB per second.
    pub weight_rate: u64,
    /// Ends all leases, once; reads as false afterwards.
    pub lapse_leases: bool,
}

/// Rate of the weight store when none is set, in bytes per second.
const DEFAULT_WEIGHT_RATE: u64 = 1_000_000_000;
/// Time for which a call without a reply is kept open.
const HANG_PERIOD: Duration = Duration::from_secs(3_600);

/// Writes counted since the start of the current second.
#[derive(Debug, Default)]
struct WriteWindow {
    start: Option<Instant>,
    writes: u32,
}

#[derive(Default)]
struct PlatformInner {
    knobs: Mutex<PlatformKnobs>,
    keys: Mutex<KeySpace>,
    list: Mutex<LaggedList>,
    calls: Mutex<BTreeMap<String, u64>>,
    window: Mutex<WriteWindow>,
    weights: TransferQueue,
}

/// A stand-in platform; cheap to clone.
#[derive(Clone, Default)]
pub struct PlatformStandIn(Arc<PlatformInner>);

impl std::fmt::Debug for PlatformStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformStandIn").finish_non_exhaustive()
    }
}

impl PlatformStandIn {
    /// Creates a platform.
    pub fn new(knobs: PlatformKnobs) -> Self {
        let inner = PlatformInner {
            knobs: Mutex::new(knobs),
            ..PlatformInner::default()
        };
        Self(Arc::new(inner))
    }

    /// Serves on `listener` until the task is cancelled.
    ///
    /// # Errors
    /// Only when the listener is closed.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut app = tide::with_state(self);
        key_value_api::add_routes(&mut app);
        app.at("/v1/instances").get(handle_list);
        app.at("/v1/weights/:model/:version").get(handle_weights);
        app.at("/admin/instances").put(handle_put_instance);
        app.at("/admin/instances/:instance")
            .delete(handle_delete_instance);
        app.at("/admin/knobs").post(handle_knobs);
        app.at("/admin/calls")
            .get(|request: Request<Self>| async move {
                let calls = request
                    .state()
                    .0
                    .calls
                    .lock()
                    .expect("call lock is never poisoned");
                Ok(json_response(StatusCode::Ok, &*calls))
            });
        serve_http(listener, app, ConnectionCount::default()).await
    }

    pub(super) fn keys(&self) -> MutexGuard<'_, KeySpace> {
        self.0.keys.lock().expect("key lock is never poisoned")
    }

    pub(super) fn knobs(&self) -> PlatformKnobs {
        self.0
            .knobs
            .lock()
            .expect("knob lock is never poisoned")
            .clone()
    }

    fn count_call(&self, name: &str) {
        let mut calls = self.0.calls.lock().expect("call lock is never poisoned");
        *calls.entry(name.to_owned()).or_default() += 1;
    }

    /// Counts a call and applies the knobs; returns the response if the call is refused.
    pub(super) async fn admit(&self, name: &str, writes: bool) -> Option<Response> {
        self.count_call(name);
        let knobs = self.knobs();
        task::sleep(Duration::from_millis(knobs.delay_ms)).await;
        if knobs.hang {
            task::sleep(HANG_PERIOD).await;
        }
        if knobs.outage {
            return Some(Response::new(StatusCode::ServiceUnavailable));
        }
        let is_over_limit =
            writes && knobs.writes_per_second > 0 && !self.try_write(knobs.writes_per_second);
        if is_over_limit {
            self.count_call("refused");
            return Some(Response::new(StatusCode::TooManyRequests));
        }
        None
    }

    /// Counts a write; false when it exceeds `limit` writes per second.
    fn try_write(&self, limit: u32) -> bool {
        let mut window = self.0.window.lock().expect("window lock is never poisoned");
        let has_ended = window
            .start
            .is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if has_ended {
            *window = WriteWindow {
                start: Some(Instant::now()),
                writes: 0,
            };
        }
        window.writes += 1;
        window.writes <= limit
    }

    /// Replies to a call that has taken effect, unless the reply is to be lost.
    pub(super) async fn reply<T: Serialize>(&self, value: &T) -> tide::Result {
        self.reply_for_key("", value).await
    }

    /// Replies to a call about a key that has taken effect, unless the reply is to be lost.
    pub(super) async fn reply_for_key<T: Serialize>(&self, key: &str, value: &T) -> tide::Result {
        let is_lost = {
            let mut knobs = self.0.knobs.lock().expect("knob lock is never poisoned");
            let is_lost = knobs.lose_replies > 0 && key.starts_with(&knobs.lose_prefix);
            if is_lost {
                knobs.lose_replies -= 1;
            }
            is_lost
        };
        if is_lost {
            self.count_call("lost");
            task::sleep(HANG_PERIOD).await;
        }
        Ok(json_response(StatusCode::Ok, value))
    }
}

async fn handle_list(request: Request<PlatformStandIn>) -> tide::Result {
    let platform = request.state();
    platform.count_call("list");
    let knobs = platform.knobs();
    if knobs.list_outage {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let list = platform.0.list.lock().expect("list lock is never poisoned");
    let rows = list.read(Duration::from_millis(knobs.list_lag_ms));
    Ok(json_response(StatusCode::Ok, &rows))
}

async fn handle_put_instance(mut request: Request<PlatformStandIn>) -> tide::Result {
    let row: InstanceRow = request.body_json().await?;
    request
        .state()
        .0
        .list
        .lock()
        .expect("list lock is never poisoned")
        .put(row);
    Ok(json_response(StatusCode::Ok, &serde_json::json!({})))
}

async fn handle_delete_instance(request: Request<PlatformStandIn>) -> tide::Result {
    let instance: InstanceId = request.param("instance")?.parse()?;
    request
        .state()
        .0
        .list
        .lock()
        .expect("list lock is never poisoned")
        .remove(&instance);
    Ok(json_response(StatusCode::Ok, &serde_json::json!({})))
}

async fn handle_knobs(mut request: Request<PlatformStandIn>) -> tide::Result {
    let changes: serde_json::Map<String, serde_json::Value> = request.body_json().await?;
    let platform = request.state();
    let ends_leases = {
        let mut knobs = platform
            .0
            .knobs
            .lock()
            .expect("knob lock is never poisoned");
        let mut value = serde_json::to_value(&*knobs)?;
        for (name, change) in changes {
            value[name] = change;
        }
        *knobs = serde_json::from_value(value)?;
        std::mem::take(&mut knobs.lapse_leases)
    };
    if ends_leases {
        platform.keys().revoke_all();
    }
    Ok(json_response(StatusCode::Ok, &platform.knobs()))
}

/// Query of `/v1/weights`.
#[derive(Debug, Deserialize)]
struct WeightQuery {
    bytes: u64,
}

async fn handle_weights(request: Request<PlatformStandIn>) -> tide::Result {
    let query: WeightQuery = request.query()?;
    let platform = request.state();
    platform.count_call("weights");
    let rate = match platform.knobs().weight_rate {
        0 => DEFAULT_WEIGHT_RATE,
        rate => rate,
    };
    platform.0.weights.transfer(query.bytes, rate).await;
    Ok(json_response(
        StatusCode::Ok,
        &serde_json::json!({ "bytes": query.bytes }),
    ))
}
