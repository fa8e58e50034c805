//! Plug-in that polls the platform's instance list and marks leaving targets, so that they get no
//! new requests.

use crate::http::SendError;
use crate::instances::{InstanceList, InstanceRole, InstanceRow, InstanceState};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::membership::leaving::{LeavingMarks, LeavingTarget};
use crate::membership::row::MemberRow;
use crate::units::MonoTime;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

inventory::submit! {
    PluginEntry { name: "membership.listing", install }
}

/// Last instance list read from the platform, without the marks from other sources.
#[derive(Debug, Default)]
struct PolledList {
    last: InstanceList,
    /// Why the list could not be read the last time.
    failure: Option<String>,
}

impl PolledList {
    /// Logs when the list cannot be read any more, or is read again, and when other rows than before cannot
    /// be read.
    fn log_changes(&mut self, read: &Result<InstanceList, SendError>) {
        let failure = read.as_ref().err().map(ToString::to_string);
        match (&failure, &self.failure) {
            (Some(cause), None) => log::warn!("cannot read the instance list: {cause}"),
            (None, Some(_)) => log::info!("the instance list is read again"),
            _ => {}
        }
        self.failure = failure;
        if let Ok(list) = read
            && list.malformed != self.last.malformed
        {
            let count = list.malformed.len();
            let first = list.malformed.first().map_or("none", |cause| cause);
            log::warn!("{count} rows of the instance list are malformed and ignored: {first}");
        }
    }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let period = Duration::from_millis(host.context.settings.timing.instances_ms);
    let spec = TimerSpec::new("instances", period);
    let polled = Arc::new(Mutex::new(PolledList::default()));
    host.add_timer(spec, move |context, _now| {
        let polled = Arc::clone(&polled);
        async move { read_instances(&context, &polled).await }
    });
    Ok(())
}

async fn read_instances(context: &Arc<KernelContext>, polled: &Mutex<PolledList>) {
    let read = context.instance_client.read().await;
    let list = {
        let mut polled = polled.lock().expect("list lock is never poisoned");
        polled.log_changes(&read);
        // While the list cannot be read, the last one remains in use.
        apply_list(context, &mut polled, read.ok())
    };
    context.instances.publish(list);
    refresh_targets(context);
}

/// Stores the list if one was read, and updates the marks. Returns the latest list with marked
/// targets set to leaving.
fn apply_list(
    context: &KernelContext,
    polled: &mut PolledList,
    read: Option<InstanceList>,
) -> InstanceList {
    context.members.update(|protocol, now| {
        let marks = protocol.leaving_marks_mut();
        if let Some(list) = read {
            mark_from_list(marks, &polled.last, &list, now);
            polled.last = list;
            marks.record_list_read(now);
            protocol.apply_platform_list(&listed_daemons(&polled.last), now);
        }
        let marks = protocol.leaving_marks_mut();
        mark_from_reports(context, marks, now);
        let mut list = polled.last.clone();
        apply_marks(marks, &mut list);
        list
    })
}

/// Marks targets that the list reports as leaving, and those that it no longer contains.
fn mark_from_list(
    marks: &mut LeavingMarks,
    last: &InstanceList,
    list: &InstanceList,
    now: MonoTime,
) {
    let leaving = targets(list).filter(|row| row.state == InstanceState::Leaving);
    for row in leaving {
        marks.mark(leaving_target(row), now);
    }
    let listed: BTreeSet<_> = list.instances.iter().map(leaving_target).collect();
    for row in targets(last) {
        let target = leaving_target(row);
        if !listed.contains(&target) {
            marks.mark(target, now);
        }
    }
}

/// Marks targets whose own reports say that they are leaving.
fn mark_from_reports(context: &KernelContext, marks: &mut LeavingMarks, now: MonoTime) {
    for target in context.targets.all() {
        if target.report().is_some_and(|report| report.leaving) {
            let (instance, address) = (target.instance.clone(), target.address);
            marks.mark(LeavingTarget { instance, address }, now);
        }
    }
}

fn apply_marks(marks: &LeavingMarks, list: &mut InstanceList) {
    for row in &mut list.instances {
        if row.role != InstanceRole::Router && marks.contains(&leaving_target(row)) {
            row.state = InstanceState::Leaving;
        }
    }
}

fn targets(list: &InstanceList) -> impl Iterator<Item = &InstanceRow> {
    let is_target = |row: &&InstanceRow| row.role != InstanceRole::Router;
    list.instances.iter().filter(is_target)
}

fn leaving_target(row: &InstanceRow) -> LeavingTarget {
    LeavingTarget {
        instance: row.instance.clone(),
        address: row.address,
    }
}

/// Returns the listed daemons as members, each with a flag that is true when it is listed as
/// leaving.
fn listed_daemons(list: &InstanceList) -> Vec<(MemberRow, bool)> {
    let routers = list
        .instances
        .iter()
        .filter(|row| row.role == InstanceRole::Router);
    let member = |row: &InstanceRow| {
        let is_leaving = row.state == InstanceState::Leaving;
        MemberRow::from_listed(row).map(|member| (member, is_leaving))
    };
    routers.filter_map(member).collect()
}

fn refresh_targets(context: &KernelContext) {
    let Some(config) = context.config.load() else {
        return;
    };
    let placements = &config.document().placements;
    context.targets.replace(
        placements
            .iter()
            .map(|row| (row.instance.clone(), row.address)),
    );
    let marked = context.members.marked_targets();
    for target in context.targets.all() {
        let (instance, address) = (target.instance.clone(), target.address);
        target.set_leaving(marked.contains(&LeavingTarget { instance, address }));
    }
}
