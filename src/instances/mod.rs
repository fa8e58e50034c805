//! The instance list of the platform and its client.

mod list;

pub use list::{
    InstanceClient, InstanceList, InstanceListCell, InstanceRole, InstanceRow, InstanceState,
};
