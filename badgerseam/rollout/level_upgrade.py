"""Changes of the site's level, which the leader makes one step at a time.

Raising the level is one transaction that is conditional on the versions of the leader's claim, the
level's record, the operators' target, and the record of every configured controller. Controller
records are attached to leases, so at the revision of the raise each controller was running the
program that reported its levels. If a controller ends, restarts with another program or loses its
lease before the raise, the transaction fails; if it does so afterwards, it reads the new level when
it starts.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.levels.table import FIRST, Behaviour
from badgerseam.model.keys import FORMAT_KEY, LEADER_KEY, LEVEL_KEY, TARGET_KEY, node_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedController
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import (
    GroupCommitter,
    ProposalDroppedError,
    ProposalTooLargeError,
    Urgency,
)
from badgerseam.tunables import RolloutOptions
from badgerseam.wire import state as wire
from badgerseam.wire.rollout import Obstacle

log = logging.getLogger("badgerseam.rollout")

DEADLINE_S = 2.0
RETRY_DELAY_S = 1.0
"""Seconds between a change of the level that failed or got no response and the next attempt."""
TOO_LARGE_RETRY_DELAY_S = 60.0
"""The same if the change needs more conditions than a transaction may have."""
NEVER = -1e9
"""A time earlier than every time of the clock."""


class _Session(NamedTuple):
    """One run of a controller's process: another lease or other levels mean another run."""

    lease: int
    min_level: int
    max_level: int


class _SessionStart(NamedTuple):
    """The session of a controller and the time at which it was first observed."""

    session: _Session
    observed_at: float


class LevelUpgrade:
    """Checks, on the leader, whether the site's level can be changed, and changes it."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        committer: GroupCommitter,
        options: RolloutOptions,
    ) -> None:
        self._model = model
        self._membership = membership
        self._committer = committer
        self._clock = model.clock
        self._options = options
        self._sessions: dict[str, _SessionStart] = {}
        self._is_changing = False
        self._retry_at = NEVER
        self._logged_obstacles: tuple[int, tuple[Obstacle, ...]] | None = None
        """The level and the obstacles logged last; they are logged again only if they change."""
        self._tasks = BackgroundTasks()

    def next_level(self) -> int | None:
        """Returns the next level on the way to the target; None if the site is at its target."""
        model = self._model
        level = model.level.level
        target = self._default_target() if model.target is None else model.target[0].level
        if target > level:
            return level + 1
        if target < level and model.target is not None:
            return level - 1
        return None

    def _default_target(self) -> int:
        """Returns the newest level; below those that are raised to on demand and not needed."""
        program = self._model.program
        level = program.max_level
        while (
            level > self._model.level.level
            and program.is_on_demand(level)
            and not self._has_lowered_limits()
        ):
            level -= 1
        return level

    def _has_lowered_limits(self) -> bool:
        """Whether the limit for values is, or will be, lower than when records were stored."""
        model, limit = self._model, self._committer.limits.value_bytes
        if limit < int(model.settings.params.state.value_kb * 1024):
            return True
        pages = (page for shard in model.pages for page in shard.values())
        return any(size > limit for size in model.group_bytes.values()) or any(
            page.size_bytes > limit for page in pages
        )

    def obstacles(self, level: int) -> list[Obstacle]:
        """Returns what prevents the site from changing to a level, by controller."""
        model = self._model
        found: list[Obstacle] = []
        if level < model.level.level and not model.program.can_lower_from(model.level.level):
            reason = f"level {model.level.level} cannot be undone: see docs/rollout.md"
            found.append(Obstacle("", reason))
        now = self._clock.now()
        for name in self._membership.controller_names:
            problem = self._controller_obstacle(name, level, now)
            if problem is not None:
                found.append(Obstacle(name, problem))
        return found

    def _controller_obstacle(self, name: str, level: int, now: float) -> str | None:
        """Returns why a controller prevents the change to a level, or None if it does not."""
        controller = self._model.controllers.get(name)
        if controller is None:
            return "is down, or cut off from the state service"
        record = controller.record
        if not record.min_level <= level <= record.max_level:
            reads = f"{record.min_level} to {record.max_level}"
            return f"its program reads levels {reads}, not level {level}"
        start = self._sessions.get(name)
        steady_s = 0.0 if start is None else now - start.observed_at
        if steady_s < self._options.steady_s and not self._is_site_empty():
            return "has not been there for long enough yet"
        return None

    def _is_site_empty(self) -> bool:
        """Whether no job was ever submitted, so that no stored record can be misread."""
        model = self._model
        return not model.job_index and not model.ended and not model.level.version

    def review(self) -> None:
        """Starts a change of the level if one is due and possible.

        Called several times per second with the model's lock held.
        """
        if not self._model.loaded:
            self._sessions.clear()
            return
        now = self._clock.now()
        self._observe_sessions(now)
        if self._is_changing or not self._membership.is_leader or now < self._retry_at:
            return
        level = self.next_level()
        if level is None:
            self._logged_obstacles = None
            return
        obstacles = self.obstacles(level)
        if obstacles:
            self._log_obstacles(level, obstacles)
            return
        self._is_changing = True
        self._tasks.spawn(self._change_level(level))

    def _observe_sessions(self, now: float) -> None:
        controllers = self._model.controllers
        for name in [name for name in self._sessions if name not in controllers]:
            del self._sessions[name]
        for name, controller in controllers.items():
            session = _session(controller)
            start = self._sessions.get(name)
            if start is None or start.session != session:
                self._sessions[name] = _SessionStart(session, now)

    def _log_obstacles(self, level: int, obstacles: list[Obstacle]) -> None:
        """Logs what blocks a level, each time that this changes."""
        if self._logged_obstacles == (level, tuple(obstacles)):
            return
        self._logged_obstacles = (level, tuple(obstacles))
        listed = "; ".join(f"{obstacle.node} {obstacle.reason}" for obstacle in obstacles)
        log.info("level change blocked level=%d obstacles=%r", level, listed)

    async def _change_level(self, level: int) -> None:
        """Changes the site's level in one transaction."""
        model, membership = self._model, self._membership
        with model.lock:
            if any(name not in model.controllers for name in membership.controller_names):
                # A controller ended after the review had found no obstacle.
                self._is_changing = False
                return
            conditions = self._change_conditions()
            write = self._level_write(level)
        try:
            if model.program.is_active(Behaviour.SMALL_VALUES, level):
                conditions[FORMAT_KEY] = await self._record_format()
            revision = await self._committer.commit(
                Urgency.CLAIM,
                conditions,
                [write],
                DEADLINE_S,
                should_send=lambda: membership.is_leader,
            )
            log.info("level changed level=%d name=%r", level, model.program.name(level))
            with model.lock:
                model.apply(LEVEL_KEY, write.value, revision)
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            # The transaction may have been applied all the same; the state watcher then shows the
            # new level.
            log.info("level change failed level=%d error=%r", level, error)
            is_too_large = isinstance(error, ProposalTooLargeError)
            delay_s = TOO_LARGE_RETRY_DELAY_S if is_too_large else RETRY_DELAY_S
            self._retry_at = self._clock.now() + delay_s
        finally:
            self._is_changing = False

    async def _record_format(self) -> int:
        """Records the facts on which reading records of the original form depends, unless they are
        recorded; returns the version of that record."""
        model = self._model
        if model.stored_format is None and model.leader_claim is not None:
            record = wire.StoredFormat(model.original_chunk_tasks)
            write = wire.Write(put=FORMAT_KEY, value=wire.raw(record))
            conditions = {LEADER_KEY: model.leader_claim.version, FORMAT_KEY: 0}
            revision = await self._committer.commit(
                Urgency.CLAIM,
                conditions,
                [write],
                DEADLINE_S,
                should_send=lambda: self._membership.is_leader,
            )
            with model.lock:
                model.apply(FORMAT_KEY, write.value, revision)
        return model.versions.get(FORMAT_KEY, 0)

    def _change_conditions(self) -> dict[str, int]:
        """Returns the versions that a change of the level depends on: see the module docstring."""
        model = self._model
        conditions = {
            LEVEL_KEY: model.level.version,
            TARGET_KEY: 0 if model.target is None else model.target[1],
        }
        if model.leader_claim is not None:
            conditions[LEADER_KEY] = model.leader_claim.version
        for name in self._membership.controller_names:
            conditions[node_key(name)] = model.controllers[name].version
        return conditions

    def _level_write(self, level: int) -> wire.Write:
        if level == FIRST:
            return wire.Write(delete=LEVEL_KEY)
        migrated = min(self._model.level.migrated, level)
        changed_at = round(self._clock.wall(), 3)
        record = wire.SiteLevel(level, self._membership.node, changed_at, migrated)
        return wire.Write(put=LEVEL_KEY, value=wire.raw(record))

    async def set_target(self, level: int | None, node: str) -> None:
        """Stores the level that operators request; None stands for the newest one.

        Raises `ConditionFailedError` if another target was set in the meantime, and
        `StateUnavailableError` if the state service does not respond.
        """
        model = self._model
        with model.lock:
            version = 0 if model.target is None else model.target[1]
        if level is None and not version:
            return
        record = wire.TargetLevel(level or 0, node, round(self._clock.wall(), 3))
        write = (
            wire.Write(delete=TARGET_KEY)
            if level is None
            else wire.Write(put=TARGET_KEY, value=wire.raw(record))
        )
        revision = await self._committer.commit(
            Urgency.USER, {TARGET_KEY: version}, [write], DEADLINE_S
        )
        with model.lock:
            model.apply(TARGET_KEY, write.value, revision)


def _session(controller: ObservedController) -> _Session:
    record = controller.record
    return _Session(record.lease, record.min_level, record.max_level)
