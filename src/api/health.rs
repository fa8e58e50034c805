//! Plug-in for health, readiness and metrics.

use crate::kernel::{DaemonPhase, KernelContext, PluginEntry, PluginError, PluginHost};
use std::sync::Arc;
use tide::{Request, Response, StatusCode};

inventory::submit! {
    PluginEntry { name: "api.health", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    host.app.at("/healthz").get(|_request| async { Ok("ok\n") });
    host.app
        .at("/readyz")
        .get(|request| async move { Ok(handle_ready(&request)) });
    host.app
        .at("/metrics")
        .get(|request: Request<Arc<KernelContext>>| async move {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(request.state().metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            Ok(response)
        });
    Ok(())
}

fn handle_ready(request: &Request<Arc<KernelContext>>) -> Response {
    let phase = request.state().lifecycle.phase();
    let status = match phase {
        DaemonPhase::Ready => StatusCode::Ok,
        DaemonPhase::Starting | DaemonPhase::Draining => StatusCode::ServiceUnavailable,
    };
    let mut response = Response::new(status);
    response.set_body(format!("{phase}\n"));
    response
}
