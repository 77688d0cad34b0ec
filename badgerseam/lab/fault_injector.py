"""The registry of all kinds of faults, which injects and reverts them."""

from __future__ import annotations

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler
from badgerseam.lab.client_faults import ClientFaults
from badgerseam.lab.controller_faults import ControllerFaults
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.link_faults import LinkFaults
from badgerseam.lab.machine_faults import MachineFaults
from badgerseam.lab.message_faults import MessageFaults
from badgerseam.lab.service_faults import ServiceFaults


class FaultInjector:
    """Injects faults into one lab, and reverts them."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._active = ActiveFaults(lab)
        self._handlers: dict[str, FaultHandler] = {
            **ControllerFaults(lab, self._active).handlers(),
            **LinkFaults(lab, self._active).handlers(),
            **MessageFaults(lab, self._active).handlers(),
            **ClientFaults(lab, self._active).handlers(),
            **ServiceFaults(lab, self._active).handlers(),
            **MachineFaults(lab, self._active).handlers(),
        }

    @property
    def kinds(self) -> set[str]:
        """Names of the kinds of faults that can be injected."""
        return set(self._handlers)

    def apply(self, fault: Fault) -> str:
        """Injects a fault and returns a description; LabError if its target does not exist."""
        text = self._handlers[fault.do](fault)
        self._lab.history.add("fault", about=fault.do, text=text)
        return text

    def revert_all(self) -> str:
        """Reverts all faults that can be reverted, and returns a description."""
        names = self._active.revert_all()
        return f"mended: {', '.join(names)}" if names else "nothing was broken"
