"""Which claims this controller should take, and on which it may act."""

from __future__ import annotations

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.candidates import candidates_by_load
from badgerseam.cluster.controller_lease import ControllerLease
from badgerseam.cluster.registration import Registration
from badgerseam.cluster.takeover_checks import TakeoverChecks
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard

HOME_GRACE_S = 2.5
"""How long after the start a shard that was never claimed is left to its home controller."""
SHARD_STAGGER_S = 0.25
"""Between the turns of two controllers to claim a shard."""
LEADER_STAGGER_S = 0.5
"""Between the turns of two controllers to claim the leadership after the start."""
STEADY_S = 1.5
"""How long a returned controller has to be alive before it gets its shard back."""


class ClaimPolicy:
    """Decisions on claims, from the replica alone; callers hold the model's lock."""

    def __init__(
        self, model: Model, order: list[str], lease: ControllerLease, registration: Registration
    ) -> None:
        """`order`: the names of all controllers, sorted."""
        self._model = model
        self._order = order
        self._lease = lease
        self._registration = registration
        self._node = model.settings.node
        self._started_at = model.clock.now()
        self._available_since: dict[str, float] = {}
        self.takeover_checks: TakeoverChecks | None = None
        """Further checks, where there is a standby (badgerseam/standby/)."""

    def observe_controllers(self, now: float) -> None:
        """Note since when each controller has been there and has taken shards."""
        controllers = self._model.controllers
        for name in list(self._available_since):
            if name not in controllers:
                del self._available_since[name]
        for name, seen in controllers.items():
            if seen.record.unavailable:
                self._available_since.pop(name, None)
            else:
                self._available_since.setdefault(name, now)

    # ---- acting under a claim of ours ----

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether the shard may be acted for under the claim that the replica shows."""
        if self.takeover_checks is not None:
            return self.takeover_checks.may_act_on_shard(shard, claim)
        # While all keys are read anew, the claim may be there before the pages: what they hold was
        # placed once more, and ran twice. The takeover gate has a check for that.
        return not self._model.loading

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether the claim on the leadership may be acted on."""
        return self.takeover_checks is None or self.takeover_checks.may_act_as_leader(claim)

    # ---- taking and passing on ----

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken now, as far as the takeover checks go."""
        return self.takeover_checks is None or self.takeover_checks.may_claim(key)

    def should_claim(self, shard: Shard, now: float) -> bool:
        """Whether it is our turn to claim a shard."""
        claim = shard.claim
        if self._registration.unavailable_reasons or not self.may_claim(claim_key(shard.index)):
            return False
        if claim is not None:
            return self._is_from_earlier_process(claim)
        home = self.home_of(shard)
        if home == self._node:
            return True
        vacant_s = now - max(shard.unowned_since, self._started_at)
        turn_s = self._claim_rank() * SHARD_STAGGER_S
        home_record = self._model.controllers.get(home)
        if home_record is not None and not home_record.record.unavailable:
            return vacant_s > HOME_GRACE_S + turn_s
        grace_s = 0.0 if shard.ever_claimed else HOME_GRACE_S
        return vacant_s >= grace_s + turn_s

    def should_lead(self, now: float) -> bool:
        """Whether it is our turn to claim the leadership."""
        claim = self._model.leader_claim
        reasons = self._registration.unavailable_reasons - {UnavailableReason.NO_HEARTBEATS}
        if reasons or not self.may_claim(LEADER_KEY):
            return False
        if claim is not None:
            return self._is_from_earlier_process(claim)
        return now - self._started_at > self._order.index(self._node) * LEADER_STAGGER_S

    def should_return(self, shard: Shard, now: float) -> bool:
        """Whether a shard of ours should go back to its home controller."""
        home = self.home_of(shard)
        since = self._available_since.get(home)
        return (
            home != self._node
            and not shard.releasing
            and since is not None
            and now - since > STEADY_S
            and (
                self.takeover_checks is None
                or self.takeover_checks.may_return_home(home, now - since)
            )
        )

    def home_of(self, shard: Shard) -> str:
        """The controller that owns a shard while all are there."""
        return self._order[shard.index % len(self._order)]

    def _is_from_earlier_process(self, claim: ObservedClaim) -> bool:
        # From before a restart: the process that took it is certainly gone.
        return claim.record.node == self._node and claim.record.lease != self._lease.number

    def _claim_rank(self) -> int:
        """Our turn among the candidates when something is to be claimed: the least busy first."""
        ranked = candidates_by_load(self._model, self._order)
        return ranked.index(self._node) if self._node in ranked else len(ranked)
