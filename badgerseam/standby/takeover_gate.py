"""The checks that a new owner of a shard, or a new leader, must pass before it decides anything.

The checks are the rules of the safety argument (docs/design.md). Each rule is also enforced where
it applies; this module lists all of them by name, so that none is omitted, with the outcome of a
failed check: the controller waits, replaces its claim, or hands the claim over. A controller that
does not pass within a bounded time hands the claim over as well, since a shard that is claimed but
has no active owner is worse than an unclaimed one. After a pause during which the clocks ran on
(the process was suspended) no claim passes until the state service has confirmed the lease by a
renewal that was sent after the pause.
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
"""A time between two observations of the clock counts as a pause of the process if it is longer
than this fraction of the controller's lease."""
HANDED_OVER_BLOCK_S = 5.0
"""Seconds for which this controller does not take a claim again after handing it over."""


class Outcome(Enum):
    """What the controller does if a check fails."""

    WAIT = "waits"
    RECLAIM = "claim made anew"
    HAND_OVER = "handed over"


@dataclass(frozen=True, slots=True)
class Check:
    """A named condition for acting under a claim."""

    name: str
    is_passed: Callable[[Shard | None, ObservedClaim], bool]
    """Whether the condition holds. Called with the shard, or None if the claim is on the
    leadership, and with the claim as the local replica of the state shows it."""
    on_failure: Outcome
    applies_to_leader: bool = True


@dataclass(slots=True)
class CheckRun:
    """The state of the checks of one claim."""

    version: int
    """The version of the claim."""
    since: float
    """When the claim was first checked, or when it failed again after having passed."""
    failed_check: str | None = None
    has_passed: bool = False
    is_takeover_reported: bool = False


@dataclass(slots=True)
class CheckStats:
    """How often a check has failed for a claim, and for how many seconds in total."""

    stops: int = 0
    seconds: float = 0.0


class TakeoverGate:
    """Runs the checks in their order, again before each decision. Callers hold the model's lock."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        options: StandbyOptions,
        ttl_s: float,
        on_takeover: Callable[[Shard | None, ObservedClaim], None],
    ) -> None:
        """`ttl_s`: the time to live of a controller's lease, in seconds; `on_takeover`: called once
        for each claim that passes, with its shard, or None for the leadership, before the claim is
        acted on."""
        self._on_takeover = on_takeover
        self._model = model
        self._membership = membership
        self._clock = model.clock
        self._limit_s = options.gate_s
        self._max_step_s = ttl_s * MAX_PAUSE_FRACTION
        self._observed_at = self._clock.now()
        self._paused_at = -1e9
        self._runs: dict[str, CheckRun] = {}
        """The state of the checks, by the key of the claim."""
        self._blocked_until: dict[str, float] = {}
        """Until when claims that were handed over are not taken again, by key."""
        self.stats: dict[str, CheckStats] = {}
        self.checks: tuple[Check, ...] = (
            Check("replica complete", self._is_replica_complete, Outcome.WAIT),
            Check("level supported", self._is_level_supported, Outcome.HAND_OVER),
            Check(
                "workers heard",
                self._receives_heartbeats,
                Outcome.HAND_OVER,
                applies_to_leader=False,
            ),
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
        # During a full reload claims are loaded before task pages. A task that was placed before
        # this controller's claim would not be known yet, would be placed again and run twice.
        return self._model.loaded and not self._model.loading

    def _is_level_supported(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return self._model.is_supported

    def _receives_heartbeats(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return not self._membership.receives_no_heartbeats

    def _is_lease_confirmed(self, _shard: Shard | None, _claim: ObservedClaim) -> bool:
        return self.lease_confirmed_since_pause()

    def _are_previous_owners_bounded(self, shard: Shard | None, claim: ObservedClaim) -> bool:
        return shard is None or previous_owner_bound_s(self._model, shard, claim) is not None

    def lease_confirmed_since_pause(self) -> bool:
        """Whether the lease is current and was confirmed by a renewal sent after the latest pause
        of this process."""
        self._detect_pause()
        return (
            self._membership.lease_is_current and self._membership.confirmed_at >= self._paused_at
        )

    def _detect_pause(self) -> None:
        now = self._clock.now()
        step_s = now - self._observed_at
        if step_s > self._max_step_s:
            log.info("process pause detected duration_s=%.1f", step_s)
            self._paused_at = now
        self._observed_at = now

    # ---- takeover checks ----

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the shard's owner under the claim in the replica."""
        key = claim_key(shard.index)
        run = self._run_for(key, claim)
        failed = self._run_checks(key, run, shard, claim)
        if failed is None:
            # If the claim is given up and taken again, it is checked again.
            del self._runs[key]
            return True
        if failed.on_failure is Outcome.RECLAIM:
            self._membership.reclaim(shard, claim)
        if self._should_hand_over(run, failed):
            self._block(key, failed)
            self._membership.resign(shard)
        return False

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the leader under the claim on the leadership; cheap,
        since it is called often."""
        run = self._run_for(LEADER_KEY, claim)
        return self._run_checks(LEADER_KEY, run, None, claim) is None

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken, that is, was not handed over just before."""
        return self._clock.now() >= self._blocked_until.get(key, -1e9)

    def review(self) -> None:
        """Hands the leadership over if it cannot be acted on; called a few times a second."""
        self._detect_pause()
        claim = self._model.leader_claim
        if claim is None or claim.record.node != self._membership.node:
            self._runs.pop(LEADER_KEY, None)
            return
        run = self._run_for(LEADER_KEY, claim)
        failed = self._run_checks(LEADER_KEY, run, None, claim)
        if failed is not None and self._should_hand_over(run, failed):
            self._block(LEADER_KEY, failed)
            self._membership.resign_leadership()

    # ---- checking a claim ----

    def _run_for(self, key: str, claim: ObservedClaim) -> CheckRun:
        """Returns the state of a claim's checks; each version of the claim starts with a new
        one."""
        run = self._runs.get(key)
        if run is None or run.version != claim.version:
            run = self._runs[key] = CheckRun(claim.version, self._clock.now())
        return run

    def _run_checks(
        self, key: str, run: CheckRun, shard: Shard | None, claim: ObservedClaim
    ) -> Check | None:
        """Runs the checks; returns the first one that fails, or None, and records it in the run."""
        now = self._clock.now()
        failed = self._first_failed(shard, claim)
        if failed is not None and run.has_passed:
            # A claim that has passed can fail again after a pause, or after the level was raised.
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
        if not self._membership.takeover_candidates():
            # No peer is available: the claim stays here until it passes.
            return False
        is_overdue = self._clock.now() - run.since > self._limit_s
        return is_overdue or failed.on_failure is Outcome.HAND_OVER

    def _block(self, key: str, failed: Check) -> None:
        """Blocks a claim that is handed over to a peer from being taken again for a while."""
        log.info("claim handed over key=%s check=%r", key, failed.name)
        self._blocked_until[key] = self._clock.now() + HANDED_OVER_BLOCK_S
        self._runs.pop(key, None)
