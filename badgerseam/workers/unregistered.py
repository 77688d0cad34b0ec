"""Inspects workers whose machine has no record, so that the leader can adopt the machine."""

from __future__ import annotations

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import HttpClient
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire
from badgerseam.workers.inspection import INSPECT_DEADLINE_S, inspect


class UnregisteredWorkers:
    """Inspects unregistered workers while this controller is the leader."""

    def __init__(self, model: Model, membership: Membership, http: HttpClient) -> None:
        self._model = model
        self._membership = membership
        self._http = http
        self._tasks = BackgroundTasks()
        self._inspecting: set[str] = set()
        """Names of the machines that are being inspected."""

    def on_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        """Starts an inspection of the worker. Callers must hold the model's lock.

        Only a machine that answers an inspection is adopted. Otherwise, late copies of a released
        machine's heartbeats would cause a leader that has not seen the removal of its record to
        adopt it again, although it no longer exists.
        """
        name = heartbeat.machine
        if (
            name not in self._model.removed_machines
            and name not in self._inspecting
            and self._membership.is_leader
        ):
            self._inspecting.add(name)
            self._tasks.spawn(self._inspect(name, heartbeat.address))

    async def _inspect(self, name: str, address: str) -> None:
        heartbeat = await inspect(self._http, address, INSPECT_DEADLINE_S)
        with self._model.lock:
            self._inspecting.discard(name)
            if heartbeat is not None and heartbeat.machine == name and self._membership.is_leader:
                self._model.unregistered[name] = heartbeat
