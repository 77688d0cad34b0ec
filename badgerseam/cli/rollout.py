"""`badgerseam rollout`: how far the controllers are, which level they are to be at, who leaves."""

from __future__ import annotations

import argparse
import asyncio
import shlex
from typing import TYPE_CHECKING

from badgerseam.cli.client import ServiceClient, UnreachableError, ask_options, refusal, tell
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import rollout as wire

if TYPE_CHECKING:
    from badgerseam.rollout.rolling_update import StepTimeouts

Commands = argparse._SubParsersAction
PATH = "/rollout"


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declare `rollout` and its own commands."""
    rollout = commands.add_parser("rollout", help="replace the controllers, raise the level")
    orders = rollout.add_subparsers(dest="order", required=True)
    orders.add_parser("status", help="the level, each controller, and what blocks a raise")
    orders.add_parser("plan", help="what a rollout would do now, and what speaks against it")
    orders.add_parser("hold", help="stay at the present level, so that any one can be put back")
    raised = orders.add_parser("raise", help="let the level rise as soon as all can act at it")
    raised.add_argument("--to", type=int, help="no further than this level, and stay there")
    lowered = orders.add_parser("lower", help="go back to an earlier level, if that can be done")
    lowered.add_argument("--to", type=int, help="the level (default: the one below)")
    for name, text in (
        ("leave", "have the controller at --node pass on its shares, so that it can be ended"),
        ("return", "have it take shares again"),
    ):
        orders.add_parser(name, help=text)
    run = orders.add_parser("run", help="replace all controllers, one after the other")
    run.add_argument(
        "--replace",
        required=True,
        help="a command that ends a controller's process and starts the new program; "
        "{node} and {address} in it are filled in",
    )
    run.add_argument("--leave-s", type=float, default=60.0, help="limit (default %(default)s)")
    run.add_argument("--back-s", type=float, default=60.0, help="limit (default %(default)s)")
    run.add_argument("--steady-s", type=float, default=5.0, help="between two (%(default)s)")
    for order in orders.choices.values():
        ask_options(order)


async def run(options: argparse.Namespace) -> int:
    """Carry out one of the commands; the exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    if options.order in ("leave", "return") and "," in options.node:
        return fail("--node: the one controller that is meant", EXIT_USAGE)
    front = ServiceClient(options.node, options.patience)
    try:
        if options.order in ("run", "plan"):
            return await _roll(options)
        if options.order == "status":
            return await _tell(front, options, "GET", PATH, None)
        if options.order in ("leave", "return"):
            return await _tell(front, options, "POST", f"{PATH}/{options.order}", b"{}")
        return await _set_target(front, options)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)


async def _set_target(front: ServiceClient, options: argparse.Namespace) -> int:
    """Say which level is wanted."""
    level: int | None = getattr(options, "to", None)
    if level is not None and level < 1:
        return fail("--to: a level, 1 or more", EXIT_USAGE)
    response = await front.ask("GET", PATH)
    if response.status != 200:
        return fail(refusal(response), EXIT_FAILED)
    now = wire.view_decoder.decode(response.body).level
    if options.order == "hold":
        level = now
    elif options.order == "lower":
        level = now - 1 if level is None else level
        if not 1 <= level < now:
            return fail(f"--to: the site is at level {now}: a level below it", EXIT_USAGE)
    elif level is not None and level <= now:
        return fail(f"--to: the site is at level {now}: a level above it", EXIT_USAGE)
    body = wire.encode(wire.LevelRequest(level))
    return await _tell(front, options, "POST", f"{PATH}/target", body)


async def _tell(
    front: ServiceClient, options: argparse.Namespace, method: str, path: str, body: bytes | None
) -> int:
    response = await front.ask(method, path, body)
    absent = "rollouts are switched off there (section rollout of the options)"
    return tell(response, options, absent, lambda b: describe(wire.view_decoder.decode(b)))


def describe(view: wire.View) -> str:
    """The state of a rollout for people."""
    lines = [f"level {view.level} ({view.name}); active: {', '.join(view.active) or 'nothing'}"]
    if view.target is not None:
        lines.append(f"operators want level {view.target}")
    if view.next is not None:
        lines.append(f"next: level {view.next}" + (", blocked" if view.blocked_by else ""))
    lines += [f"  {entry.node or 'this site'}: {entry.reason}" for entry in view.blocked_by]
    for entry in view.controllers:
        reads = (
            ""
            if entry.min_level is None
            else f"reads levels {entry.min_level} to {entry.max_level}"
        )
        shards = " ".join(map(str, entry.shards)) or "none"
        leads = ", leads" if entry.leader else ""
        program = f" ({entry.program})" if entry.program else ""
        lines.append(f"{entry.node:<12} {entry.state:<8} shares {shards}{leads} {reads}{program}")
    if view.shards_without_actor:
        lines.append(f"without an actor: shares {view.shards_without_actor}")
    own = view.own
    lines.append(
        f"{own.node} itself: {own.state}{', may be ended' if own.may_end else ''}, "
        f"{'caught up' if own.caught_up else 'behind'}, hears "
        f"{own.responsive_machines} of {own.machines} "
        f"machines, up for {own.uptime_s:.0f} s"
    )
    carrying = own.migration
    if carrying.pending:
        lines.append(
            f"carrying records over to level {carrying.pending[0]}: {carrying.rewritten} written "
            f"anew by this controller, {carrying.per_s:g} a second; this pass: {carrying.scanned} "
            f"looked at, {carrying.old} in the older form"
        )
    done = own.refresh
    lines.append(
        f"rows in the older form: {done.lacking} of {done.rows}; {done.pages_written} pages "
        "written for that"
    )
    return "\n".join(lines)


class CommandRolloutTarget:
    """A site whose processes are replaced by a command of the operators."""

    def __init__(self, addresses: dict[str, str], command: str, patience_s: float) -> None:
        self._addresses = addresses
        self._command = command
        self._patience_s = patience_s

    async def view(self, node: str) -> wire.View | None:
        """How a controller sees the site; None if it does not answer."""
        return await ask_view(self._addresses[node])

    async def drain(self, node: str) -> str | None:
        """Ask a controller to leave; why it refused, or None."""
        front = ServiceClient(self._addresses[node], self._patience_s)
        response = await front.ask("POST", f"{PATH}/leave", b"{}")
        return None if response.status == 200 else refusal(response)

    async def replace(self, node: str) -> None:
        """Run the operators' command; its failure is seen in that the controller stays away."""
        words = [
            word.format(node=node, address=self._addresses[node])
            for word in shlex.split(self._command)
        ]
        process = await asyncio.create_subprocess_exec(*words)
        if await process.wait():
            print(f"{node}: the command ended with code {process.returncode}")


async def ask_view(address: str) -> wire.View | None:
    """A controller's view of a rollout; None if it does not answer, or knows of none."""
    import msgspec

    try:
        response = await ServiceClient(address, 0.0).ask("GET", PATH, None, 2.0)
        return wire.view_decoder.decode(response.body) if response.status == 200 else None
    except (UnreachableError, msgspec.DecodeError):
        return None


async def _roll(options: argparse.Namespace) -> int:
    from badgerseam.clock import Clock
    from badgerseam.rollout.rolling_update import (
        RollingUpdate,
        RolloutStoppedError,
        StepTimeouts,
        update_order,
    )

    addresses: dict[str, str] = {}
    for address in options.node.split(","):
        view = await ask_view(address.strip())
        if view is None:
            text = "does not answer, or rollouts are switched off there"
            return fail(f"--node: {address.strip()} {text}", EXIT_UNREACHABLE)
        addresses[view.own.node] = address.strip()
    command = getattr(options, "replace", "")
    platform = CommandRolloutTarget(addresses, command, options.patience)
    try:
        if options.order == "plan":
            for step, node in enumerate(await update_order(platform, list(addresses)), 1):
                print(f"{step}. {node} ({addresses[node]}) leaves, is replaced, acts again")
            found = await platform.view(next(iter(addresses)))
            if found is not None:
                print(describe(found))
            return EXIT_OK
        limits: StepTimeouts = StepTimeouts(options.leave_s, options.back_s, options.steady_s)
        await RollingUpdate(platform, Clock(), print, limits).run(list(addresses))
    except RolloutStoppedError as stopped:
        return fail(f"stopped: {stopped}", EXIT_FAILED)
    except (KeyError, IndexError, ValueError) as error:
        return fail(f"--replace: {error}: only {{node}} and {{address}} are filled in", EXIT_USAGE)
    return EXIT_OK
