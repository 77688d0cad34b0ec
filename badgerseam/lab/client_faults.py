"""What users do at bad moments: cancel, send invalid requests, read at once, submit in bursts."""

from __future__ import annotations

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler, fraction_of
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.load import UserLoad

MAX_HUNG = 8
"""Machines of cancelled jobs that hang."""


class ClientFaults:
    """Has a lab's users behave badly, or in masses."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """The handler of each kind of fault."""
        return {
            "cancel-now": self._cancel_now,
            "cancel-at-end": self._cancel_at_end,
            "odd-requests": self._send_invalid_requests,
            "close-looks": self._read_after_write,
            "burst": self._multiply_arrivals,
            "night": self._submit_night,
        }

    def _cancel_now(self, fault: Fault) -> str:
        """Users cancel jobs that run and have the most left to run, at about the same time."""
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
        """Hang some of these machines, drawn at random; their names."""
        hung = sorted(self._lab.random.sample(names, min(MAX_HUNG, len(names))))
        for name in hung:
            machine = self._lab.machines[name]
            machine.hang()
            self._active.add(fault, f"{name} hung", machine.resume)
        return hung

    def _cancel_at_end(self, fault: Fault) -> str:
        """A part of the jobs that end is cancelled at that moment."""
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
        """Users ask all controllers at once, several times, about what they were just answered."""
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
        """Many members of one class are submitted at once; no failure, and nothing to revert."""
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
