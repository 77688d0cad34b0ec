"""What an owner knows and the state service does not hold, told to those that stand by for it.

Each answer to a request that is held open carries what has changed since the one before, as much as
fits: a few machines are looked at for each, in turn, so that nothing is queued, and an asker that
is slow, or has lost an answer, is told anew from the beginning. A hint is never authority: what may
be done rests on records alone, and docs/standby.md says field by field what a wrong one can do.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.fleet.demand import Offer
from badgerseam.model.keys import claim_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.options.standby import StandbyOptions
from badgerseam.wire import standby as wire

MAX_MACHINES_SCANNED = 256
"""Machines looked at for an answer."""
RECENT_S = 5.0
"""One that has not asked for so long does not follow us."""
MAX_EVICTIONS = 8
MAX_IMAGES = 16
BlockedOffers = dict[Offer, tuple[float, float]]
"""Offers without capacity: until when each is left alone, and the pause, in seconds."""

_Mark = tuple[int, str, int, int, float, int]


def _mark(machine: Machine) -> _Mark:
    """What has to change for a machine to be told anew."""
    last = machine.evictions[-1] if machine.evictions else 0.0
    return (
        machine.term,
        machine.address,
        machine.incarnation,
        machine.acknowledged_token,
        last,
        len(machine.images),
    )


@dataclass(slots=True)
class _Subscriber:
    """What one of those that stand by has been told."""

    number: int = 0
    asked_at: float = -1e9
    rounds: int = 0
    """How often all machines have been looked at for it."""
    marks: dict[str, _Mark] = field(default_factory=dict)
    turn: list[int] = field(default_factory=list)
    """Machines still to be looked at in this round."""
    counts: dict[int, tuple[int, int, int]] = field(default_factory=dict)


class SoftStateSender:
    """The owner's side."""

    def __init__(
        self, model: Model, options: StandbyOptions, process: str, blocked: BlockedOffers
    ) -> None:
        """`process`: the name of this process; `blocked`: the leader's, as it stands."""
        self._model = model
        self._most_bytes = round(options.hints_kb * 1024)
        self._process = process
        self._blocked = blocked
        self._askers: dict[str, _Subscriber] = {}

    def build_update(
        self, follow: wire.FollowRequest, held: bool, leader_term: int
    ) -> wire.SoftStateUpdate:
        """What has changed for an asker; called with the model's lock held.

        `held`: as the answer says; `leader_term`: the stamp of our claim on the leadership, or 0.
        """
        asker = self._askers.get(follow.node)
        if asker is None or (follow.process, follow.number) != (self._process, asker.number):
            # It has not got what was told last, or has it of another process.
            asker = self._askers[follow.node] = _Subscriber(follow.number)
        asker.number += 1
        asker.asked_at = self._model.clock.now()
        shards = self._shards(asker) if self._most_bytes else []
        now = self._model.clock.now()
        blocked = [
            wire.BlockedHint(o.type, o.zone, o.spot, round(until - now, 1), pause)
            for o, (until, pause) in self._blocked.items()
            if leader_term and until > now
        ]
        return wire.SoftStateUpdate(self._process, asker.number, held, shards, leader_term, blocked)

    def is_caught_up(self, node: str) -> bool:
        """Whether a sibling has been told all there is, and still asks."""
        asker = self._askers.get(node)
        if asker is None or self._model.clock.now() - asker.asked_at > RECENT_S:
            return False
        return asker.rounds > 1 or not self._most_bytes or not asker.turn

    def _shards(self, asker: _Subscriber) -> list[wire.ShardHint]:
        model = self._model
        rows: dict[int, list[wire.MachineHint]] = {}
        if not asker.turn:
            asker.rounds += 1
            asker.turn = [
                index
                for shard in model.shards
                if shard.owned
                for index in model.shard_machines[shard.index]
            ]
            if len(asker.marks) > 2 * len(asker.turn):
                # Mostly of machines that are gone.
                asker.marks.clear()
        left = self._most_bytes
        for _ in range(min(MAX_MACHINES_SCANNED, len(asker.turn))):
            if left <= 0:
                break
            machine = model.machines.get(asker.turn.pop())
            if machine is None or not model.shards[machine.shard].owned:
                continue
            mark = _mark(machine)
            if machine.incarnation == 0 or asker.marks.get(machine.name) == mark:
                continue
            asker.marks[machine.name] = mark
            row = self._row(machine)
            rows.setdefault(machine.shard, []).append(row)
            left -= len(wire.encode(row))
        told = []
        for shard in model.shards:
            counts = (shard.term, shard.finished, shard.evicted)
            if shard.owned and (shard.index in rows or asker.counts.get(shard.index) != counts):
                asker.counts[shard.index] = counts
                told.append(wire.ShardHint(shard.index, *counts, rows.get(shard.index, [])))
        return told

    def _row(self, machine: Machine) -> wire.MachineHint:
        now = self._model.clock.now()
        return wire.MachineHint(
            machine.name,
            machine.address,
            machine.incarnation,
            machine.acknowledged_token,
            [round(now - at, 1) for at in list(machine.evictions)[-MAX_EVICTIONS:]],
            sorted(machine.images)[:MAX_IMAGES],
        )


@dataclass(slots=True)
class _Known:
    """Hints of a share, under one term."""

    term: int
    finished: int = 0
    evicted: int = 0
    heard_at: float = -1e9
    machines: dict[str, tuple[float, wire.MachineHint]] = field(default_factory=dict)
    """With the time at which each was told."""


class SoftStateReceiver:
    """The side of those that stand by."""

    def __init__(
        self, model: Model, options: StandbyOptions, window_s: float, blocked: BlockedOffers
    ) -> None:
        """`window_s`: for how long an eviction counts; `blocked`: our own, filled at a takeover."""
        self._model = model
        self._age_s = options.hint_age_s
        self._window_s = window_s
        self._blocked = blocked
        self._shards: dict[int, _Known] = {}
        self._offers: tuple[int, float, list[wire.BlockedHint]] = (0, -1e9, [])
        self._before: dict[str, int] = {}
        """Of each claim the stamp under which another held it last."""

    def on_update(self, node: str, told: wire.SoftStateUpdate) -> None:
        """Keep what a sibling has told."""
        now = self._model.clock.now()
        for hint in told.shards:
            if not 0 <= hint.shard < len(self._model.shards):
                continue
            known = self._shards.get(hint.shard)
            if known is not None and known.term > hint.term:
                # Held back on its way, from an owner before.
                continue
            if known is None or known.term < hint.term:
                known = self._shards[hint.shard] = _Known(hint.term)
            known.finished, known.evicted = hint.finished, hint.evicted
            known.machines.update({row.name: (now, row) for row in hint.machines})
        for index, known in self._shards.items():
            held = self._model.shards[index].claim
            # Nothing new is news as well: the owner is there, and nothing has changed.
            if held and held.record.node == node and held.version == known.term:
                known.heard_at = now
        if told.leader_term >= self._offers[0] and told.leader_term:
            self._offers = (told.leader_term, now, told.blocked)

    def observe_claims(self) -> None:
        """Note under which stamps others hold the claims; called a few times a second."""
        model = self._model
        for shard in model.shards:
            if shard.claim is not None and not shard.owned:
                self._note(claim_key(shard.index), shard.claim)
        if model.leader_claim is not None:
            self._note("", model.leader_claim)

    def _note(self, key: str, held: ObservedClaim) -> None:
        if held.record.node != self._model.settings.node:
            self._before[key] = held.version

    def apply_to(self, shard: Shard | None) -> int:
        """Warm up for what is about to be acted for: a share, or (None) the leadership. How many
        hints were used: those of the very claim that ours replaces, and no older than the bound."""
        now = self._model.clock.now()
        if shard is None:
            term, at, offers = self._offers
            if term != self._before.get("") or now - at > self._age_s:
                return 0
            for hint in offers:
                left = hint.for_s - (now - at)
                if left > 0:
                    offer = Offer(hint.type, hint.zone, hint.spot)
                    self._blocked.setdefault(offer, (now + left, hint.pause_s))
            return len(offers)
        known = self._shards.pop(shard.index, None)
        if known is None or known.term != self._before.get(claim_key(shard.index)):
            return 0
        if now - known.heard_at > self._age_s:
            return 0
        shard.finished = max(shard.finished, known.finished)
        shard.evicted = max(shard.evicted, known.evicted)
        return sum(self._apply_machine(shard, at, row, now) for at, row in known.machines.values())

    def _apply_machine(self, shard: Shard, at: float, row: wire.MachineHint, now: float) -> bool:
        machine = self._model.machine(row.name)
        if machine is None or machine.shard != shard.index:
            # Gone, or moved since.
            return False
        machine.address = machine.address or row.address
        machine.images.update(row.images)
        if not machine.evictions:
            ages = (age + now - at for age in row.evictions)
            machine.evictions.extend(now - age for age in ages if age <= self._window_s)
        return True
