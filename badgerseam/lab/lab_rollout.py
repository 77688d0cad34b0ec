"""A lab, as a rollout is played on it."""

from __future__ import annotations

from badgerseam.cli.client import Front, Unreachable, refusal
from badgerseam.cli.rollout import ask_view
from badgerseam.lab.checkouts import Tree
from badgerseam.lab.lab import Lab
from badgerseam.wire.rollout import View


class LabSite:
    """A lab, as a rollout is played on it."""

    def __init__(self, lab: Lab, tree: Tree) -> None:
        self._lab = lab
        self._tree = tree

    async def view(self, node: str) -> View | None:
        """How a controller sees the site; None if it does not answer."""
        return await ask_view(self._lab.addresses[node])

    async def leave(self, node: str) -> str | None:
        """Ask a controller to leave; why it refused, or None."""
        try:
            response = await Front(self._lab.addresses[node], 1.0).ask(
                "POST", "/rollout/leave", b"{}"
            )
        except Unreachable as error:
            return str(error)
        return None if response.status == 200 else refusal(response)

    async def replace(self, node: str) -> None:
        """End a controller's process, and have it start from the new program."""
        self._lab.controllers[node].replace(self._tree)
