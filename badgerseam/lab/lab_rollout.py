"""Rollouts on a lab's controllers."""

from __future__ import annotations

from badgerseam.cli.client import ServiceClient, UnreachableError, refusal_text
from badgerseam.cli.rollout import request_view
from badgerseam.lab.checkouts import Checkout
from badgerseam.lab.lab import Lab
from badgerseam.wire.rollout import RolloutView


class LabRolloutTarget:
    """Adapts a lab to the rolling update, which replaces its controllers one by one."""

    def __init__(self, lab: Lab, checkout: Checkout) -> None:
        self._lab = lab
        self._checkout = checkout

    async def view(self, node: str) -> RolloutView | None:
        """Returns a controller's view of the site; None if the controller does not answer."""
        return await request_view(self._lab.addresses[node])

    async def drain(self, node: str) -> str | None:
        """Asks a controller to leave; returns None, or why it refused or did not answer."""
        try:
            response = await ServiceClient(self._lab.addresses[node], 1.0).request(
                "POST", "/rollout/leave", b"{}"
            )
        except UnreachableError as error:
            return str(error)
        return None if response.status == 200 else refusal_text(response)

    async def replace(self, node: str) -> None:
        """Ends a controller's process and restarts it from the new source tree."""
        self._lab.controllers[node].replace(self._checkout)
