"""A controller cut off from the state service and its siblings, and the workers that stay with it.

Its workers reach it as before, while a sibling acts for its shares as soon as its state lease has
ended. From within it looks like an outage for all, in which every lease would end if it let its
workers go. What tells the two apart for certain is a worker: a term is the stamp of a write that
the state service has executed, so that a token above the one that we could have given ourselves was
given by a later owner, which has reached that worker since.

- A share's workers of a zone are sent on as soon as one of them shows such a token. Other zones'
  are not: what has reached one zone need not reach another.
- Each is sent on once for a token. One that comes back with it has found nobody: the later owner
  may have ended as well. Then its lease goes on here, without a command but to halt what was
  cancelled, for as long as owners count with that: until the bound, and, where it shows a token of
  that owner's, only in our own zone and after our record must have ended.
- A machine that we may have given away ourselves, in a write without an answer, proves nothing: the
  other share's owner has greeted it, and ours stays ours.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from badgerseam.cluster.membership import Membership
from badgerseam.model.machine import BUMP_BITS, Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard

log = logging.getLogger("badgerseam.cluster")


class HeartbeatVerdict(Enum):
    """What a worker is told that reports to its owner."""

    ANSWER = "goes on as ever"
    REDIRECT = "the share has a later owner"
    PROXY = "that one was not found"


class PartitionedOperation:
    """What workers prove to a controller that has lost the state service."""

    def __init__(self, model: Model, member: Membership, counted_in: Callable[[str], bool]) -> None:
        """`counted_in`: whether owners count with our answering workers of theirs in a zone."""
        self._model = model
        self._member = member
        self._counted_in = counted_in
        self._outgrown: dict[tuple[int, str], int] = {}
        """The term of ours that a worker has outgrown, by share and zone."""
        self._sent: dict[str, int] = {}
        """The token with which each machine was sent on, by name."""

    @property
    def is_partitioned(self) -> bool:
        """Whether the state service certainly serves others, and does not serve us."""
        return not self._member.lease_is_current and any(
            self._model.shards[index].owned and self._model.shards[index].term == term
            for (index, _), term in self._outgrown.items()
        )

    def verdict(self, shard: Shard, machine: Machine, token: int) -> HeartbeatVerdict:
        """What a worker of a share of ours is told that shows that token."""
        if self._served_recently():
            # The replica tells who owns the share; a worker that knows more has to go all the same.
            return (
                HeartbeatVerdict.REDIRECT
                if token > machine.fencing_token
                else HeartbeatVerdict.ANSWER
            )
        where = shard.index, machine.zone
        if token >> BUMP_BITS > machine.term and not machine.transferring:
            if self._outgrown.get(where) != shard.term:
                log.info(
                    "share %d: %s knows a later owner: workers of zone %s are sent on",
                    shard.index,
                    machine.name,
                    machine.zone,
                )
            self._outgrown[where] = shard.term
        above = token > machine.fencing_token
        if not above and self._outgrown.get(where) != shard.term:
            return HeartbeatVerdict.ANSWER
        if self._is_first(machine, token) or (above and not self._counted_in(machine.zone)):
            return HeartbeatVerdict.REDIRECT
        return HeartbeatVerdict.PROXY

    def knows_newer_owner(self, shard: Shard, machine: Machine, token: int) -> bool:
        """Whether a worker for whose owner we would stand in knows a later one than we do."""
        if self._served_recently() or shard.claim is None:
            return False
        if token >> BUMP_BITS <= max(shard.claim.version, machine.version):
            return False
        return self._is_first(machine, token)

    def _served_recently(self) -> bool:
        """Whether the state service has answered of late; what was found out before is past."""
        if not self._member.lease_is_current:
            return False
        self._outgrown.clear()
        self._sent.clear()
        return True

    def _is_first(self, machine: Machine, token: int) -> bool:
        before = self._sent.get(machine.name, -1)
        # A copy of an older report, come late, must not make it leave once more.
        self._sent[machine.name] = max(before, token)
        return token > before
