//! HTTP interface for callers and operators.

mod addresses;
mod auth;
mod chat;
mod health;
mod operator;
mod services;
mod wire;

pub use addresses::{AddressResponse, AddressRow};
pub use operator::{ConfirmResponse, ModelStatus, NextVersion, PlanRequest, StatusResponse};
pub use wire::{
    ChatChoice, ChatMessage, ChatRequest, ChatResponse, ChatUsage, MessageDelta, StreamOptions,
};
