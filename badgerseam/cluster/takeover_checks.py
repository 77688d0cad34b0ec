"""What the membership asks a standby, where there is one (badgerseam/standby/)."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.state import ObservedClaim, Shard


class TakeoverChecks(Protocol):
    """Asked before anything is decided under a claim, and before claims are taken or passed on."""

    def may_act_on_shard(self, shard: Shard, held: ObservedClaim) -> bool:
        """Whether a share may be acted for under the claim that the replica shows."""

    def may_act_as_leader(self, held: ObservedClaim) -> bool:
        """Whether the claim on the leadership may be acted on."""

    def may_claim(self, key: str) -> bool:
        """Whether a claim may be taken."""

    def may_return_home(self, home: str, alive_s: float) -> bool:
        """Whether a share may go back to its home, which has been there for so long."""
