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

from badgerseam.cluster.membership import Member
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import Held, Share
from badgerseam.options.standby import StandbyOptions

log = logging.getLogger("badgerseam.standby")

PAUSE_PART = 0.25
"""A step of the clock longer than this part of the state lease counts as a pause."""
BAR_S = 5.0
"""How long a claim that was handed on is left to the others."""


class Outcome(Enum):
    """What a check that is not passed asks for."""

    WAIT = "waits"
    ANEW = "claim made anew"
    HAND_ON = "handed on"


@dataclass(frozen=True, slots=True)
class Check:
    """A condition for acting under a claim, by name."""

    name: str
    holds: Callable[[Share | None, Held], bool]
    """Of a share, or (None) of the leadership, and the claim as the replica shows it."""
    otherwise: Outcome
    leader: bool = True
    """Asked of a new leader as well."""


@dataclass(slots=True)
class Passage:
    """A claim at the gate, or through it."""

    version: int
    since: float
    stopped_by: str | None = None
    passed: bool = False
    told: bool = False


@dataclass(slots=True)
class Tally:
    """How often a check has stopped somebody, and for how long altogether."""

    stops: int = 0
    seconds: float = 0.0


class Gate:
    """Asked by the membership whenever a claim of ours is there to be acted on."""

    def __init__(
        self,
        model: Model,
        member: Member,
        options: StandbyOptions,
        ttl_s: float,
        passed: Callable[[Share | None, Held], None] = lambda share, held: None,
    ) -> None:
        """`ttl_s`: the state lease of a controller, in seconds; `passed`: told of each claim that
        comes through, a share's or (None) the leadership's, before it is acted on."""
        self._passed = passed
        self._model = model
        self._member = member
        self._clock = model.clock
        self._limit_s = options.gate_s
        self._pause_s = ttl_s * PAUSE_PART
        self._noted_at = self._clock.now()
        self._paused_at = -1e9
        self._passages: dict[str, Passage] = {}
        self._barred: dict[str, float] = {}
        self.tallies: dict[str, Tally] = {}
        self.checks: tuple[Check, ...] = (
            Check("replica whole", lambda share, held: self._whole(), Outcome.WAIT),
            Check("level fits", lambda share, held: model.fits, Outcome.HAND_ON),
            Check(
                "workers are heard",
                lambda share, held: not member.deaf,
                Outcome.HAND_ON,
                leader=False,
            ),
            Check("lease confirmed", lambda share, held: self.steady(), Outcome.WAIT),
            Check(
                "owners before are counted",
                lambda share, held: share is None or member.others_s(share, held) is not None,
                Outcome.ANEW,
                leader=False,
            ),
        )

    # ---- single conditions ----

    def _whole(self) -> bool:
        # While all keys are read anew, claims come before pages: a task placed before our claim
        # was unknown then, placed once more, and ran twice.
        return self._model.loaded and not self._model.loading

    def steady(self) -> bool:
        """Whether the lease was confirmed, and none of our time has passed unnoticed since."""
        self._note()
        return self._member.connected and self._member.confirmed_at >= self._paused_at

    def _note(self) -> None:
        now = self._clock.now()
        if now - self._noted_at > self._pause_s:
            log.info("stood still for %.1f s: nothing is decided for now", now - self._noted_at)
            self._paused_at = now
        self._noted_at = now

    # ---- what the membership asks ----

    def passes(self, share: Share, held: Held) -> bool:
        """Whether a share may be acted for under the claim that the replica shows."""
        key = claim_key(share.index)
        passage, stopped = self._ask(key, share, held)
        if stopped is None:
            # Given up and taken again, it stands here again.
            del self._passages[key]
            return True
        if stopped.otherwise is Outcome.ANEW:
            self._member.claim_anew(share, held)
        if self._over(passage, stopped):
            self._hand_on(key, stopped)
            self._member.resign(share)
        return False

    def leads(self, held: Held) -> bool:
        """Whether the claim on the leadership may be acted on; cheap, asked again and again."""
        return self._ask(LEADER_KEY, None, held)[1] is None

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken: not what was just handed on."""
        return self._clock.now() >= self._barred.get(key, -1e9)

    def review(self) -> None:
        """Hand the leadership on that cannot be acted on; called a few times a second."""
        self._note()
        held = self._model.leader
        if held is None or held.claim.node != self._member.node:
            self._passages.pop(LEADER_KEY, None)
            return
        passage, stopped = self._ask(LEADER_KEY, None, held)
        if stopped is not None and self._over(passage, stopped):
            self._hand_on(LEADER_KEY, stopped)
            self._member.resign_leadership()

    # ---- the walk through the list ----

    def _ask(self, key: str, share: Share | None, held: Held) -> tuple[Passage, Check | None]:
        now = self._clock.now()
        passage = self._passages.get(key)
        if passage is None or passage.version != held.version:
            passage = self._passages[key] = Passage(held.version, now)
        for check in self.checks:
            if (share is None and not check.leader) or check.holds(share, held):
                continue
            if passage.passed:
                # Once through, and stopped again: by a pause, or by a level that was raised.
                passage.passed, passage.since = False, now
            self._stopped(passage, check.name, now)
            return passage, check
        self._stopped(passage, None, now)
        if not passage.passed:
            passage.passed = True
            log.info("%s: passed the gate after %.3f s", key, now - passage.since)
            if not passage.told:
                passage.told = True
                self._passed(share, held)
        return passage, None

    def _stopped(self, passage: Passage, name: str | None, now: float) -> None:
        if passage.stopped_by == name:
            return
        if passage.stopped_by is not None:
            self.tallies[passage.stopped_by].seconds += now - passage.since
        if name is not None:
            self.tallies.setdefault(name, Tally()).stops += 1
            log.info("at the gate: not yet %r", name)
        passage.stopped_by = name

    def _over(self, passage: Passage, stopped: Check) -> bool:
        if not self._member.others():
            # Nobody else would act: it stays here until it passes.
            return False
        late = self._clock.now() - passage.since > self._limit_s
        return late or stopped.otherwise is Outcome.HAND_ON

    def _hand_on(self, key: str, stopped: Check) -> None:
        log.info("%s: handed on, since not %r", key, stopped.name)
        self._barred[key] = self._clock.now() + BAR_S
        self._passages.pop(key, None)
