"""Faults of machines: reclaims, failures, hangs, slowness, and failing tasks."""

from __future__ import annotations

from functools import partial

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.worker import WorkerCore

DEFAULT_NOTICE_S = 10.0
"""Mean seconds from a reclaim notice to the reclaim."""


class MachineFaults:
    """Injects faults into machines that are drawn at random."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            "take": self._reclaim,
            "notice": self._give_notice,
            "die": self._fail,
            "hang-machine": self._hang,
            "slow-machine": self._slow_down,
            "faulty-machine": self._make_faulty,
        }

    def _reclaim(self, fault: Fault) -> str:
        """Reclaims spot machines without a notice."""
        names = self._draw(fault, is_spot=True)
        for name in names:
            self._active.begin_failure(name)
            self._lab.cloud_core.reclaim(name)
            self._active.end_failure(name)
        return _description(fault, names)

    def _fail(self, fault: Fault) -> str:
        """Makes machines fail with everything on them."""
        names = self._draw(fault)
        for name in names:
            self._active.begin_failure(name)
            self._lab.cloud_core.fail(name)
            self._active.end_failure(name)
        return _description(fault, names)

    def _give_notice(self, fault: Fault) -> str:
        """Gives reclaim notices to spot machines; a failure until the machine is gone."""
        lab = self._lab
        names = self._draw(fault, is_spot=True)
        for name in names:
            core = lab.machines[name].core
            notice_s = (fault.for_s or DEFAULT_NOTICE_S) * lab.random.uniform(0.5, 1.5)
            reclaim_at = lab.clock.now() + notice_s
            lab.cloud_core.machines[name].reclaim_at = reclaim_at
            core.notice_at = reclaim_at
            lab.history.add("unfit", machine=name)
            core.changed = True
            self._active.failure_until(f"{name} noticed", partial(self._is_gone, name))
        return _description(fault, names)

    def _is_gone(self, name: str) -> bool:
        return name not in self._lab.machines

    def _hang(self, fault: Fault) -> str:
        names = self._draw(fault)
        for name in names:
            machine = self._lab.machines[name]
            machine.hang()
            self._active.add(fault, f"{name} hung", machine.resume)
        return _description(fault, names)

    def _slow_down(self, fault: Fault) -> str:
        """Multiplies the speed of tasks on machines by `factor`."""
        names = self._draw(fault)
        for name in names:
            core = self._lab.machines[name].core
            previous = core.speed
            core.speed *= fault.factor
            self._active.add(fault, f"{name} slow", partial(_set_speed, core, previous))
        return _description(fault, names)

    def _make_faulty(self, fault: Fault) -> str:
        """Makes every task that starts on these machines fail."""
        names = self._draw(fault)
        for name in names:
            core = self._lab.machines[name].core
            core.faulty = True
            self._lab.history.add("unfit", machine=name)
            self._active.add(fault, f"{name} faulty", partial(_repair, core))
        return _description(fault, names)

    def _draw(self, fault: Fault, is_spot: bool = False) -> list[str]:
        """Draws `count` machines at random, only spot ones if `is_spot`; returns their names."""
        lab = self._lab
        rented = lab.cloud_core.machines
        names = sorted(name for name in lab.machines if not is_spot or rented[name].spot)
        if not names:
            raise LabError(f"{fault.do}: no {'spot ' * is_spot}machine is up")
        return lab.random.sample(names, min(fault.count, len(names)))


def _set_speed(core: WorkerCore, speed: float) -> None:
    core.speed = speed


def _repair(core: WorkerCore) -> None:
    core.faulty = False


def _description(fault: Fault, names: list[str]) -> str:
    return f"{fault.do} {', '.join(sorted(names))}"
