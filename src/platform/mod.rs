//! The platform's instance list.

mod instances;

pub use instances::{
    InstanceClient, InstanceList, InstanceRole, InstanceRow, InstanceState, InstanceTable,
};
