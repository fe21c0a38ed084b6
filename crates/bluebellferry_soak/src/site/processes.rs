//! The processes of VMs: starting, signalling and monitoring them.

use std::process::Command;
use std::process::Stdio;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_history::statement::FaultTarget;
use bluebellferry_standin_platform::deployment;
use rustix::process::Signal;

use super::READY_TIMEOUT;
use super::RunningSite;
use super::STOP_GRACE;
use super::VmSlot;
use crate::SoakError;
use crate::commands;
use crate::layout;

impl RunningSite {
    pub(super) async fn wait_ready(&self, slot: u8) -> Result<(), SoakError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let request = deployment::fetch_readiness(self.layout.readiness_address(slot));
            let answer = tokio::time::timeout(Duration::from_secs(1), request).await;
            if answer == Ok(Some(200)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(SoakError::NotReady(commands::vm_name(slot)))
    }

    pub(super) fn start_vm(&mut self, slot: u8) -> Result<(), SoakError> {
        let layout = &self.layout;
        let name = commands::vm_name(slot);
        let settings = deployment::vm_settings(&deployment::VmAddresses {
            vm: &name,
            address: layout.vm_address(slot).into(),
            data_centre: slot % 3,
            callers: layout.caller_address(slot),
            readiness: layout.readiness_address(slot),
            store_copies: (layout.vm_address(slot), layout::STORE_COPIES_PORT).into(),
            peer_ports: [layout::PEER_PORT, layout::METRICS_PORT],
            store: layout.store_relay(),
            promotion_api: layout.promotion_api_relay(slot),
            grace: STOP_GRACE,
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut log = std::fs::File::options();
        let log = log.create(true).append(true);
        let log = log.open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.programs.vm);
        command.arg("--settings").arg(&file).stdin(Stdio::null());
        let child = command.stderr(log.try_clone()?).stdout(log).spawn()?;
        let mut table = self
            .slot_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        table.processes.insert(slot, child.id());
        self.slots[usize::from(slot)] = VmSlot {
            child: Some(child),
            ..VmSlot::default()
        };
        self.recorded.starts.push(statement::VmStart {
            vm: name,
            started_us: recorder::now_us(),
        });
        Ok(())
    }

    /// Records processes that have exited, kills those that exceed their grace period,
    /// and starts those that are due.
    ///
    /// # Errors
    /// Fails when a process cannot be started.
    pub fn monitor_processes(&mut self) -> Result<(), SoakError> {
        for slot in 0..self.layout.slots {
            let vm = &mut self.slots[usize::from(slot)];
            let mut has_exited = vm.child.is_none();
            if let Some(child) = &mut vm.child
                && let Some(status) = child.try_wait()?
            {
                has_exited = true;
                vm.child = None;
                if vm.stop_requested_at.is_none() && !vm.is_killed {
                    let name = commands::vm_name(slot);
                    self.unexpected_exits
                        .push(format!("{name} exited unexpectedly: {status}"));
                    vm.start_at = Some(Instant::now());
                }
            }
            if let (Some(child), Some(stop_requested_at)) = (&mut vm.child, vm.stop_requested_at)
                && stop_requested_at.elapsed() > STOP_GRACE
                && !vm.is_killed
            {
                child.kill()?;
                vm.is_killed = true;
                let target = FaultTarget::Vm(commands::vm_name(slot));
                let since_us = recorder::now_us() - stop_requested_at.elapsed().as_micros() as u64;
                let mut faults = self.recorded.faults.iter();
                if !faults.any(|fault| fault.target == target && fault.ended_us >= since_us) {
                    let name = commands::vm_name(slot);
                    let description = format!("{name} did not stop within its grace period");
                    self.unexpected_exits.push(description);
                }
            }
            let is_due = vm
                .start_at
                .is_some_and(|start_at| start_at <= Instant::now());
            if has_exited && is_due {
                self.start_vm(slot)?;
            }
        }
        Ok(())
    }

    /// Returns the slot that serves the callers of an initial slot.
    pub(super) fn serving_slot(&self, slot: u8) -> u8 {
        let table = self
            .slot_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        table.successors.get(&slot).copied().unwrap_or(slot)
    }

    /// Sends a signal to the process in a slot, and returns whether there was one.
    pub(super) fn send_signal(&self, slot: u8, signal: Signal) -> bool {
        let child = self.slots[usize::from(slot)].child.as_ref();
        let process = child.map(rustix::process::Pid::from_child);
        // Signals to a zombie process succeed as well.
        process.is_some_and(|process| rustix::process::kill_process(process, signal).is_ok())
    }

    pub(super) fn record_signal(&mut self, slot: u8, is_stop: bool) {
        self.recorded.signals.push(statement::VmSignal {
            vm: commands::vm_name(slot),
            is_stop,
            sent_us: recorder::now_us(),
        });
    }

    pub(super) fn stop_vm(&mut self, slot: u8, downtime: Duration) {
        let slot = self.serving_slot(slot);
        if self.send_signal(slot, Signal::TERM) {
            // A further SIGTERM does not extend the grace period, so only the first is
            // recorded.
            if self.slots[usize::from(slot)].stop_requested_at.is_none() {
                self.record_signal(slot, true);
            }
            let vm = &mut self.slots[usize::from(slot)];
            vm.stop_requested_at.get_or_insert_with(Instant::now);
            vm.start_at = Some(Instant::now() + downtime);
        }
    }

    pub(super) fn kill_vm(&mut self, slot: u8, start_at: Option<Instant>) -> Result<(), SoakError> {
        let vm = &mut self.slots[usize::from(slot)];
        if let Some(child) = &mut vm.child {
            vm.is_killed = true;
            child.kill()?;
        }
        vm.start_at = start_at;
        Ok(())
    }

    /// Kills the VM that serves an initial slot, and starts another in an unused slot
    /// after `downtime`. Does nothing when no slot is unused.
    pub(super) fn replace_vm(&mut self, slot: u8, downtime: Duration) -> Result<(), SoakError> {
        let old_slot = self.serving_slot(slot);
        let slots = self
            .slots
            .iter()
            .enumerate()
            .skip(usize::from(self.initial_vms));
        let mut unused = slots.filter(|(_, vm)| vm.child.is_none() && vm.start_at.is_none());
        let Some(new_slot) = unused.next().map(|(slot, _)| slot) else {
            return Ok(());
        };
        self.kill_vm(old_slot, None)?;
        self.slots[new_slot].start_at = Some(Instant::now() + downtime);
        let mut table = self
            .slot_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        table.successors.insert(slot, new_slot as u8);
        Ok(())
    }
}
