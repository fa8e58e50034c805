//! Plug-in for `POST /v1/chat/completions`.

use crate::api::chat::call::ChatCall;
use crate::api::chat::metrics::ChatMetrics;
use crate::api::chat::respond::{complete_response, stream_response};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use std::sync::Arc;
use tide::{Request, Response};

inventory::submit! {
    PluginEntry { name: "api.chat", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let metrics = ChatMetrics::new(&host.context.metrics)?;
    host.app.at("/v1/chat/completions").post(move |request| {
        let metrics = metrics.clone();
        async move { Ok(handle_chat(request, metrics).await) }
    });
    Ok(())
}

async fn handle_chat(mut request: Request<Arc<KernelContext>>, metrics: ChatMetrics) -> Response {
    match ChatCall::prepare(&mut request).await {
        Err(problem) => {
            metrics.count(&problem.outcome.to_string());
            problem.to_response().into()
        }
        Ok(call) if call.stream => stream_response(call, metrics).await,
        Ok(call) => complete_response(call, metrics).await,
    }
}
