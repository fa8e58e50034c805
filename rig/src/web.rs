//! Small helpers for the stand-ins' HTTP interfaces.

use arbutusmount::{ConnectionPool, HttpCall, SendError};
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tide::{Body, Response, StatusCode};

/// Time allowed for a control call.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A JSON response with the given status.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value).expect("stand-in replies serialize"));
    response
}

fn admin_pool() -> &'static Arc<ConnectionPool> {
    static POOL: OnceLock<Arc<ConnectionPool>> = OnceLock::new();
    POOL.get_or_init(|| ConnectionPool::new(ADMIN_TIMEOUT, 4))
}

/// Reads JSON from a stand-in's control interface.
///
/// # Errors
/// [`SendError`] when there is no reply.
pub async fn admin_get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, SendError> {
    let call = HttpCall::new(address, Method::Get, path).timeout(ADMIN_TIMEOUT);
    admin_pool()
        .fetch(&call)
        .await
        .map(|(_status, value)| value)
}

/// Reads text, such as metrics, from a process.
///
/// # Errors
/// [`SendError`] when there is no reply or its status is not 200.
pub async fn admin_text(address: SocketAddr, path: &str) -> Result<String, SendError> {
    let call = HttpCall::new(address, Method::Get, path).timeout(ADMIN_TIMEOUT);
    let reply = admin_pool().send(&call).await?;
    let status = reply.status();
    let body = reply.bytes().await?;
    if status == 200 {
        Ok(String::from_utf8_lossy(&body).into_owned())
    } else {
        Err(SendError::BadResponse(format!("status {status}")))
    }
}

/// Sends JSON to a stand-in's control interface.
///
/// # Errors
/// [`SendError`] when there is no reply.
pub async fn admin_send<T: Serialize>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &T,
) -> Result<(), SendError> {
    let call = HttpCall::new(address, method, path)
        .json(body)
        .timeout(ADMIN_TIMEOUT);
    let reply = admin_pool().send(&call).await?;
    let status = reply.status();
    let _body = reply.bytes().await?;
    if status == 200 {
        Ok(())
    } else {
        Err(SendError::BadResponse(format!("status {status}")))
    }
}
