"""A lab, as a rollout is played on it."""

from __future__ import annotations

from badgerseam.cli.client import ServiceClient, UnreachableError, refusal_text
from badgerseam.cli.rollout import request_view
from badgerseam.lab.checkouts import Checkout
from badgerseam.lab.lab import Lab
from badgerseam.wire.rollout import RolloutView


class LabRolloutTarget:
    """A lab, as a rollout is played on it."""

    def __init__(self, lab: Lab, tree: Checkout) -> None:
        self._lab = lab
        self._tree = tree

    async def view(self, node: str) -> RolloutView | None:
        """How a controller sees the site; None if it does not answer."""
        return await request_view(self._lab.addresses[node])

    async def drain(self, node: str) -> str | None:
        """Ask a controller to leave; why it refused, or None."""
        try:
            response = await ServiceClient(self._lab.addresses[node], 1.0).request(
                "POST", "/rollout/leave", b"{}"
            )
        except UnreachableError as error:
            return str(error)
        return None if response.status == 200 else refusal_text(response)

    async def replace(self, node: str) -> None:
        """End a controller's process, and have it start from the new program."""
        self._lab.controllers[node].replace(self._tree)
