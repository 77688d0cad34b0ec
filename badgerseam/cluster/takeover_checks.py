"""What the claim policy asks a standby, where there is one (badgerseam/standby/)."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.state import ObservedClaim, Shard


class TakeoverChecks(Protocol):
    """Asked before a claim is acted on, taken or passed on; callers hold the model's lock."""

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether a shard may be acted for under the claim that the replica shows."""

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether the claim on the leadership may be acted on."""

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken."""

    def may_return_home(self, home: str, alive_s: float) -> bool:
        """Whether a shard may go back to its home, which has been alive for `alive_s` seconds."""
