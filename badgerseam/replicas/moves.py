"""Moves of replicas: whether a move may begin, which machines it reserves, and whether these can be
used."""

from __future__ import annotations

from badgerseam.levels.table import Behaviour
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.replicas.observed_state import MemberObserver
from badgerseam.replicas.records import ReplicaState, ReplicatedJob
from badgerseam.replicas.reservations import Reservations
from badgerseam.sched.planner import Planner
from badgerseam.wire.state import StoredReplica


class ReplicaMoves:
    """Checks the conditions of moves, and makes their reservations.

    Callers hold the model's lock.
    """

    def __init__(
        self,
        model: Model,
        planner: Planner,
        reservations: Reservations,
        observer: MemberObserver,
    ) -> None:
        self._model = model
        self._planner = planner
        self._reservations = reservations
        self._observer = observer

    def may_move(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        """Whether the job's rules permit this replica to be down for a move now."""
        others = len(entry.moving - {replica.number})
        return others < entry.shape.rules.moves and self._model.is_active(Behaviour.NOTES)

    def is_note_durable(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        """Whether the state service holds the replica's latest note."""
        job = entry.job
        key = (StoredReplica, replica.number)
        page = self._model.pages[job.shard].get(job.notes_page.get(key, -1))
        rows = None if page is None else page.jobs.get(job.id)
        return rows is not None and job.notes.get(key) in rows.notes

    def reserve_targets(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """Reserves the machines named by a replica's intent that still exist in the job's shard."""
        shard = entry.job.shard
        machines = [
            machine.index
            for machine in self._targets(replica)
            if machine is not None and machine.shard == shard
        ]
        self._reservations.reserve(entry.key(replica.number), machines)
        entry.moving.add(replica.number)

    def is_reservation_usable(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        """Whether every machine reserved for a move can still be used."""
        now = self._model.clock.now()
        targets = self._targets(replica)
        reserved = self._reservations.machines_for(entry.key(replica.number))
        # After a takeover the new owner has received no heartbeats of these machines yet; a move is
        # not abandoned for that.
        return len(reserved) == len(targets) > 0 and all(
            machine is not None
            and self._planner.unusable_reason(machine, now) in (None, "not_heard")
            and not self._observer.is_unresponsive(machine)
            for machine in targets
        )

    def _targets(self, replica: ReplicaState) -> list[Machine | None]:
        return [self._model.machine(name) for name in replica.intent.targets]
