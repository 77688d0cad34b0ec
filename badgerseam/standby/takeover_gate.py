"""What is checked before a new owner of a share, or a new leader, decides anything.

The rules are those of the safety argument and lie where they always did; here is the one list of
them, by name, so that none is left out, each with what becomes of a controller that it stops: it
waits, or it has the claim made anew, or it hands the claim on. Whoever does not pass in a bounded
time hands on as well, since a share that is held and not acted for is worse than one that is free.
A pause in which the clocks ran on (the process stood still) closes the gate until the state service
has confirmed the lease by a renewal that was sent after it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from badgerseam.cluster.membership import Membership
from badgerseam.cluster.previous_owner import previous_owner_bound_s
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.options.standby import StandbyOptions

log = logging.getLogger("badgerseam.standby")

MAX_PAUSE_FRACTION = 0.25
"""A step of the clock longer than this part of the state lease counts as a pause."""
HANDED_OVER_BLOCK_S = 5.0
"""How long a claim that was handed on is left to the others."""


class Outcome(Enum):
    """What a check that is not passed asks for."""

    WAIT = "waits"
    RECLAIM = "claim made anew"
    HAND_OVER = "handed on"


@dataclass(frozen=True, slots=True)
class Check:
    """A condition for acting under a claim, by name."""

    name: str
    holds: Callable[[Shard | None, ObservedClaim], bool]
    """Of a share, or (None) of the leadership, and the claim as the replica shows it."""
    otherwise: Outcome
    leader: bool = True
    """Asked of a new leader as well."""


@dataclass(slots=True)
class CheckRun:
    """A claim at the gate, or through it."""

    version: int
    since: float
    failed_check: str | None = None
    passed: bool = False
    logged: bool = False


@dataclass(slots=True)
class CheckStats:
    """How often a check has stopped somebody, and for how long altogether."""

    stops: int = 0
    seconds: float = 0.0


class TakeoverGate:
    """Asked by the membership whenever a claim of ours is there to be acted on."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        options: StandbyOptions,
        ttl_s: float,
        passed: Callable[[Shard | None, ObservedClaim], None] = lambda shard, held: None,
    ) -> None:
        """`ttl_s`: the state lease of a controller, in seconds; `passed`: told of each claim that
        comes through, a share's or (None) the leadership's, before it is acted on."""
        self._passed = passed
        self._model = model
        self._member = member
        self._clock = model.clock
        self._limit_s = options.gate_s
        self._pause_s = ttl_s * MAX_PAUSE_FRACTION
        self._noted_at = self._clock.now()
        self._paused_at = -1e9
        self._runs: dict[str, CheckRun] = {}
        self._blocked_until: dict[str, float] = {}
        self.stats: dict[str, CheckStats] = {}
        self.checks: tuple[Check, ...] = (
            Check("replica whole", lambda shard, held: self._replica_is_complete(), Outcome.WAIT),
            Check("level fits", lambda shard, held: model.is_supported, Outcome.HAND_OVER),
            Check(
                "workers are heard",
                lambda shard, held: not member.hears_no_workers,
                Outcome.HAND_OVER,
                leader=False,
            ),
            Check("lease confirmed", lambda shard, held: self.is_steady(), Outcome.WAIT),
            Check(
                "owners before are counted",
                lambda shard, held: shard is None
                or previous_owner_bound_s(model, shard, held) is not None,
                Outcome.RECLAIM,
                leader=False,
            ),
        )

    # ---- single conditions ----

    def _replica_is_complete(self) -> bool:
        # While all keys are read anew, claims come before pages: a task placed before our claim
        # was unknown then, placed once more, and ran twice.
        return self._model.loaded and not self._model.loading

    def is_steady(self) -> bool:
        """Whether the lease was confirmed, and none of our time has passed unnoticed since."""
        self._note()
        return self._member.lease_is_current and self._member.confirmed_at >= self._paused_at

    def _note(self) -> None:
        now = self._clock.now()
        if now - self._noted_at > self._pause_s:
            log.info("stood still for %.1f s: nothing is decided for now", now - self._noted_at)
            self._paused_at = now
        self._noted_at = now

    # ---- what the membership asks ----

    def may_act_on_shard(self, shard: Shard, held: ObservedClaim) -> bool:
        """Whether a share may be acted for under the claim that the replica shows."""
        key = claim_key(shard.index)
        passage, stopped = self._run_checks(key, shard, held)
        if stopped is None:
            # Given up and taken again, it stands here again.
            del self._runs[key]
            return True
        if stopped.otherwise is Outcome.RECLAIM:
            self._member.reclaim(shard, held)
        if self._is_overdue(passage, stopped):
            self._hand_on(key, stopped)
            self._member.resign(shard)
        return False

    def may_act_as_leader(self, held: ObservedClaim) -> bool:
        """Whether the claim on the leadership may be acted on; cheap, asked again and again."""
        return self._run_checks(LEADER_KEY, None, held)[1] is None

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken: not what was just handed on."""
        return self._clock.now() >= self._blocked_until.get(key, -1e9)

    def review(self) -> None:
        """Hand the leadership on that cannot be acted on; called a few times a second."""
        self._note()
        held = self._model.leader_claim
        if held is None or held.record.node != self._member.node:
            self._runs.pop(LEADER_KEY, None)
            return
        passage, stopped = self._run_checks(LEADER_KEY, None, held)
        if stopped is not None and self._is_overdue(passage, stopped):
            self._hand_on(LEADER_KEY, stopped)
            self._member.resign_leadership()

    # ---- the walk through the list ----

    def _run_checks(
        self, key: str, shard: Shard | None, held: ObservedClaim
    ) -> tuple[CheckRun, Check | None]:
        now = self._clock.now()
        passage = self._runs.get(key)
        if passage is None or passage.version != held.version:
            passage = self._runs[key] = CheckRun(held.version, now)
        for check in self.checks:
            if (shard is None and not check.leader) or check.holds(shard, held):
                continue
            if passage.passed:
                # Once through, and stopped again: by a pause, or by a level that was raised.
                passage.passed, passage.since = False, now
            self._record_failure(passage, check.name, now)
            return passage, check
        self._record_failure(passage, None, now)
        if not passage.passed:
            passage.passed = True
            log.info("%s: passed the gate after %.3f s", key, now - passage.since)
            if not passage.logged:
                passage.logged = True
                self._passed(shard, held)
        return passage, None

    def _record_failure(self, passage: CheckRun, name: str | None, now: float) -> None:
        if passage.failed_check == name:
            return
        if passage.failed_check is not None:
            self.stats[passage.failed_check].seconds += now - passage.since
        if name is not None:
            self.stats.setdefault(name, CheckStats()).stops += 1
            log.info("at the gate: not yet %r", name)
        passage.failed_check = name

    def _is_overdue(self, passage: CheckRun, stopped: Check) -> bool:
        if not self._member.takeover_candidates():
            # Nobody else would act: it stays here until it passes.
            return False
        late = self._clock.now() - passage.since > self._limit_s
        return late or stopped.otherwise is Outcome.HAND_OVER

    def _hand_on(self, key: str, stopped: Check) -> None:
        log.info("%s: handed on, since not %r", key, stopped.name)
        self._blocked_until[key] = self._clock.now() + HANDED_OVER_BLOCK_S
        self._runs.pop(key, None)
