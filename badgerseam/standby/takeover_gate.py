"""What is checked before a new owner of a shard, or a new leader, decides anything.

The rules are those of the safety argument (docs/design.md), and each stands where it is applied
otherwise as well. Here is the one list of them, by name, so that none is left out, each with what
becomes of a controller that does not pass it: it waits, or it has the claim made anew, or it hands
the claim over. Whoever does not pass in a bounded time hands over as well, since a shard that is
claimed and not acted for is worse than one that is free. After a pause in which the clocks ran on
(the process was suspended) nothing passes until the state service has confirmed the lease by a
renewal that was sent after it.
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
"""A step of the clock longer than this part of the controller's lease counts as a pause."""
HANDED_OVER_BLOCK_S = 5.0
"""How long a claim that was handed over is left to the others."""


class Outcome(Enum):
    """What follows if a check is not passed."""

    WAIT = "waits"
    RECLAIM = "claim made anew"
    HAND_OVER = "handed over"


@dataclass(frozen=True, slots=True)
class Check:
    """A condition for acting under a claim, by name."""

    name: str
    is_passed: Callable[[Shard | None, ObservedClaim], bool]
    """By the shard, or None for the leadership, and the claim as the replica shows it."""
    on_failure: Outcome
    applies_to_leader: bool = True


@dataclass(slots=True)
class CheckRun:
    """How far one claim has come in the checks."""

    version: int
    """Of the claim."""
    since: float
    """When the claim was first checked, or failed again after it had passed."""
    failed_check: str | None = None
    has_passed: bool = False
    is_takeover_reported: bool = False


@dataclass(slots=True)
class CheckStats:
    """How often a check has stopped a claim, and for how long altogether."""

    stops: int = 0
    seconds: float = 0.0


class TakeoverGate:
    """The checks in their order; asked anew before each decision. Callers hold the model's lock."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        options: StandbyOptions,
        ttl_s: float,
        on_takeover: Callable[[Shard | None, ObservedClaim], None],
    ) -> None:
        """`ttl_s`: the lease of a controller, in seconds; `on_takeover`: called once for each claim
        that passes, with its shard, or None for the leadership, before it is acted on."""
        self._on_takeover = on_takeover
        self._model = model
        self._member = member
        self._clock = model.clock
        self._limit_s = options.gate_s
        self._max_step_s = ttl_s * MAX_PAUSE_FRACTION
        self._observed_at = self._clock.now()
        self._paused_at = -1e9
        self._runs: dict[str, CheckRun] = {}
        """By the key of the claim."""
        self._blocked_until: dict[str, float] = {}
        """Until when claims that were handed over are left to others, by key."""
        self.stats: dict[str, CheckStats] = {}
        self.checks: tuple[Check, ...] = (
            Check("replica complete", self._is_replica_complete, Outcome.WAIT),
            Check("level supported", self._is_level_supported, Outcome.HAND_OVER),
            Check("workers heard", self._hears_workers, Outcome.HAND_OVER, applies_to_leader=False),
            Check("lease confirmed", self._is_lease_confirmed, Outcome.WAIT),
            Check(
                "previous owners bounded",
                self._are_previous_owners_bounded,
                Outcome.RECLAIM,
                applies_to_leader=False,
            ),
        )

    # ---- the checks ----

    def _is_replica_complete(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        # While all keys are read anew, claims come before pages: a task placed before our claim
        # was unknown then, placed once more, and ran twice.
        return self._model.loaded and not self._model.loading

    def _is_level_supported(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return self._model.is_supported

    def _hears_workers(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return not self._member.receives_no_heartbeats

    def _is_lease_confirmed(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return self.lease_confirmed_since_pause()

    def _are_previous_owners_bounded(self, shard: Shard | None, claim: ObservedClaim) -> bool:
        return shard is None or previous_owner_bound_s(self._model, shard, claim) is not None

    def lease_confirmed_since_pause(self) -> bool:
        """Whether our lease was confirmed, and none of our time has passed unnoticed since."""
        self._detect_pause()
        return self._member.lease_is_current and self._member.confirmed_at >= self._paused_at

    def _detect_pause(self) -> None:
        now = self._clock.now()
        step_s = now - self._observed_at
        if step_s > self._max_step_s:
            log.info("process pause detected duration_s=%.1f", step_s)
            self._paused_at = now
        self._observed_at = now

    # ---- what the membership asks ----

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether a shard may be acted for under the claim that the replica shows."""
        key = claim_key(shard.index)
        run = self._run_for(key, claim)
        failed = self._run_checks(key, run, shard, claim)
        if failed is None:
            # Given up and taken again, it is checked again.
            del self._runs[key]
            return True
        if failed.on_failure is Outcome.RECLAIM:
            self._member.reclaim(shard, claim)
        if self._should_hand_over(run, failed):
            self._block(key, failed)
            self._member.resign(shard)
        return False

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether the claim on the leadership may be acted on; cheap, asked again and again."""
        run = self._run_for(LEADER_KEY, claim)
        return self._run_checks(LEADER_KEY, run, None, claim) is None

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken: not what was just handed over."""
        return self._clock.now() >= self._blocked_until.get(key, -1e9)

    def review(self) -> None:
        """Hand the leadership over if it cannot be acted on; called a few times a second."""
        self._detect_pause()
        claim = self._model.leader_claim
        if claim is None or claim.record.node != self._member.node:
            self._runs.pop(LEADER_KEY, None)
            return
        run = self._run_for(LEADER_KEY, claim)
        failed = self._run_checks(LEADER_KEY, run, None, claim)
        if failed is not None and self._should_hand_over(run, failed):
            self._block(LEADER_KEY, failed)
            self._member.resign_leadership()

    # ---- one claim's way through the checks ----

    def _run_for(self, key: str, claim: ObservedClaim) -> CheckRun:
        """The run of a claim, begun anew for each version of it."""
        run = self._runs.get(key)
        if run is None or run.version != claim.version:
            run = self._runs[key] = CheckRun(claim.version, self._clock.now())
        return run

    def _run_checks(
        self, key: str, run: CheckRun, shard: Shard | None, claim: ObservedClaim
    ) -> Check | None:
        """The first check that is not passed, or None, noted in the run."""
        now = self._clock.now()
        failed = self._first_failed(shard, claim)
        if failed is not None and run.has_passed:
            # Failed again: after a pause, or since the level was raised.
            run.has_passed, run.since = False, now
        self._record_failure(key, run, None if failed is None else failed.name, now)
        if failed is None and not run.has_passed:
            self._record_pass(key, run, now)
            if not run.is_takeover_reported:
                run.is_takeover_reported = True
                self._on_takeover(shard, claim)
        return failed

    def _first_failed(self, shard: Shard | None, claim: ObservedClaim) -> Check | None:
        for check in self.checks:
            if shard is None and not check.applies_to_leader:
                continue
            if not check.is_passed(shard, claim):
                return check
        return None

    def _record_failure(self, key: str, run: CheckRun, name: str | None, now: float) -> None:
        if run.failed_check == name:
            return
        if run.failed_check is not None:
            self.stats[run.failed_check].seconds += now - run.since
        if name is not None:
            self.stats.setdefault(name, CheckStats()).stops += 1
            log.info("takeover check failed key=%s term=%d check=%r", key, run.version, name)
        run.failed_check = name

    def _record_pass(self, key: str, run: CheckRun, now: float) -> None:
        run.has_passed = True
        log.info(
            "takeover checks passed key=%s term=%d duration_s=%.3f",
            key,
            run.version,
            now - run.since,
        )

    def _should_hand_over(self, run: CheckRun, failed: Check) -> bool:
        if not self._member.takeover_candidates():
            # Nobody else would act: it stays here until it passes.
            return False
        is_overdue = self._clock.now() - run.since > self._limit_s
        return is_overdue or failed.on_failure is Outcome.HAND_OVER

    def _block(self, key: str, failed: Check) -> None:
        """Leave a claim that is handed over to others for a while."""
        log.info("claim handed over key=%s check=%r", key, failed.name)
        self._blocked_until[key] = self._clock.now() + HANDED_OVER_BLOCK_S
        self._runs.pop(key, None)
