"""Faults of single messages between controllers and workers: duplicates and delays."""

from __future__ import annotations

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler, fraction_of
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab

NEXT_LEADER = "next-leader"
"""Value of `to` for copies of heartbeats that are kept until there is a new leader."""


class MessageFaults:
    """Duplicates heartbeats and answered direct commands, and delays direct commands."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            "copies": self._copy_heartbeats,
            "late-commands": self._delay_commands,
            "command-copies": self._copy_commands,
        }

    def _copy_heartbeats(self, fault: Fault) -> str:
        """Delivers copies of a fraction of the heartbeats late, some of them after the revert."""
        late_heartbeats = self._lab.late_heartbeats
        if fault.to not in ("", NEXT_LEADER):
            raise LabError(f"to: {fault.to!r}: {NEXT_LEADER}, or empty")
        late_heartbeats.fraction = fraction_of(fault, "reports")
        late_heartbeats.for_next_leader = fault.to == NEXT_LEADER

        def revert() -> None:
            late_heartbeats.stop_copying()
            self._active.failure_until("copies under way", lambda: not late_heartbeats.in_flight)

        recipient = " for the next leader" if late_heartbeats.for_next_leader else ""
        return self._active.add(fault, f"copies of reports{recipient}", revert)

    def _delay_commands(self, fault: Fault) -> str:
        """Leaves a fraction of the direct commands without an answer and executes them late."""
        late_commands = self._lab.late_commands
        late_commands.fraction = fraction_of(fault, "direct commands")

        def revert() -> None:
            late_commands.fraction = 0.0
            self._active.failure_until(
                "late commands under way", lambda: not late_commands.in_flight
            )

        return self._active.add(fault, "late commands", revert)

    def _copy_commands(self, fault: Fault) -> str:
        """Delivers copies of a fraction of the answered direct commands late, some of them after
        the revert."""
        late_commands = self._lab.late_commands
        late_commands.copied_fraction = fraction_of(fault, "answered direct commands")

        def revert() -> None:
            late_commands.copied_fraction = 0.0

        return self._active.add(fault, "copies of commands", revert)
