"""One controller after the other: the order of a rollout, when it goes on, and why it stops.

Nothing is known here of how a process is ended and another program started: that is the platform's,
and handed in. The site's state is asked of the controllers themselves (`GET /rollout`), each time
anew, so that a rollout that was interrupted is begun again without harm.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.wire.rollout import View

RESPONSIVE_FRACTION = 0.9
"""Part of a controller's machines that have to report to it: some hang, or are about to go."""
LOOK_S = 0.25
MAX_UNANSWERED = 4
"""Looks in a row without an answer after which a controller counts as gone."""


class RolloutStoppedError(BadgerseamError):
    """The rollout has stopped by itself; the message says at which controller and why. Those that
    were replaced stay so: none is put back without an operator's word."""


class RolloutTarget(Protocol):
    """What a rollout is played on."""

    async def view(self, node: str) -> View | None:
        """How a controller sees the site; None if it does not answer."""

    async def drain(self, node: str) -> str | None:
        """Ask a controller to leave; why it refused, or None."""

    async def replace(self, node: str) -> None:
        """End a controller's process, and have it start from the new program."""


@dataclass(frozen=True, slots=True)
class StepTimeouts:
    """How long each step may take, in seconds, before the rollout stops."""

    leave_s: float = 60.0
    """From being asked until its process may be ended."""
    back_s: float = 60.0
    """From its end until it acts, has caught up and hears its machines."""
    steady_s: float = 5.0
    """How long the whole site has to be well before the next one."""


ReportProgress = Callable[[str], None]


async def update_order(site: RolloutTarget, nodes: list[str]) -> list[str]:
    """The controllers, the leader last: it changes hands once. Stopped if one does not answer."""
    leader: str | None = None
    for node in nodes:
        view = await site.view(node)
        if view is None:
            raise RolloutStoppedError(
                f"{node} does not answer: a rollout begins with all controllers well"
            )
        leader = view.leader or leader
        missing = [entry.node for entry in view.controllers if entry.node not in nodes]
        if missing:
            raise RolloutStoppedError(
                f"{', '.join(missing)}: configured, but not among the nodes given: "
                "a level rises only when all have the new program"
            )
    return sorted(nodes, key=lambda node: node == leader)


class RollingUpdate:
    """Plays one rollout."""

    def __init__(
        self,
        site: RolloutTarget,
        clock: Clock,
        told: ReportProgress,
        limits: StepTimeouts | None = None,
    ) -> None:
        self._site = site
        self._clock = clock
        self._told = told
        self._limits = limits or StepTimeouts()
        self._uptimes: dict[str, float] = {}

    async def run(self, nodes: list[str]) -> None:
        """Replace the controllers one by one; Stopped if something got worse."""
        limits = self._limits
        for node in await update_order(self._site, nodes):
            await self._wait_until_healthy(nodes, None, limits.back_s, limits.steady_s)
            refusal = await self._site.drain(node)
            if refusal is not None:
                raise RolloutStoppedError(f"{node} cannot leave: {refusal}")
            self._told(f"{node}: asked to leave")
            await self._wait_until_drained(nodes, node)
            self._told(f"{node}: holds nothing, replaced")
            self._uptimes.pop(node, None)
            await self._site.replace(node)
            await self._wait_until_healthy(nodes, node, limits.back_s, 0.0)
            self._told(f"{node}: acts again")
        await self._wait_until_healthy(nodes, None, limits.back_s, limits.steady_s)
        self._told("all controllers are replaced")

    async def _wait_until_drained(self, nodes: list[str], node: str) -> None:
        until = self._clock.now() + self._limits.leave_s
        while self._clock.now() < until:
            await self._check_others_unchanged(nodes, node)
            view = await self._site.view(node)
            if view is not None and view.own.may_end:
                return
            if view is not None and view.own.state == "acting":
                raise RolloutStoppedError(
                    f"{node} acts again: it has ended meanwhile, or was asked to return"
                )
            await asyncio.sleep(LOOK_S)
        raise RolloutStoppedError(f"{node} still holds something after {self._limits.leave_s:g} s")

    async def _check_others_unchanged(self, nodes: list[str], but: str | None) -> None:
        """Stopped if another controller than the one at work has ended meanwhile."""
        for node in nodes:
            if node == but:
                continue
            view = await self._site.view(node)
            if view is None:
                # It may be slow, or cut off for a moment.
                for _ in range(MAX_UNANSWERED):
                    await asyncio.sleep(LOOK_S)
                    view = await self._site.view(node)
                    if view is not None:
                        break
                else:
                    raise RolloutStoppedError(f"{node} does not answer any more")
            before = self._uptimes.get(node, 0.0)
            if view.own.uptime_s < before:
                raise RolloutStoppedError(f"{node} has ended and started anew by itself")
            self._uptimes[node] = view.own.uptime_s

    async def _wait_until_healthy(
        self, nodes: list[str], fresh: str | None, within_s: float, steady_s: float
    ) -> None:
        """Wait until nothing is wrong, for so long; Stopped with what is if it lasts. `fresh`: the
        one that has just been replaced, which is not there at first."""
        until = self._clock.now() + within_s
        since: float | None = None
        while True:
            wrong = await self._problem(nodes, fresh)
            now = self._clock.now()
            if wrong is None:
                since = now if since is None else since
                if now - since >= steady_s:
                    return
            else:
                since = None
                if now >= until:
                    raise RolloutStoppedError(wrong)
            await asyncio.sleep(LOOK_S)

    async def _problem(self, nodes: list[str], fresh: str | None) -> str | None:
        """What keeps the site from being well, if anything."""
        await self._check_others_unchanged(nodes, fresh)
        for node in nodes:
            view = await self._site.view(node)
            if view is None:
                return f"{node} does not answer"
            own = view.own
            if own.state != "acting":
                return f"{node} is {own.state}"
            if not own.caught_up:
                return f"{node} does not follow the state service"
            if own.responsive_machines < RESPONSIVE_FRACTION * own.machines:
                return f"{node} hears {own.responsive_machines} of its {own.machines} machines"
            for entry in view.controllers:
                if entry.state != "acting":
                    return f"{entry.node} is {entry.state}, as {node} sees it"
            if view.shards_without_actor:
                return f"shares without an actor: {view.shards_without_actor}"
            if view.leader is None:
                return "nobody leads"
            shards = {entry.node: len(entry.shards) for entry in view.controllers}
            if not shards.get(node) and sum(shards.values()) >= len(nodes):
                return f"{node} acts for no share yet"
        return None
