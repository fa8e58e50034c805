//! Chat completions: checks a request, admits it, runs the generation and answers, streamed or
//! whole.

mod call;
mod metrics;
mod outcome;
mod plugin;
mod render;
mod respond;
