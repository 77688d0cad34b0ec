"""Sends an owner's soft state, which the state service does not store, to the peers that subscribe.

Each response to a request that was held open carries the changes since the previous response, as
many as fit. A few machines are scanned for each response, in turn, so that nothing is queued; a
subscriber that is slow, or has lost a response, is sent everything again. Hints are never
authoritative: permission to act depends on stored records alone, and docs/standby.md lists for each
field what a wrong hint can cause.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from badgerseam.fleet.demand import Offer
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.options.standby import StandbyOptions
from badgerseam.wire import standby as wire

MAX_MACHINES_SCANNED = 256
"""Maximum number of machines scanned for one response."""
MAX_REQUEST_INTERVAL_S = 5.0
"""Seconds without a request after which a peer no longer counts as subscribed."""
MAX_EVICTIONS = 8
"""Maximum number of a machine's evictions that are sent, the latest ones."""
MAX_IMAGES = 16
"""Maximum number of a machine's images that are sent."""

BlockedOffers = dict[Offer, tuple[float, float]]
"""Offers without capacity: until when each is not requested again, and the pause, in seconds."""


class _MachineVersion(NamedTuple):
    """The values of a machine that cause it to be sent again when one of them changes."""

    term: int
    address: str
    incarnation: int
    acknowledged_token: int
    last_eviction_at: float
    images: int


def _version_of(machine: Machine) -> _MachineVersion:
    return _MachineVersion(
        machine.term,
        machine.address,
        machine.incarnation,
        machine.acknowledged_token,
        machine.evictions[-1] if machine.evictions else 0.0,
        len(machine.images),
    )


class _ShardCounts(NamedTuple):
    """The values of a shard that cause it to be sent again, even without changed machines, when one
    of them changes."""

    term: int
    finished: int
    evicted: int


@dataclass(slots=True)
class _Subscriber:
    """The state of one subscribed peer: what it has been sent."""

    update_number: int = 0
    """The number of the latest update sent."""
    requested_at: float = -1e9
    scans: int = 0
    """How many scans of all machines have been started for the peer."""
    sent_machines: dict[str, _MachineVersion] = field(default_factory=dict)
    to_scan: list[int] = field(default_factory=list)
    """The machines that the current scan has yet to cover."""
    sent_counts: dict[int, _ShardCounts] = field(default_factory=dict)


class SoftStateSender:
    """The owner's side: builds the updates for each subscriber."""

    def __init__(
        self, model: Model, options: StandbyOptions, process: str, blocked: BlockedOffers
    ) -> None:
        """`process`: the name of this process; `blocked`: the leader's offers without capacity,
        read for each update."""
        self._model = model
        self._max_bytes = round(options.hints_kb * 1024)
        self._process = process
        self._blocked = blocked
        self._subscribers: dict[str, _Subscriber] = {}

    def build_update(
        self, follow: wire.FollowRequest, is_held_open: bool, leader_term: int
    ) -> wire.SoftStateUpdate:
        """Builds the update with the changes for a subscriber; called with the model's lock held.

        `is_held_open`: copied into the update; `leader_term`: the version of this controller's
        claim on the leadership, or 0.
        """
        subscriber = self._subscribers.get(follow.node)
        has_latest = subscriber is not None and (
            (follow.process, follow.number) == (self._process, subscriber.update_number)
        )
        if subscriber is None or not has_latest:
            # The peer has not received the latest update, or its latest update came from another
            # process.
            subscriber = self._subscribers[follow.node] = _Subscriber(follow.number)
        subscriber.update_number += 1
        subscriber.requested_at = self._model.clock.now()
        shards = self._changed_shards(subscriber) if self._max_bytes else []
        blocked = self._blocked_hints() if leader_term else []
        return wire.SoftStateUpdate(
            self._process, subscriber.update_number, is_held_open, shards, leader_term, blocked
        )

    def is_caught_up(self, node: str) -> bool:
        """Whether a peer has been sent everything, and is still subscribed."""
        subscriber = self._subscribers.get(node)
        if subscriber is None:
            return False
        if self._model.clock.now() - subscriber.requested_at > MAX_REQUEST_INTERVAL_S:
            return False
        return subscriber.scans > 1 or not self._max_bytes or not subscriber.to_scan

    def _blocked_hints(self) -> list[wire.BlockedHint]:
        now = self._model.clock.now()
        return [
            wire.BlockedHint(offer.type, offer.zone, offer.spot, round(until - now, 1), pause_s)
            for offer, (until, pause_s) in self._blocked.items()
            if until > now
        ]

    def _changed_shards(self, subscriber: _Subscriber) -> list[wire.ShardHint]:
        if not subscriber.to_scan:
            self._begin_scan(subscriber)
        machines = self._changed_machines(subscriber)
        hints = []
        for shard in self._model.shards:
            counts = _ShardCounts(shard.term, shard.finished, shard.evicted)
            has_changed = subscriber.sent_counts.get(shard.index) != counts
            if shard.owned and (shard.index in machines or has_changed):
                subscriber.sent_counts[shard.index] = counts
                hints.append(wire.ShardHint(shard.index, *counts, machines.get(shard.index, [])))
        return hints

    def _begin_scan(self, subscriber: _Subscriber) -> None:
        model = self._model
        subscriber.scans += 1
        subscriber.to_scan = [
            index
            for shard in model.shards
            if shard.owned
            for index in model.shard_machines[shard.index]
        ]
        if len(subscriber.sent_machines) > 2 * len(subscriber.to_scan):
            # Most entries are of machines that no longer exist.
            subscriber.sent_machines.clear()

    def _changed_machines(self, subscriber: _Subscriber) -> dict[int, list[wire.MachineHint]]:
        """Returns hints for the next changed machines of the scan, as many as fit, by shard."""
        model = self._model
        changed: dict[int, list[wire.MachineHint]] = {}
        bytes_left = self._max_bytes
        for _ in range(min(MAX_MACHINES_SCANNED, len(subscriber.to_scan))):
            if bytes_left <= 0:
                break
            machine = model.machines.get(subscriber.to_scan.pop())
            if machine is None or not model.shards[machine.shard].owned:
                continue
            version = _version_of(machine)
            if machine.incarnation == 0 or subscriber.sent_machines.get(machine.name) == version:
                continue
            subscriber.sent_machines[machine.name] = version
            hint = self._machine_hint(machine)
            changed.setdefault(machine.shard, []).append(hint)
            bytes_left -= len(wire.encode(hint))
        return changed

    def _machine_hint(self, machine: Machine) -> wire.MachineHint:
        now = self._model.clock.now()
        return wire.MachineHint(
            machine.name,
            machine.address,
            machine.incarnation,
            machine.acknowledged_token,
            [round(now - at, 1) for at in list(machine.evictions)[-MAX_EVICTIONS:]],
            sorted(machine.images)[:MAX_IMAGES],
        )


@dataclass(frozen=True, slots=True)
class _ReceivedMachine:
    """A hint on a machine, and when it was received."""

    received_at: float
    hint: wire.MachineHint


@dataclass(slots=True)
class _ReceivedShard:
    """The hints on a shard that were received for one term."""

    term: int
    finished: int = 0
    evicted: int = 0
    updated_at: float = -1e9
    """When the shard's owner last responded."""
    machines: dict[str, _ReceivedMachine] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _ReceivedOffers:
    """The offers without capacity that the leader of a term has sent."""

    term: int = 0
    received_at: float = -1e9
    hints: list[wire.BlockedHint] = field(default_factory=list)


class SoftStateReceiver:
    """The successor's side: stores what owners have sent, and uses it when their claims are taken
    over."""

    def __init__(
        self, model: Model, options: StandbyOptions, window_s: float, blocked: BlockedOffers
    ) -> None:
        """`window_s`: for how many seconds an eviction counts; `blocked`: this controller's offers
        without capacity, filled in at a takeover."""
        self._model = model
        self._max_age_s = options.hint_age_s
        self._window_s = window_s
        self._blocked = blocked
        self._shards: dict[int, _ReceivedShard] = {}
        self._offers = _ReceivedOffers()
        self._replaced_versions: dict[str, int] = {}
        """The latest version of each claim, by key, that named another controller."""

    def on_update(self, node: str, update: wire.SoftStateUpdate) -> None:
        """Stores an update that a peer has sent."""
        now = self._model.clock.now()
        for hint in update.shards:
            if 0 <= hint.shard < len(self._model.shards):
                self._store_shard(hint, now)
        for index, received in self._shards.items():
            claim = self._model.shards[index].claim
            # An update without changes also confirms the hints: the owner is running, and nothing
            # has changed.
            if claim and claim.record.node == node and claim.version == received.term:
                received.updated_at = now
        if update.leader_term >= self._offers.term and update.leader_term:
            self._offers = _ReceivedOffers(update.leader_term, now, update.blocked)

    def _store_shard(self, hint: wire.ShardHint, now: float) -> None:
        received = self._shards.get(hint.shard)
        if received is not None and received.term > hint.term:
            # A delayed hint from a previous owner.
            return
        if received is None or received.term < hint.term:
            received = self._shards[hint.shard] = _ReceivedShard(hint.term)
        received.finished, received.evicted = hint.finished, hint.evicted
        received.machines.update(
            {machine.name: _ReceivedMachine(now, machine) for machine in hint.machines}
        )

    def observe_claims(self) -> None:
        """Records the versions of the claims of other controllers; called a few times a second."""
        model = self._model
        for shard in model.shards:
            if shard.claim is not None and not shard.owned:
                self._observe_claim(claim_key(shard.index), shard.claim)
        if model.leader_claim is not None:
            self._observe_claim(LEADER_KEY, model.leader_claim)

    def _observe_claim(self, key: str, claim: ObservedClaim) -> None:
        if claim.record.node != self._model.settings.node:
            self._replaced_versions[key] = claim.version

    def apply_to(self, shard: Shard | None) -> int:
        """Applies the hints for a takeover of a shard or, with None, of the leadership.

        Only hints from the claim that this controller's claim replaces are used, and only up to the
        maximum age. Returns how many were used.
        """
        now = self._model.clock.now()
        return self._apply_offers(now) if shard is None else self._apply_shard(shard, now)

    def _apply_offers(self, now: float) -> int:
        offers = self._offers
        age_s = now - offers.received_at
        if offers.term != self._replaced_versions.get(LEADER_KEY) or age_s > self._max_age_s:
            return 0
        for hint in offers.hints:
            remaining_s = hint.for_s - age_s
            if remaining_s > 0:
                offer = Offer(hint.type, hint.zone, hint.spot)
                self._blocked.setdefault(offer, (now + remaining_s, hint.pause_s))
        return len(offers.hints)

    def _apply_shard(self, shard: Shard, now: float) -> int:
        received = self._shards.pop(shard.index, None)
        replaced = self._replaced_versions.get(claim_key(shard.index))
        if received is None or received.term != replaced:
            return 0
        if now - received.updated_at > self._max_age_s:
            return 0
        shard.finished = max(shard.finished, received.finished)
        shard.evicted = max(shard.evicted, received.evicted)
        return sum(self._apply_machine(shard, entry, now) for entry in received.machines.values())

    def _apply_machine(self, shard: Shard, received: _ReceivedMachine, now: float) -> bool:
        hint = received.hint
        machine = self._model.machine(hint.name)
        if machine is None or machine.shard != shard.index:
            # The machine no longer exists, or has moved to another shard.
            return False
        machine.address = machine.address or hint.address
        machine.images.update(hint.images)
        if not machine.evictions:
            ages = (age_s + now - received.received_at for age_s in hint.evictions)
            machine.evictions.extend(now - age_s for age_s in ages if age_s <= self._window_s)
        return True
