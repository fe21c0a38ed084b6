//! Processes of VMs: started, signalled and ended by their ids.

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

use super::GRACE;
use super::READY_LIMIT;
use super::RunningSite;
use super::VmPlace;
use crate::SoakError;
use crate::layout;
use crate::orders;

impl RunningSite {
    pub(super) async fn wait_ready(&self, place: u8) -> Result<(), SoakError> {
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
            let asking = deployment::readiness(self.layout.readiness(place));
            let answer = tokio::time::timeout(Duration::from_secs(1), asking).await;
            if answer == Ok(Some(200)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(SoakError::NotReady(orders::vm_name(place)))
    }

    pub(super) fn start_vm(&mut self, place: u8) -> Result<(), SoakError> {
        let layout = &self.layout;
        let name = orders::vm_name(place);
        let settings = deployment::vm_settings(&deployment::VmAddresses {
            vm: &name,
            address: layout.vm(place).into(),
            data_centre: place % 3,
            callers: layout.callers(place),
            readiness: layout.readiness(place),
            store_copies: (layout.vm(place), layout::COPIES_PORT).into(),
            peer_ports: [layout::PEER_PORT, layout::METRICS_PORT],
            store: layout.store_relay(),
            promotion_api: layout.duty_relay(place),
            grace: GRACE,
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut log = std::fs::File::options();
        let log = log.create(true).append(true);
        let log = log.open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.programs.vm);
        command.arg("--settings").arg(&file).stdin(Stdio::null());
        let child = command.stderr(log.try_clone()?).stdout(log).spawn()?;
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.processes.insert(place, child.id());
        self.places[usize::from(place)] = VmPlace {
            child: Some(child),
            ..VmPlace::default()
        };
        self.done.starts.push(statement::VmStart {
            vm: name,
            started_us: recorder::now_us(),
        });
        Ok(())
    }

    /// Starts processes that are due, and notes those that have ended.
    ///
    /// # Errors
    /// Fails when a process cannot be started.
    pub fn look_after_processes(&mut self) -> Result<(), SoakError> {
        for place in 0..self.layout.places {
            let vm = &mut self.places[usize::from(place)];
            let mut has_ended = vm.child.is_none();
            if let Some(child) = &mut vm.child
                && let Some(status) = child.try_wait()?
            {
                has_ended = true;
                vm.child = None;
                if vm.stopped.is_none() && !vm.is_killed {
                    let name = orders::vm_name(place);
                    self.ended.push(format!("{name} ended by itself: {status}"));
                    vm.starts = Some(Instant::now());
                }
            }
            if let (Some(child), Some(stopped)) = (&mut vm.child, vm.stopped)
                && stopped.elapsed() > GRACE
                && !vm.is_killed
            {
                child.kill()?;
                vm.is_killed = true;
                let target = FaultTarget::Vm(orders::vm_name(place));
                let since_us = recorder::now_us() - stopped.elapsed().as_micros() as u64;
                let mut faults = self.done.faults.iter();
                if !faults.any(|fault| fault.target == target && fault.ended_us >= since_us) {
                    let name = orders::vm_name(place);
                    let ended = format!("{name} did not stop within its grace");
                    self.ended.push(ended);
                }
            }
            let is_due = vm.starts.is_some_and(|starts| starts <= Instant::now());
            if has_ended && is_due {
                self.start_vm(place)?;
            }
        }
        Ok(())
    }

    /// Returns the place that serves the callers of a first place.
    pub(super) fn current(&self, place: u8) -> u8 {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.successors.get(&place).copied().unwrap_or(place)
    }

    pub(super) fn signal(&self, place: u8, signal: Signal) -> bool {
        let child = self.places[usize::from(place)].child.as_ref();
        let process = child.map(rustix::process::Pid::from_child);
        // A process that has ended but was not waited for takes signals too.
        process.is_some_and(|process| rustix::process::kill_process(process, signal).is_ok())
    }

    pub(super) fn note_signal(&mut self, place: u8, is_stop: bool) {
        self.done.signals.push(statement::VmSignal {
            vm: orders::vm_name(place),
            is_stop,
            sent_us: recorder::now_us(),
        });
    }

    pub(super) fn stop(&mut self, place: u8, lasts: Duration) {
        let place = self.current(place);
        if self.signal(place, Signal::TERM) {
            // A further signal gives a process that is stopping no more time.
            if self.places[usize::from(place)].stopped.is_none() {
                self.note_signal(place, true);
            }
            let vm = &mut self.places[usize::from(place)];
            vm.stopped.get_or_insert_with(Instant::now);
            vm.starts = Some(Instant::now() + lasts);
        }
    }

    pub(super) fn kill(&mut self, place: u8, starts: Option<Instant>) -> Result<(), SoakError> {
        let vm = &mut self.places[usize::from(place)];
        if let Some(child) = &mut vm.child {
            vm.is_killed = true;
            child.kill()?;
        }
        vm.starts = starts;
        Ok(())
    }

    pub(super) fn replace(&mut self, place: u8, lasts: Duration) -> Result<(), SoakError> {
        let old = self.current(place);
        let places = self.places.iter().enumerate().skip(usize::from(self.vms));
        let mut unused = places.filter(|(_, vm)| vm.child.is_none() && vm.starts.is_none());
        let Some(new) = unused.next().map(|(place, _)| place) else {
            return Ok(());
        };
        self.kill(old, None)?;
        self.places[new].starts = Some(Instant::now() + lasts);
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.successors.insert(place, new as u8);
        Ok(())
    }
}
