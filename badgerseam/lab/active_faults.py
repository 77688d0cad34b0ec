"""The currently injected faults, and the events that they add to the history."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from badgerseam.background import BackgroundTasks
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import HARMLESS_KINDS, Fault
from badgerseam.lab.lab import Lab

POLL_S = 0.05

FaultHandler: TypeAlias = Callable[[Fault], str]
"""Injects a fault and returns a description of it; LabError if its target does not exist."""


class ActiveFaults:
    """The currently injected faults, each with the function that reverts it.

    Failures are the faults during which the rule checker tolerates missing answers: a `trouble`
    event is added to the history when the first one begins, and a `calm` event when the last one
    has ended.
    """

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._reverts: dict[str, Callable[[], object]] = {}
        self._failures: set[str] = set()
        self._tasks = BackgroundTasks()

    def add(self, fault: Fault, name: str, revert: Callable[[], object]) -> str:
        """Registers an injected fault, which is reverted after `for_s` seconds unless that is 0.

        A second fault with the same name replaces the first.
        """
        self._reverts[name] = revert
        if fault.do not in HARMLESS_KINDS:
            self.begin_failure(name)
        if not fault.for_s:
            return name
        self.call_later(fault.for_s, lambda: self.revert(name))
        return f"{name} for {fault.for_s:g} s"

    def revert(self, name: str) -> None:
        """Reverts a fault; does nothing if it has been reverted already."""
        revert = self._reverts.pop(name, None)
        if revert is None:
            return
        revert()
        self._lab.history.add("fault", about="mended", text=name)
        self.end_failure(name)

    def revert_all(self) -> list[str]:
        """Reverts all faults and returns their names."""
        names = sorted(self._reverts)
        for name in names:
            self.revert(name)
        return names

    def begin_failure(self, name: str) -> None:
        """Records that a failure has begun."""
        if not self._failures:
            self._lab.history.add("trouble")
        self._failures.add(name)

    def end_failure(self, name: str) -> None:
        """Records that a failure has ended; unknown names are ignored."""
        if name not in self._failures:
            return
        self._failures.discard(name)
        if not self._failures:
            self._lab.history.add("calm")

    def failure_until(self, name: str, is_over: Callable[[], bool]) -> None:
        """Begins a failure that ends as soon as `is_over` returns true."""
        self.begin_failure(name)

        async def wait() -> None:
            while True:
                if is_over():
                    self.end_failure(name)
                    return
                await asyncio.sleep(POLL_S)

        self._tasks.spawn(wait())

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Calls a function after a delay."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            action()

        self._tasks.spawn(wait())


def fraction_of(fault: Fault, subject: str) -> float:
    """Returns the fraction of messages or jobs that a fault affects; LabError if it is over 1."""
    if fault.factor > 1:
        raise LabError(f"factor: {fault.factor:g}: a part of the {subject}, at most 1")
    return fault.factor
