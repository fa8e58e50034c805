//! Chat completions: validates and admits a request, runs the generation and sends the response,
//! streamed or complete.

mod call;
mod metrics;
mod outcome;
mod plugin;
mod render;
mod respond;
