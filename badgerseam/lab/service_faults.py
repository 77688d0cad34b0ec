"""Outages of the state service and the cloud, lowered limits, and exhausted capacity."""

from __future__ import annotations

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab


class ServiceFaults:
    """Injects outages of a lab's services, lowers limits, and removes the cloud's capacity."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            "state-down": self._take_state_service_down,
            "state-limits": self._lower_limits,
            "cloud-down": self._take_cloud_down,
            "no-capacity": self._exhaust_capacity,
        }

    def _take_state_service_down(self, fault: Fault) -> str:
        service = self._lab.state_service
        service.set_down(True)
        return self._active.add(fault, "state service down", lambda: service.set_down(False))

    def _lower_limits(self, fault: Fault) -> str:
        """Gives the state service the limits that the settings announce (`state.next`)."""
        core, params = self._lab.state_core, self._lab.site.state
        if params.next is None:
            raise LabError("state-limits: the site has no state.next")
        core.set_limits(params.lowest)
        return self._active.add(
            fault, "limits of the state service lowered", lambda: core.set_limits(params)
        )

    def _take_cloud_down(self, fault: Fault) -> str:
        service = self._lab.cloud_service
        service.down = True

        def revert() -> None:
            service.down = False

        return self._active.add(fault, "cloud down", revert)

    def _exhaust_capacity(self, fault: Fault) -> str:
        """Leaves all offers of the cloud without capacity."""
        core = self._lab.cloud_core
        core.exhausted_offers |= {
            (machine_type.name, zone, spot)
            for machine_type in core.types
            for zone in machine_type.zones
            for spot in (True, False)
        }
        return self._active.add(fault, "cloud without capacity", core.exhausted_offers.clear)
