//! Plug-in that reads the platform's instance list and keeps new work away from leaving targets.

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

/// The list as it was read last, before other sources are laid over it.
#[derive(Debug, Default)]
struct ListReader {
    last: InstanceList,
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let period = Duration::from_millis(host.context.settings.timing.instances_ms);
    let spec = TimerSpec::new("instances", period);
    let reader = Arc::new(Mutex::new(ListReader::default()));
    host.add_timer(spec, move |context, _now| {
        let reader = Arc::clone(&reader);
        async move { read_instances(&context, &reader).await }
    });
    Ok(())
}

async fn read_instances(context: &Arc<KernelContext>, reader: &Mutex<ListReader>) {
    // While the list cannot be read, the last one stays in use.
    let read = context.instance_client.read().await.ok();
    let list = {
        let mut reader = reader.lock().expect("list lock is never poisoned");
        take_list(context, &mut reader, read)
    };
    context.instances.publish(list);
    refresh_targets(context);
}

/// Takes a list, if one was read; returns the newest one with the marks of leaving targets.
fn take_list(
    context: &KernelContext,
    reader: &mut ListReader,
    read: Option<InstanceList>,
) -> InstanceList {
    context.members.update(|protocol, now| {
        let marks = protocol.leaving_marks_mut();
        if let Some(list) = read {
            mark_listed(marks, &reader.last, &list, now);
            reader.last = list;
            marks.record_list_read(now);
            protocol.apply_platform_list(&listed_daemons(&reader.last), now);
        }
        let marks = protocol.leaving_marks_mut();
        mark_reported(context, marks, now);
        let mut list = reader.last.clone();
        apply_marks(marks, &mut list);
        list
    })
}

/// Marks targets that the list says are leaving, and those that it no longer names.
fn mark_listed(marks: &mut LeavingMarks, last: &InstanceList, list: &InstanceList, now: MonoTime) {
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

/// Marks engines whose own reports say that they are leaving.
fn mark_reported(context: &KernelContext, marks: &mut LeavingMarks, now: MonoTime) {
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

/// The daemons of the list as members not heard of yet, each with whether it is leaving.
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
