//! Progress of a maintenance wave in the data centre.

use super::StepView;
use super::draft::RecordDraft;
use crate::config::WaveRequest;
use crate::decide::planner::wave_should_stop;
use crate::fleet::DrainPurpose;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::fleet::WaveProgress;

/// Returns the wave that operators have requested, if the record has its progress.
fn current<'a>(view: &StepView<'a>) -> Option<(&'a WaveRequest, &'a WaveProgress)> {
    let request = view.config.wave.as_ref()?;
    let progress = view.fleet.wave.as_ref()?;
    (request.id == progress.id).then_some((request, progress))
}

/// Returns whether the wave is running, which allows its planned stops to start.
pub(super) fn is_running(view: &StepView<'_>) -> bool {
    current(view).is_some_and(|(request, progress)| request.running && progress.stopped.is_none())
}

/// Returns whether the running wave still has to maintain a VM.
pub(super) fn is_due(view: &StepView<'_>, vm: &VmRecord) -> bool {
    let request = current(view).map(|(request, _)| request);
    is_running(view) && request.is_some_and(|request| needs_maintenance(request, vm))
}

/// Returns whether the wave covers a VM's pool and started after its last maintenance.
fn needs_maintenance(request: &WaveRequest, vm: &VmRecord) -> bool {
    let covered = request.pools.is_empty() || request.pools.contains(&vm.pool);
    covered && vm.maintained_ms < request.started_ms
}

/// Adds the progress of a wave that operators have started to the record.
pub(super) fn start(view: &StepView<'_>, draft: &mut RecordDraft<'_>) {
    let Some(request) = view.config.wave.as_ref().filter(|wave| wave.running) else {
        return;
    };
    let known = draft.record.wave.as_ref();
    if known.is_some_and(|wave| wave.id == request.id) || !draft.has_space() {
        return;
    }
    draft.record.wave = Some(WaveProgress {
        id: request.id.clone(),
        since_ms: view.now_ms,
        ..WaveProgress::default()
    });
    let subject = format!("wave/{}", request.id);
    let text = format!("dc={}", view.dc);
    draft.append_audit(subject, "started", String::new(), "running".into(), text);
}

/// Counts a planned stop that has started.
pub(super) fn count_started(draft: &mut RecordDraft<'_>) {
    if let Some(wave) = &mut draft.record.wave {
        wave.started += 1;
    }
}

/// Returns the wave in the record, if a VM was stopped after it began.
fn wave_of_stop<'a>(draft: &'a mut RecordDraft<'_>, vm: &VmRecord) -> Option<&'a mut WaveProgress> {
    let wave = draft.record.wave.as_mut();
    wave.filter(|wave| vm.since_ms >= wave.since_ms)
}

/// Counts a stopped VM that has returned to service.
pub(super) fn count_returned(draft: &mut RecordDraft<'_>, vm: &VmRecord) {
    if let Some(wave) = wave_of_stop(draft, vm) {
        wave.returned += 1;
    }
}

/// Counts a stopped VM that did not return to service, and stops the wave if too
/// many did not.
pub(super) fn count_failed(view: &StepView<'_>, draft: &mut RecordDraft<'_>, vm: &VmRecord) {
    let Some(wave) = wave_of_stop(draft, vm) else {
        return;
    };
    wave.failed += 1;
    let exceeded = wave_should_stop(wave, &view.config.maintenance);
    if !exceeded || wave.stopped.is_some() {
        return;
    }
    let text = format!("{} of {} VMs did not return", wave.failed, wave.started);
    wave.stopped = Some(text.clone());
    let subject = format!("wave/{}", wave.id);
    let reason = format!("dc={} text={text}", view.dc);
    draft.append_audit(
        subject,
        "stopped",
        "running".into(),
        "stopped".into(),
        reason,
    );
}

/// Marks the wave as ended once no VM is left to maintain.
///
/// VMs that have failed, are held, or drain to be held or to leave do not prevent
/// this.
pub(super) fn finish(view: &StepView<'_>, draft: &mut RecordDraft<'_>) {
    let Some(request) = view.config.wave.as_ref().filter(|wave| wave.running) else {
        return;
    };
    let Some(wave) = &draft.record.wave else {
        return;
    };
    let open = wave.id == request.id && wave.stopped.is_none() && !wave.ended;
    let mut vms = draft.record.vms.values();
    let left = vms.any(|vm| match &vm.state {
        VmState::Draining(DrainPurpose::Maintain(_)) | VmState::Stopped(_) => true,
        VmState::Serving | VmState::Draining(DrainPurpose::Move(_)) => {
            needs_maintenance(request, vm)
        }
        _ => false,
    });
    if !open || left || !draft.has_space() {
        return;
    }
    let subject = format!("wave/{}", wave.id);
    let reason = format!(
        "dc={} text=started {} returned {} failed {}",
        view.dc, wave.started, wave.returned, wave.failed
    );
    if let Some(wave) = &mut draft.record.wave {
        wave.ended = true;
    }
    draft.append_audit(subject, "ended", "running".into(), "ended".into(), reason);
}
