"""The interface through which the claim policy consults the standby, if it is enabled
(badgerseam/standby/)."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.state import ObservedClaim, Shard


class TakeoverChecks(Protocol):
    """Checks before a claim is acted on, taken or returned; callers hold the model's lock."""

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the shard's owner under the claim in the replica."""

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the leader under the claim on the leadership."""

    def may_claim(self, key: str) -> bool:
        """Whether this controller may take a claim."""

    def may_return_home(self, home: str, available_s: float) -> bool:
        """Whether a shard may be returned to its home controller, which has been available for
        `available_s` seconds."""
