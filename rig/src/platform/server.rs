//! The platform's HTTP interface, its faults and its call counts.

use crate::platform::gateway;
use crate::platform::keyspace::KeySpace;
use crate::platform::listing::LaggedList;
use crate::platform::weights::TransferLine;
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
    /// Never answer a call of the key-value service.
    pub hang: bool,
    /// Let this many writes take effect and lose their replies.
    pub lose_replies: u32,
    /// Lose only replies to writes of keys that start with this; empty for all replies.
    pub lose_prefix: String,
    /// Answer reads with the value before the last change.
    pub stale_reads: bool,
    /// Answer reads as of this revision of the store, all keys alike; 0 for the present.
    pub stale_as_of: i64,
    /// Writes allowed a second, 0 for no limit.
    pub writes_per_second: u32,
    /// Age of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Refuse every call of the instance list.
    pub list_outage: bool,
    /// Rate of the weight store, in bytes a second; 0 stands for 1 GB a second.
    pub weight_rate: u64,
    /// Ends all leases, once.
    pub lapse_leases: bool,
}

/// Rate of the weight store when none is set, in bytes a second.
const DEFAULT_WEIGHT_RATE: u64 = 1_000_000_000;
/// Time for which a hanging call waits.
const HANG_TIME: Duration = Duration::from_secs(3_600);

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
    weights: TransferLine,
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
        gateway::add_routes(&mut app);
        app.at("/v1/instances").get(answer_list);
        app.at("/v1/weights/:model/:version").get(answer_weights);
        app.at("/admin/instances").put(put_instance);
        app.at("/admin/instances/:instance").delete(delete_instance);
        app.at("/admin/knobs").post(set_knobs);
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

    fn count(&self, name: &str) {
        let mut calls = self.0.calls.lock().expect("call lock is never poisoned");
        *calls.entry(name.to_owned()).or_default() += 1;
    }

    /// Counts a call and applies the knobs; the refusal, if it is refused.
    pub(super) async fn admit(&self, name: &str, writes: bool) -> Option<Response> {
        self.count(name);
        let knobs = self.knobs();
        task::sleep(Duration::from_millis(knobs.delay_ms)).await;
        if knobs.hang {
            task::sleep(HANG_TIME).await;
        }
        if knobs.outage {
            return Some(Response::new(StatusCode::ServiceUnavailable));
        }
        let over =
            writes && knobs.writes_per_second > 0 && !self.take_write(knobs.writes_per_second);
        if over {
            self.count("refused");
            return Some(Response::new(StatusCode::TooManyRequests));
        }
        None
    }

    fn take_write(&self, limit: u32) -> bool {
        let mut window = self.0.window.lock().expect("window lock is never poisoned");
        let fresh = window
            .start
            .is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if fresh {
            *window = WriteWindow {
                start: Some(Instant::now()),
                writes: 0,
            };
        }
        window.writes += 1;
        window.writes <= limit
    }

    /// Answers a call that has taken effect, unless its reply is to be lost.
    pub(super) async fn reply<T: Serialize>(&self, value: &T) -> tide::Result {
        self.reply_about("", value).await
    }

    /// Answers a call about a key, unless its reply is to be lost.
    pub(super) async fn reply_about<T: Serialize>(&self, key: &str, value: &T) -> tide::Result {
        let lose = {
            let mut knobs = self.0.knobs.lock().expect("knob lock is never poisoned");
            let lose = knobs.lose_replies > 0 && key.starts_with(&knobs.lose_prefix);
            if lose {
                knobs.lose_replies -= 1;
            }
            lose
        };
        if lose {
            self.count("lost");
            task::sleep(HANG_TIME).await;
        }
        Ok(json_response(StatusCode::Ok, value))
    }
}

async fn answer_list(request: Request<PlatformStandIn>) -> tide::Result {
    let platform = request.state();
    platform.count("list");
    let knobs = platform.knobs();
    if knobs.list_outage {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let list = platform.0.list.lock().expect("list lock is never poisoned");
    let rows = list.read(Duration::from_millis(knobs.list_lag_ms));
    Ok(json_response(StatusCode::Ok, &rows))
}

async fn put_instance(mut request: Request<PlatformStandIn>) -> tide::Result {
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

async fn delete_instance(request: Request<PlatformStandIn>) -> tide::Result {
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

async fn set_knobs(mut request: Request<PlatformStandIn>) -> tide::Result {
    let changes: serde_json::Map<String, serde_json::Value> = request.body_json().await?;
    let platform = request.state();
    let lapse = {
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
    if lapse {
        platform.keys().revoke_all();
    }
    Ok(json_response(StatusCode::Ok, &platform.knobs()))
}

/// Query of a weight transfer.
#[derive(Debug, Deserialize)]
struct WeightQuery {
    bytes: u64,
}

async fn answer_weights(request: Request<PlatformStandIn>) -> tide::Result {
    let query: WeightQuery = request.query()?;
    let platform = request.state();
    platform.count("weights");
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
