"""Rolling update: replaces one controller after the other, and stops if the site becomes unhealthy.

The platform ends a process and starts the new program (`RolloutTarget`). The state of the site is
not stored by the update but requested from the controllers (`GET /rollout`) at each step, so an
interrupted update can safely be started again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.wire.rollout import RolloutView

RESPONSIVE_FRACTION = 0.9
"""Fraction of a controller's machines that must send it heartbeats; it is less than 1 because some
machines hang or are being reclaimed at any time."""
POLL_INTERVAL_S = 0.25
MAX_VIEW_RETRIES = 4
"""Consecutive retries without a response after which a controller counts as unreachable."""
ACTING = "acting"
"""The state of a controller that may own shards (`wire.rollout`)."""


class RolloutStoppedError(BadgerseamError):
    """The rolling update has stopped; the message names the controller and the reason.

    Controllers that were already replaced are not rolled back: that is left to the operators.
    """


class RolloutTarget(Protocol):
    """The controllers of a site and the platform that runs their processes."""

    async def view(self, node: str) -> RolloutView | None:
        """Returns a controller's view of the site; None if it does not respond."""

    async def drain(self, node: str) -> str | None:
        """Asks a controller to drain; returns the reason if it refuses, otherwise None."""

    async def replace(self, node: str) -> None:
        """Ends a controller's process and starts the new program in its place."""


@dataclass(frozen=True, slots=True)
class StepTimeouts:
    """Time limits of the steps of an update, in seconds."""

    drain_s: float = 60.0
    """Limit from the request to drain until the process may be ended."""
    recovery_s: float = 60.0
    """Limit from the end of a process until the site is healthy with the new one."""
    steady_s: float = 5.0
    """How long the site must stay healthy before the next controller is drained."""


ReportProgress = Callable[[str], None]
"""Called with one line for operators after each step."""


async def update_order(site: RolloutTarget, nodes: list[str]) -> list[str]:
    """Returns the controllers in the order of the update.

    The leader is last, so that the leadership is transferred only once. Raises
    `RolloutStoppedError` if a controller does not respond, or if a configured controller is not
    among `nodes`.
    """
    leader: str | None = None
    for node in nodes:
        view = await site.view(node)
        if view is None:
            raise RolloutStoppedError(
                f"{node} does not answer: a rollout starts only if all controllers are healthy"
            )
        leader = view.leader or leader
        missing = [entry.node for entry in view.controllers if entry.node not in nodes]
        if missing:
            raise RolloutStoppedError(
                f"{', '.join(missing)}: configured, but not among the nodes given: "
                "the level is raised only when all controllers run the new program"
            )
    return sorted(nodes, key=lambda node: node == leader)


class RollingUpdate:
    """Replaces all controllers of a site, one after the other."""

    def __init__(
        self,
        site: RolloutTarget,
        clock: Clock,
        report: ReportProgress,
        timeouts: StepTimeouts | None = None,
    ) -> None:
        self._site = site
        self._clock = clock
        self._report = report
        self._timeouts = timeouts or StepTimeouts()
        self._uptimes: dict[str, float] = {}
        """The last seen uptime of each controller; a lower one means that it was restarted."""

    async def run(self, nodes: list[str]) -> None:
        """Replaces the controllers; raises `RolloutStoppedError` if the site becomes unhealthy."""
        for node in await update_order(self._site, nodes):
            await self._wait_until_healthy(nodes, None, self._timeouts.steady_s)
            await self._update(node, nodes)
        await self._wait_until_healthy(nodes, None, self._timeouts.steady_s)
        self._report("all controllers are replaced")

    async def _update(self, node: str, nodes: list[str]) -> None:
        """Drains one controller, replaces it, and waits until the site is healthy."""
        refusal = await self._site.drain(node)
        if refusal is not None:
            raise RolloutStoppedError(f"{node} cannot leave: {refusal}")
        self._report(f"{node}: asked to leave")
        await self._wait_until_drained(nodes, node)
        self._report(f"{node}: holds nothing, replaced")
        self._uptimes.pop(node, None)
        await self._site.replace(node)
        await self._wait_until_healthy(nodes, node, 0.0)
        self._report(f"{node}: acts again")

    async def _wait_until_drained(self, nodes: list[str], node: str) -> None:
        until = self._clock.now() + self._timeouts.drain_s
        while self._clock.now() < until:
            await self._check_others_unchanged(nodes, node)
            view = await self._site.view(node)
            if view is not None and view.own.may_end:
                return
            if view is not None and view.own.state == ACTING:
                raise RolloutStoppedError(
                    f"{node} acts again: its process was restarted, or it was asked to return"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RolloutStoppedError(f"{node} is not drained after {self._timeouts.drain_s:g} s")

    async def _check_others_unchanged(self, nodes: list[str], updated: str | None) -> None:
        """Raises `RolloutStoppedError` if a controller other than `updated` was restarted."""
        for node in nodes:
            if node == updated:
                continue
            view = await self._view_with_retries(node)
            if view.own.uptime_s < self._uptimes.get(node, 0.0):
                raise RolloutStoppedError(f"{node} was restarted unexpectedly")
            self._uptimes[node] = view.own.uptime_s

    async def _view_with_retries(self, node: str) -> RolloutView:
        """Returns a controller's view of the site.

        The request is retried, because a controller may be slow or unreachable for a moment.
        """
        view = await self._site.view(node)
        retries = 0
        while view is None:
            if retries == MAX_VIEW_RETRIES:
                raise RolloutStoppedError(f"{node} no longer answers")
            retries += 1
            await asyncio.sleep(POLL_INTERVAL_S)
            view = await self._site.view(node)
        return view

    async def _wait_until_healthy(
        self, nodes: list[str], replaced: str | None, steady_s: float
    ) -> None:
        """Waits until the site has been healthy for `steady_s`.

        Raises `RolloutStoppedError` with the problem if it persists. `replaced` is the controller
        that was just replaced, which does not respond at first.
        """
        until = self._clock.now() + self._timeouts.recovery_s
        healthy_since: float | None = None
        while True:
            problem = await self._problem(nodes, replaced)
            now = self._clock.now()
            if problem is None:
                healthy_since = now if healthy_since is None else healthy_since
                if now - healthy_since >= steady_s:
                    return
            else:
                healthy_since = None
                if now >= until:
                    raise RolloutStoppedError(problem)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _problem(self, nodes: list[str], replaced: str | None) -> str | None:
        """Returns the reason why the site is not healthy, or None."""
        await self._check_others_unchanged(nodes, replaced)
        for node in nodes:
            view = await self._site.view(node)
            if view is None:
                return f"{node} does not answer"
            problem = (
                _own_problem(node, view)
                or _site_problem(node, view)
                or _idle_problem(node, view, len(nodes))
            )
            if problem is not None:
                return problem
        return None


def _own_problem(node: str, view: RolloutView) -> str | None:
    """Returns the reason why a controller itself is not healthy, or None."""
    own = view.own
    if own.state != ACTING:
        return f"{node} is {own.state}"
    if not own.caught_up:
        return f"the replica of {node} is behind the state service"
    if own.responsive_machines < RESPONSIVE_FRACTION * own.machines:
        responsive = own.responsive_machines
        return f"{node} receives heartbeats from {responsive} of its {own.machines} machines"
    return None


def _site_problem(node: str, view: RolloutView) -> str | None:
    """Returns the problem that a controller sees with its peers, shards or leader, or None."""
    for controller in view.controllers:
        if controller.state != ACTING:
            return f"{controller.node} is {controller.state}, as {node} sees it"
    if view.shards_without_actor:
        return f"shards without an owner: {view.shards_without_actor}"
    if view.leader is None:
        return "there is no leader"
    return None


def _idle_problem(node: str, view: RolloutView, node_count: int) -> str | None:
    """Returns a problem if a controller owns no shard although there are enough for all."""
    shard_counts = {controller.node: len(controller.shards) for controller in view.controllers}
    if not shard_counts.get(node) and sum(shard_counts.values()) >= node_count:
        return f"{node} owns no shard yet"
    return None
