//! The platform's instance list.

mod list;

pub use list::{
    InstanceClient, InstanceList, InstanceListCell, InstanceRole, InstanceRow, InstanceState,
};
