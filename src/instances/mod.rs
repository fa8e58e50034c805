//! The platform's instance list.

mod list;

pub use list::{
    InstanceClient, InstanceList, InstanceRole, InstanceRow, InstanceState, InstanceTable,
};
