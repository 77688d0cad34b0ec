"""A controller without the state service and its peers, and the workers that still reach it.

Its workers reach it as before, while a peer acts for its shards as soon as its lease has ended.
From within it looks like an outage for all, in which every worker's lease would end if it
redirected its workers. What tells the two apart for certain is a worker: a term is the version of a
write that the state service has executed, so that a fencing token above the one that we could have
issued ourselves was issued by a later owner, which has reached that worker since.

- A shard's workers of a zone are redirected as soon as one of them shows such a token. Other zones'
  are not: what has reached one zone need not reach another.
- Each is redirected once for a token. One that comes back with it has found nobody: the later owner
  may have ended as well. Then its lease is renewed here, without a command but to halt what was
  cancelled, for as long as owners count with that: until the bound, and, where it shows a token of
  that owner's, only in our own zone and after our record must have ended.
- A machine that we may have transferred ourselves, in a write without an answer, proves nothing:
  the other shard's owner has answered it, and our shard stays ours.
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
    """How the heartbeat of a worker of ours is answered; each value says why."""

    ANSWER = "goes on as ever"
    REDIRECT = "the share has a later owner"
    PROXY = "that one was not found"


class PartitionedOperation:
    """What workers prove to a controller that has lost the state service."""

    def __init__(
        self, model: Model, member: Membership, is_counted_on_in: Callable[[str], bool]
    ) -> None:
        """`is_counted_on_in`: whether owners count with our answers to their workers in a zone."""
        self._model = model
        self._member = member
        self._is_counted_on_in = is_counted_on_in
        self._superseded_terms: dict[tuple[int, str], int] = {}
        """The term of ours that a worker has shown to be superseded, by shard and zone."""
        self._redirected_tokens: dict[str, int] = {}
        """The highest token with which each machine was redirected, by name."""

    @property
    def is_partitioned(self) -> bool:
        """Whether the state service certainly serves others, and does not serve us."""
        return not self._member.lease_is_current and any(
            self._model.shards[index].owned and self._model.shards[index].term == term
            for (index, _), term in self._superseded_terms.items()
        )

    def verdict(self, shard: Shard, machine: Machine, token: int) -> HeartbeatVerdict:
        """How a worker of a shard of ours is answered that shows that token."""
        if self._served_recently():
            # The replica tells who owns the shard; a worker that knows more has to go all the same.
            return (
                HeartbeatVerdict.REDIRECT
                if token > machine.fencing_token
                else HeartbeatVerdict.ANSWER
            )
        shard_zone = shard.index, machine.zone
        if token >> BUMP_BITS > machine.term and not machine.transferring:
            if self._superseded_terms.get(shard_zone) != shard.term:
                log.info(
                    "later owner detected shard=%d term=%d machine=%s zone=%s",
                    shard.index,
                    shard.term,
                    machine.name,
                    machine.zone,
                )
            self._superseded_terms[shard_zone] = shard.term
        is_newer = token > machine.fencing_token
        if not is_newer and self._superseded_terms.get(shard_zone) != shard.term:
            return HeartbeatVerdict.ANSWER
        if self._is_first_redirect(machine, token) or (
            is_newer and not self._is_counted_on_in(machine.zone)
        ):
            return HeartbeatVerdict.REDIRECT
        return HeartbeatVerdict.PROXY

    def should_redirect_proxied(self, shard: Shard, machine: Machine, token: int) -> bool:
        """Whether a worker whose heartbeats we would proxy knows a later owner than we do."""
        if self._served_recently() or shard.claim is None:
            return False
        if token >> BUMP_BITS <= max(shard.claim.version, machine.version):
            return False
        return self._is_first_redirect(machine, token)

    def _served_recently(self) -> bool:
        """Whether the state service has answered of late; what was known before is dropped then."""
        if not self._member.lease_is_current:
            return False
        self._superseded_terms.clear()
        self._redirected_tokens.clear()
        return True

    def _is_first_redirect(self, machine: Machine, token: int) -> bool:
        latest = self._redirected_tokens.get(machine.name, -1)
        # A copy of an older heartbeat, delayed, must not make it leave once more.
        self._redirected_tokens[machine.name] = max(latest, token)
        return token > latest
