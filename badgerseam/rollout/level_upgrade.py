"""The leader's part of a rollout: moving the site's level, one step at a time.

A raise is one transaction on the stamps of the leader's claim, of the level's record, of what
operators want, and of the own record of every configured controller. These records lie on leases:
at the revision of the raise each controller was alive, under the very program that announced its
levels. One that ends, comes back with another program or loses its lease before it makes the raise
fail; one that does so after it finds the new level when it starts.
"""

from __future__ import annotations

import logging

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.levels.table import FIRST
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, TARGET_KEY, node_key
from badgerseam.model.model import Model
from badgerseam.settings import RolloutOptions
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.rollout import Obstacle

log = logging.getLogger("badgerseam.rollout")

DEADLINE_S = 2.0
PAUSE_S = 1.0
"""After a step that was refused or not answered."""


class LevelUpgrade:
    """Looks, on the leader, whether the level can be moved, and moves it."""

    def __init__(
        self, model: Model, member: Membership, committer: GroupCommitter, options: RolloutOptions
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._clock = model.clock
        self._options = options
        self._since: dict[str, tuple[tuple[int, int, int], float]] = {}
        """Of each controller its lease and levels, and since when they are these."""
        self._moving = False
        self._not_before = -1e9
        self._told: tuple[int, tuple[Obstacle, ...]] | None = None
        self._tasks = BackgroundTasks()

    def next_level(self) -> int | None:
        """The level that the site is to go to now; None if it is where it should be."""
        model = self._model
        level = model.level.level
        wanted = model.program.max_level if model.target is None else model.target[0].level
        if wanted > level:
            return level + 1
        if wanted < level and model.target is not None:
            return level - 1
        return None

    def obstacles(self, level: int) -> list[Obstacle]:
        """What keeps the site from going to a level, by controller."""
        model = self._model
        found = []
        if level < model.level.level and not model.program.can_lower_from(model.level.level):
            reason = f"level {model.level.level} cannot be undone: see docs/rollout.md"
            found.append(Obstacle("", reason))
        now = self._clock.now()
        for name in self._member.order:
            present = model.controllers.get(name)
            if present is None:
                found.append(Obstacle(name, "is down, or cut off from the state service"))
                continue
            claim = present.record
            if not claim.min_level <= level <= claim.max_level:
                reads = f"{claim.min_level} to {claim.max_level}"
                found.append(Obstacle(name, f"its program reads levels {reads}, not level {level}"))
                continue
            since = self._since.get(name)
            steady = 0.0 if since is None else now - since[1]
            if steady < self._options.steady_s and not self._is_site_empty():
                found.append(Obstacle(name, "has not been there for long enough yet"))
        return found

    def _is_site_empty(self) -> bool:
        """Nothing was ever submitted: there is nothing that anybody could misread."""
        model = self._model
        return not model.job_index and not model.ended and not model.level.version

    def review(self) -> None:
        """Called a few times a second, with the model's lock held."""
        model, member = self._model, self._member
        if not model.loaded:
            self._since.clear()
            return
        now = self._clock.now()
        for name in [name for name in self._since if name not in model.controllers]:
            del self._since[name]
        for name, present in model.controllers.items():
            claim = present.record
            mark = (claim.lease, claim.min_level, claim.max_level)
            if self._since.get(name, (None, 0.0))[0] != mark:
                self._since[name] = (mark, now)
        if self._moving or not member.is_leader or now < self._not_before:
            return
        level = self.next_level()
        if level is None:
            self._told = None
            return
        obstacles = self.obstacles(level)
        if obstacles:
            if self._told != (level, tuple(obstacles)):
                self._told = (level, tuple(obstacles))
                listed = "; ".join(f"{entry.node} {entry.reason}" for entry in obstacles)
                log.info("level %d has to wait: %s", level, listed)
            return
        self._moving = True
        self._tasks.spawn(self._move(level))

    async def _move(self, level: int) -> None:
        model, member = self._model, self._member
        with model.lock:
            leader, target = model.leader_claim, model.target
            if any(name not in model.controllers for name in member.order):
                # Gone since the review that found nothing in the way.
                self._moving = False
                return
            conditions = {
                LEVEL_KEY: model.level.version,
                TARGET_KEY: 0 if target is None else target[1],
            }
            if leader is not None:
                conditions[LEADER_KEY] = leader.version
            conditions |= {node_key(name): model.controllers[name].version for name in member.order}
            carried = min(model.level.migrated, level)
            record = wire.SiteLevel(level, member.node, round(self._clock.wall(), 3), carried)
            write = (
                wire.Write(delete=LEVEL_KEY)
                if level == FIRST
                else wire.Write(put=LEVEL_KEY, value=wire.raw(record))
            )
        try:
            revision = await self._committer.commit(
                Urgency.CLAIM, conditions, [write], DEADLINE_S, wanted=lambda: member.is_leader
            )
            log.info("the site is at level %d (%s)", level, model.program.name(level))
            with model.lock:
                model.apply(LEVEL_KEY, write.value, revision)
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            # Whether it was applied, the replica will tell: nothing else is done on it.
            log.info("level %d was not set: %r", level, error)
            self._not_before = self._clock.now() + PAUSE_S
        finally:
            self._moving = False

    async def set_target(self, level: int | None, node: str) -> None:
        """Make durable which level operators want (None: the newest); Refused or Unavailable."""
        model = self._model
        with model.lock:
            version = 0 if model.target is None else model.target[1]
        if level is None and not version:
            return
        record = wire.Target(level or 0, node, round(self._clock.wall(), 3))
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
