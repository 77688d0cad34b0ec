"""Decides which claims this controller should take, and on which it may act."""

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
"""Seconds after the start during which a shard that was never claimed is left to its home
controller."""
SHARD_STAGGER_S = 0.25
"""Seconds between the turns of two successive candidates to claim a shard."""
LEADER_STAGGER_S = 0.5
"""Seconds between the turns of two controllers to claim the leadership after the start."""
MIN_AVAILABLE_S = 1.5
"""Seconds for which a controller that has come back must be available before its shard is returned
to it."""


class ClaimPolicy:
    """Decides on claims from the replica alone; callers hold the model's lock."""

    def __init__(
        self,
        model: Model,
        controller_names: list[str],
        lease: ControllerLease,
        registration: Registration,
    ) -> None:
        """`controller_names`: the names of all controllers, sorted."""
        self._model = model
        self._controller_names = controller_names
        self._lease = lease
        self._registration = registration
        self._node = model.settings.node
        self._started_at = model.clock.now()
        self._available_since: dict[str, float] = {}
        self.takeover_checks: TakeoverChecks | None = None
        """Additional checks if the standby (badgerseam/standby/) is enabled, else None."""

    def observe_controllers(self, now: float) -> None:
        """Records since when each controller has been registered and available to own shards."""
        controllers = self._model.controllers
        for name in list(self._available_since):
            if name not in controllers:
                del self._available_since[name]
        for name, seen in controllers.items():
            if seen.record.unavailable:
                self._available_since.pop(name, None)
            else:
                self._available_since.setdefault(name, now)

    # ---- acting under this controller's claims ----

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the shard's owner under the claim in the replica."""
        if self.takeover_checks is not None:
            return self.takeover_checks.may_act_on_shard(shard, claim)
        # During a full reload the claim may be loaded before the task pages: tasks that the pages
        # place would be placed again and run twice. The takeover gate has its own check for this.
        return not self._model.loading

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the leader under the claim on the leadership."""
        return self.takeover_checks is None or self.takeover_checks.may_act_as_leader(claim)

    # ---- taking and returning claims ----

    def may_claim(self, key: str) -> bool:
        """Whether the takeover checks, if there are any, allow taking a claim now."""
        return self.takeover_checks is None or self.takeover_checks.may_claim(key)

    def should_claim(self, shard: Shard, now: float) -> bool:
        """Whether this controller should claim a shard now."""
        claim = shard.claim
        if self._registration.unavailable_reasons or not self.may_claim(claim_key(shard.index)):
            return False
        if claim is not None:
            return self._is_from_earlier_process(claim)
        home = self.home_of(shard)
        if home == self._node:
            return True
        vacant_s = now - max(shard.unowned_since, self._started_at)
        stagger_s = self._claim_rank() * SHARD_STAGGER_S
        home_record = self._model.controllers.get(home)
        if home_record is not None and not home_record.record.unavailable:
            return vacant_s > HOME_GRACE_S + stagger_s
        grace_s = 0.0 if shard.ever_claimed else HOME_GRACE_S
        return vacant_s >= grace_s + stagger_s

    def should_lead(self, now: float) -> bool:
        """Whether this controller should claim the leadership now."""
        claim = self._model.leader_claim
        reasons = self._registration.unavailable_reasons - {UnavailableReason.NO_HEARTBEATS}
        if reasons or not self.may_claim(LEADER_KEY):
            return False
        if claim is not None:
            return self._is_from_earlier_process(claim)
        return now - self._started_at > self._controller_names.index(self._node) * LEADER_STAGGER_S

    def should_return(self, shard: Shard, now: float) -> bool:
        """Whether a shard of this controller should be returned to its home controller."""
        home = self.home_of(shard)
        since = self._available_since.get(home)
        return (
            home != self._node
            and not shard.releasing
            and since is not None
            and now - since > MIN_AVAILABLE_S
            and (
                self.takeover_checks is None
                or self.takeover_checks.may_return_home(home, now - since)
            )
        )

    def home_of(self, shard: Shard) -> str:
        """Returns the controller that owns a shard while all controllers are available."""
        return self._controller_names[shard.index % len(self._controller_names)]

    def _is_from_earlier_process(self, claim: ObservedClaim) -> bool:
        # The claim names this controller but another lease: it was taken before a restart, by a
        # process that has certainly ended.
        return claim.record.node == self._node and claim.record.lease != self._lease.number

    def _claim_rank(self) -> int:
        """Returns this controller's position among the candidates to claim a shard, the one that
        owns the fewest shards first."""
        ranked = candidates_by_load(self._model, self._controller_names)
        return ranked.index(self._node) if self._node in ranked else len(ranked)
