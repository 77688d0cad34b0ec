"""Copies of direct commands that were executed and answered, delivered to their machine again."""

from __future__ import annotations

from typing import Any

import msgspec

from badgerseam.http.server import Reply
from badgerseam.lab.machines import MachineProcess
from badgerseam.wire import workers as wire
from tests.support.simulated_site import SimulatedSite

_decoder: msgspec.json.Decoder[wire.DirectCommands] = msgspec.json.Decoder(wire.DirectCommands)


class AnsweredCommands:
    """Records the direct commands that a machine has executed and answered."""

    def __init__(self, site: SimulatedSite, machine: MachineProcess) -> None:
        self.machine = machine
        self._bodies: list[bytes] = []
        server: Any = site.memory.listening[machine.core.identity.addr]
        server._handler = self._handle

    async def _handle(self, method: str, uri: str, body: bytes) -> Reply:
        reply = await self.machine._handle(method, uri, body)
        if uri == "/do" and reply.status == 200:
            self._bodies.append(body)
        return reply

    async def deliver_copies(self, op: str, task: str) -> list[int]:
        """Delivers a copy of each message with such a command for a task; returns the statuses."""
        copies = [
            body
            for body in self._bodies
            if any((c.op, c.task) == (op, task) for c in _decoder.decode(body).commands)
        ]
        return [(await self.machine._handle("POST", "/do", body)).status for body in copies]


def record_answered_commands(site: SimulatedSite) -> dict[str, AnsweredCommands]:
    """Returns the recorder of each machine that is up, by the machine's name."""
    return {name: AnsweredCommands(site, machine) for name, machine in site.machines.items()}
