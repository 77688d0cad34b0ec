"""Faults of controllers: kills, hangs, restarts from another source tree, and rollouts."""

from __future__ import annotations

from functools import partial

from badgerseam.background import BackgroundTasks
from badgerseam.lab.active_faults import ActiveFaults, FaultHandler
from badgerseam.lab.checkouts import Checkout
from badgerseam.lab.controllers import ControllerProcess
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.lab_rollout import LabRolloutTarget
from badgerseam.rollout.rolling_update import RollingUpdate, RolloutStoppedError

NOT_RESTARTED = ("given up", "stopped")
"""States in which a controller process is not restarted automatically."""


class ControllerFaults:
    """Injects faults of a lab's controller processes."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active
        self._rollouts = BackgroundTasks()

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            "kill": self._kill,
            "hang": self._hang,
            "replace": self._replace,
            "rollout": self._roll_out,
        }

    def _hang(self, fault: Fault) -> str:
        nodes = self._targets(fault)
        for node in nodes:
            controller = self._lab.controllers[node]
            controller.hang()
            self._active.add(fault, f"{node} hung", controller.resume)
        return _description(fault, nodes)

    def _kill(self, fault: Fault) -> str:
        nodes = self._targets(fault)
        self._end_each(fault, nodes, None)
        return _description(fault, nodes)

    def _replace(self, fault: Fault) -> str:
        nodes = self._targets(fault)
        self._end_each(fault, nodes, self._checkout(fault))
        return f"{_description(fault, nodes)} by {fault.to or 'these sources'}"

    def _end_each(self, fault: Fault, nodes: list[str], checkout: Checkout | None) -> None:
        """Ends controllers: one after the other, at random moments, or all now."""
        for position, node in enumerate(nodes):
            end = partial(self._end, fault, self._lab.controllers[node], checkout)
            if fault.target == "each" and position:
                self._active.call_later(fault.every_s * position, end)
            elif fault.within_s:
                self._active.call_later(self._lab.random.uniform(0.0, fault.within_s), end)
            else:
                end()

    def _end(self, fault: Fault, controller: ControllerProcess, checkout: Checkout | None) -> None:
        """Ends a controller; that is a failure until the controller has been restarted."""
        starts_before = controller.starts
        if checkout is None:
            has_ended = controller.kill(fault.back_s)
        else:
            has_ended = controller.replace(checkout, fault.back_s)
        if has_ended:
            self._active.failure_until(
                f"{controller.node} ended",
                lambda: controller.starts > starts_before or controller.state in NOT_RESTARTED,
            )

    def _roll_out(self, fault: Fault) -> str:
        """Replaces all controllers one after the other, as operators do in a rollout."""
        lab = self._lab
        target = LabRolloutTarget(lab, self._checkout(fault))

        def add_event(text: str) -> None:
            lab.history.add("fault", about="rollout", text=text)

        async def roll_out() -> None:
            try:
                await RollingUpdate(target, lab.clock, add_event).run(lab.nodes)
                lab.rollouts.append("")
            except RolloutStoppedError as error:
                lab.rollouts.append(str(error))
                add_event(f"stopped: {error}")

        self._rollouts.spawn(roll_out())
        return f"rollout of {fault.to or 'these sources'}"

    def _targets(self, fault: Fault) -> list[str]:
        """Returns the controllers that a fault names; LabError if one does not exist."""
        nodes = self._lab.nodes
        if fault.target in ("all", "each"):
            return nodes
        names = fault.target.split(",")
        if not set(names) <= set(nodes):
            raise LabError(
                f"target: {fault.target!r}: one of {', '.join(nodes)}, several with commas "
                "between, all, each"
            )
        return names

    def _checkout(self, fault: Fault) -> Checkout:
        """Returns the source tree that a fault names; LabError if there is none."""
        checkout = self._lab.checkouts.get(fault.to)
        if checkout is None:
            known = ", ".join(filter(None, self._lab.checkouts)) or "none"
            raise LabError(f"to: {fault.to!r}: one of the experiment's sources ({known}), or empty")
        return checkout


def _description(fault: Fault, nodes: list[str]) -> str:
    within = f" within {fault.within_s:g} s" if fault.within_s else ""
    return f"{fault.do} {', '.join(nodes)}{within}"
