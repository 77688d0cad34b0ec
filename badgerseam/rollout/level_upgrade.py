"""The leader's part of a rollout: moving the site's level, one step at a time.

A raise is one transaction on the versions of the leader's claim, of the level's record, of the
operators' target, and of the record of every configured controller. These records are attached to
leases: at the revision of the raise each controller was alive, under the very program that reported
its levels. One that ends, restarts with another program or loses its lease before the raise makes
it fail; one that does so after it finds the new level when it starts.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.levels.table import FIRST
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, TARGET_KEY, node_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedController
from badgerseam.settings import RolloutOptions
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.rollout import Obstacle

log = logging.getLogger("badgerseam.rollout")

DEADLINE_S = 2.0
RETRY_PAUSE_S = 1.0
"""After a step that was refused or not answered."""
NEVER = -1e9
"""A time before every other one."""


class _Session(NamedTuple):
    """One run of a controller's program: another lease or other levels mean another run."""

    lease: int
    min_level: int
    max_level: int


class _SessionStart(NamedTuple):
    """The session of a controller, and when it was first observed."""

    session: _Session
    observed_at: float


class LevelUpgrade:
    """Checks, on the leader, whether the level can be moved, and moves it."""

    def __init__(
        self, model: Model, member: Membership, committer: GroupCommitter, options: RolloutOptions
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._clock = model.clock
        self._options = options
        self._sessions: dict[str, _SessionStart] = {}
        self._is_moving = False
        self._retry_at = NEVER
        self._logged_obstacles: tuple[int, tuple[Obstacle, ...]] | None = None
        """The level and its obstacles that were logged last, so that each is logged once."""
        self._tasks = BackgroundTasks()

    def next_level(self) -> int | None:
        """The level that the site is to go to now; None if it is at its target."""
        model = self._model
        level = model.level.level
        target = model.program.max_level if model.target is None else model.target[0].level
        if target > level:
            return level + 1
        if target < level and model.target is not None:
            return level - 1
        return None

    def obstacles(self, level: int) -> list[Obstacle]:
        """What keeps the site from going to a level, by controller."""
        model = self._model
        found: list[Obstacle] = []
        if level < model.level.level and not model.program.can_lower_from(model.level.level):
            reason = f"level {model.level.level} cannot be undone: see docs/rollout.md"
            found.append(Obstacle("", reason))
        now = self._clock.now()
        for name in self._member.order:
            problem = self._controller_obstacle(name, level, now)
            if problem is not None:
                found.append(Obstacle(name, problem))
        return found

    def _controller_obstacle(self, name: str, level: int, now: float) -> str | None:
        """Why a controller keeps the site from going to a level, if it does."""
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
        """Whether nothing was ever submitted, so that no record could be misread."""
        model = self._model
        return not model.job_index and not model.ended and not model.level.version

    def review(self) -> None:
        """Start a step if one is due and possible; called a few times a second, with the lock
        held."""
        if not self._model.loaded:
            self._sessions.clear()
            return
        now = self._clock.now()
        self._observe_sessions(now)
        if self._is_moving or not self._member.is_leader or now < self._retry_at:
            return
        level = self.next_level()
        if level is None:
            self._logged_obstacles = None
            return
        obstacles = self.obstacles(level)
        if obstacles:
            self._log_obstacles(level, obstacles)
            return
        self._is_moving = True
        self._tasks.spawn(self._move(level))

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
        """Log what blocks a level, whenever that has changed."""
        if self._logged_obstacles == (level, tuple(obstacles)):
            return
        self._logged_obstacles = (level, tuple(obstacles))
        listed = "; ".join(f"{obstacle.node} {obstacle.reason}" for obstacle in obstacles)
        log.info("level change blocked level=%d obstacles=%r", level, listed)

    async def _move(self, level: int) -> None:
        """Move the site to a level by one transaction."""
        model, member = self._model, self._member
        with model.lock:
            if any(name not in model.controllers for name in member.order):
                # A controller has ended since the review that found no obstacle.
                self._is_moving = False
                return
            conditions = self._move_conditions()
            write = self._level_write(level)
        try:
            revision = await self._committer.commit(
                Urgency.CLAIM, conditions, [write], DEADLINE_S, wanted=lambda: member.is_leader
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
            # It may have been applied all the same: the state watcher shows the level if so.
            log.info("level change failed level=%d error=%r", level, error)
            self._retry_at = self._clock.now() + RETRY_PAUSE_S
        finally:
            self._is_moving = False

    def _move_conditions(self) -> dict[str, int]:
        """That nothing has changed on which a step stands: see the module's docstring."""
        model = self._model
        conditions = {
            LEVEL_KEY: model.level.version,
            TARGET_KEY: 0 if model.target is None else model.target[1],
        }
        if model.leader_claim is not None:
            conditions[LEADER_KEY] = model.leader_claim.version
        for name in self._member.order:
            conditions[node_key(name)] = model.controllers[name].version
        return conditions

    def _level_write(self, level: int) -> wire.Write:
        if level == FIRST:
            return wire.Write(delete=LEVEL_KEY)
        migrated = min(self._model.level.migrated, level)
        changed_at = round(self._clock.wall(), 3)
        record = wire.SiteLevel(level, self._member.node, changed_at, migrated)
        return wire.Write(put=LEVEL_KEY, value=wire.raw(record))

    async def set_target(self, level: int | None, node: str) -> None:
        """Make the level durable that operators want; None: the newest.

        Raises `ConditionFailedError` if another target was set meanwhile, and
        `StateUnavailableError`.
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
