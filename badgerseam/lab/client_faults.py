"""Faults of clients: badly timed cancellations, invalid requests, immediate reads, and bursts."""

from __future__ import annotations

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler, fraction_of
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.load import UserLoad

MAX_HUNG = 8
"""Maximum number of the cancelled jobs' machines that hang."""


class ClientFaults:
    """Makes a lab's users cancel jobs, send invalid requests, read at once, or submit many jobs."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            "cancel-now": self._cancel_now,
            "cancel-at-end": self._cancel_at_end,
            "odd-requests": self._send_invalid_requests,
            "close-looks": self._read_after_write,
            "burst": self._multiply_arrivals,
            "night": self._submit_night,
        }

    def _cancel_now(self, fault: Fault) -> str:
        """Cancels the running jobs with the longest remaining run time, at about the same time."""
        clients = self._lab.adversarial_clients
        machines_by_job = clients.longest_remaining(fault.count)
        if not machines_by_job:
            raise LabError("cancel-now: no job runs")
        clients.cancel_now(list(machines_by_job))
        hung: list[str] = []
        if fault.for_s:
            names = {name for machines in machines_by_job.values() for name in machines}
            hung = self._hang_machines(fault, sorted(names))
        suffix = f"; {', '.join(hung)} hung for {fault.for_s:g} s" if hung else ""
        return f"cancelled {', '.join(machines_by_job)}{suffix}"

    def _hang_machines(self, fault: Fault, names: list[str]) -> list[str]:
        """Hangs some of these machines, drawn at random, and returns their names."""
        hung = sorted(self._lab.random.sample(names, min(MAX_HUNG, len(names))))
        for name in hung:
            machine = self._lab.machines[name]
            machine.hang()
            self._active.add(fault, f"{name} hung", machine.resume)
        return hung

    def _cancel_at_end(self, fault: Fault) -> str:
        """Cancels a fraction of the jobs at the moment when they end."""
        clients = self._lab.adversarial_clients
        clients.cancel_at_end_fraction = fraction_of(fault, "jobs that end")

        def revert() -> None:
            clients.cancel_at_end_fraction = 0.0

        return self._active.add(fault, "cancellations at the end", revert)

    def _send_invalid_requests(self, fault: Fault) -> str:
        clients = self._lab.adversarial_clients
        clients.send_invalid_requests(True)
        return self._active.add(fault, "odd requests", lambda: clients.send_invalid_requests(False))

    def _read_after_write(self, fault: Fault) -> str:
        """Makes users read a job from all controllers, several times, right after each answer."""
        clients = self._lab.read_after_write_clients
        clients.is_active = True

        def revert() -> None:
            clients.is_active = False

        return self._active.add(fault, "close looks", revert)

    def _multiply_arrivals(self, fault: Fault) -> str:
        load = self._running_load(fault)
        previous = load.factor
        load.factor *= fault.factor

        def revert() -> None:
            load.factor = previous

        return self._active.add(fault, f"arrivals times {fault.factor:g}", revert)

    def _submit_night(self, fault: Fault) -> str:
        """Submits many members of one class at once; not a failure, and not reverted."""
        load = self._running_load(fault)
        try:
            arrays = load.submit_arrays(fault.target, fault.count)
        except KeyError:
            names = ", ".join(entry.name for entry in self._lab.site.classes)
            raise LabError(f"target: {fault.target!r}: one of {names}") from None
        return f"{fault.count} members of {fault.target} in {arrays} arrays"

    def _running_load(self, fault: Fault) -> UserLoad:
        if self._lab.load is None:
            raise LabError(f"{fault.do}: no load runs; begin one with `lab load`")
        return self._lab.load
