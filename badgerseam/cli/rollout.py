"""`badgerseam rollout`: show and change the site's level, drain and replace controllers."""

from __future__ import annotations

import argparse
import asyncio
import shlex

from badgerseam.cli.client import (
    ServiceClient,
    UnreachableError,
    add_connection_options,
    print_response,
    refusal_text,
)
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import rollout as wire

Commands = argparse._SubParsersAction
PATH = "/rollout"
VIEW_TIMEOUT_S = 2.0


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declares `rollout` and its subcommands."""
    rollout = commands.add_parser("rollout", help="replace the controllers, change the level")
    subcommands = rollout.add_subparsers(dest="order", required=True)
    subcommands.add_parser(
        "status", help="show the level, each controller, and what blocks a raise"
    )
    subcommands.add_parser("plan", help="show what a rollout would do now, and what prevents it")
    subcommands.add_parser(
        "hold", help="stay at the current level, so that each controller can be rolled back"
    )
    raise_command = subcommands.add_parser(
        "raise", help="raise the level as soon as all controllers support it"
    )
    raise_command.add_argument(
        "--to",
        type=int,
        help="target level, beyond which the site does not go (default: the newest)",
    )
    lower_command = subcommands.add_parser(
        "lower", help="return to an earlier level, if it can be lowered"
    )
    lower_command.add_argument("--to", type=int, help="the level (default: the one below)")
    for name, text in (
        ("leave", "drain the controller at --node, so that its process can be ended"),
        ("return", "end the drain: the controller at --node owns shards again"),
    ):
        subcommands.add_parser(name, help=text)
    run_command = subcommands.add_parser("run", help="replace all controllers, one after the other")
    run_command.add_argument(
        "--replace",
        required=True,
        help="command that ends a controller's process and starts the new program; "
        "{node} and {address} in it are replaced",
    )
    run_command.add_argument(
        "--leave-s",
        type=float,
        default=60.0,
        help="time limit for draining a controller, in seconds (default %(default)s)",
    )
    run_command.add_argument(
        "--back-s",
        type=float,
        default=60.0,
        help="time limit for the site to be healthy again, in seconds (default %(default)s)",
    )
    run_command.add_argument(
        "--steady-s",
        type=float,
        default=5.0,
        help="time that the site must be healthy before each controller, in seconds "
        "(default %(default)s)",
    )
    for command in subcommands.choices.values():
        add_connection_options(command)


async def run(options: argparse.Namespace) -> int:
    """Runs one of rollout's subcommands and returns its exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    if options.order in ("leave", "return") and "," in options.node:
        return fail("--node: the one controller that is meant", EXIT_USAGE)
    service = ServiceClient(options.node, options.patience)
    try:
        if options.order in ("run", "plan"):
            return await _run_or_plan(options)
        if options.order == "status":
            return await _send_request(service, options, "GET", PATH, None)
        if options.order in ("leave", "return"):
            return await _send_request(service, options, "POST", f"{PATH}/{options.order}", b"{}")
        return await _set_target(service, options)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)


async def _set_target(service: ServiceClient, options: argparse.Namespace) -> int:
    """Sets the site's target level; refuses one that is not above or below the current level, as
    the subcommand requires."""
    level: int | None = getattr(options, "to", None)
    if level is not None and level < 1:
        return fail("--to: a level, 1 or more", EXIT_USAGE)
    response = await service.request("GET", PATH)
    if response.status != 200:
        return fail(refusal_text(response), EXIT_FAILED)
    current = wire.view_decoder.decode(response.body).level
    if options.order == "hold":
        level = current
    elif options.order == "lower":
        level = current - 1 if level is None else level
        if not 1 <= level < current:
            return fail(f"--to: the site is at level {current}: give a level below it", EXIT_USAGE)
    elif level is not None and level <= current:
        return fail(f"--to: the site is at level {current}: give a level above it", EXIT_USAGE)
    body = wire.encode(wire.LevelRequest(level))
    return await _send_request(service, options, "POST", f"{PATH}/target", body)


async def _send_request(
    service: ServiceClient, options: argparse.Namespace, method: str, path: str, body: bytes | None
) -> int:
    response = await service.request(method, path, body)
    not_enabled = "rollouts are switched off there (section rollout of the options)"
    return print_response(
        response, options, not_enabled, lambda body: describe(wire.view_decoder.decode(body))
    )


def describe(view: wire.RolloutView) -> str:
    """Returns the state of a rollout as text."""
    lines = _level_lines(view)
    lines += [_controller_line(entry) for entry in view.controllers]
    if view.shards_without_actor:
        lines.append(f"without an actor: shares {view.shards_without_actor}")
    lines.append(_own_line(view.own))
    lines += _migration_lines(view.own)
    return "\n".join(lines)


def _level_lines(view: wire.RolloutView) -> list[str]:
    lines = [f"level {view.level} ({view.name}); active: {', '.join(view.active) or 'nothing'}"]
    if view.target is not None:
        lines.append(f"operators want level {view.target}")
    if view.next is not None:
        lines.append(f"next: level {view.next}" + (", blocked" if view.blocked_by else ""))
    lines += [f"  {entry.node or 'this site'}: {entry.reason}" for entry in view.blocked_by]
    return lines


def _controller_line(entry: wire.ControllerView) -> str:
    levels = ""
    if entry.min_level is not None:
        levels = f"reads levels {entry.min_level} to {entry.max_level}"
    shards = " ".join(map(str, entry.shards)) or "none"
    leads = ", leads" if entry.leader else ""
    program = f" ({entry.program})" if entry.program else ""
    return f"{entry.node:<12} {entry.state:<8} shares {shards}{leads} {levels}{program}"


def _own_line(own: wire.OwnView) -> str:
    """Returns a line on the responding controller's own state."""
    return (
        f"{own.node} itself: {own.state}{', may be ended' if own.may_end else ''}, "
        f"{'caught up' if own.caught_up else 'behind'}, hears "
        f"{own.responsive_machines} of {own.machines} "
        f"machines, up for {own.uptime_s:.0f} s"
    )


def _migration_lines(own: wire.OwnView) -> list[str]:
    lines = []
    migration = own.migration
    if migration.pending:
        lines.append(
            f"carrying records over to level {migration.pending[0]}: {migration.rewritten} written "
            f"anew by this controller, {migration.per_s:g} a second; this pass: "
            f"{migration.scanned} looked at, {migration.old} in the older form"
        )
    refresh = own.refresh
    lines.append(
        f"rows in the older form: {refresh.lacking} of {refresh.rows}; {refresh.pages_written} "
        "pages written for that"
    )
    return lines


class CommandRolloutTarget:
    """A rollout target whose processes are replaced by running the operators' command."""

    def __init__(self, addresses: dict[str, str], command: str, patience_s: float) -> None:
        self._addresses = addresses
        self._command = command
        self._patience_s = patience_s

    async def view(self, node: str) -> wire.RolloutView | None:
        """Returns a controller's view of the rollout; None if it does not respond."""
        return await request_view(self._addresses[node])

    async def drain(self, node: str) -> str | None:
        """Asks a controller to drain; returns the reason if it refuses, otherwise None."""
        service = ServiceClient(self._addresses[node], self._patience_s)
        response = await service.request("POST", f"{PATH}/leave", b"{}")
        return None if response.status == 200 else refusal_text(response)

    async def replace(self, node: str) -> None:
        """Runs the operators' command and waits until it exits.

        A failure of the command is only printed: the update detects it when the controller does not
        respond.
        """
        address = self._addresses[node]
        arguments = [part.format(node=node, address=address) for part in shlex.split(self._command)]
        process = await asyncio.create_subprocess_exec(*arguments)
        if await process.wait():
            print(f"{node}: the command ended with code {process.returncode}")


async def request_view(address: str) -> wire.RolloutView | None:
    """Returns a controller's view of the rollout; None if it does not respond or has rollouts
    disabled."""
    import msgspec

    try:
        response = await ServiceClient(address, 0.0).request("GET", PATH, None, VIEW_TIMEOUT_S)
        return wire.view_decoder.decode(response.body) if response.status == 200 else None
    except (UnreachableError, msgspec.DecodeError):
        return None


async def _run_or_plan(options: argparse.Namespace) -> int:
    """Runs a rolling update or prints its plan; returns the exit code."""
    from badgerseam.clock import Clock
    from badgerseam.rollout.rolling_update import (
        RollingUpdate,
        RolloutStoppedError,
        StepTimeouts,
    )

    addresses: dict[str, str] = {}
    for address in map(str.strip, options.node.split(",")):
        view = await request_view(address)
        if view is None:
            text = "does not answer, or rollouts are switched off there"
            return fail(f"--node: {address} {text}", EXIT_UNREACHABLE)
        addresses[view.own.node] = address
    command = getattr(options, "replace", "")
    target = CommandRolloutTarget(addresses, command, options.patience)
    try:
        if options.order == "plan":
            await _print_plan(target, addresses)
            return EXIT_OK
        timeouts = StepTimeouts(options.leave_s, options.back_s, options.steady_s)
        await RollingUpdate(target, Clock(), print, timeouts).run(list(addresses))
    except RolloutStoppedError as stopped:
        return fail(f"stopped: {stopped}", EXIT_FAILED)
    except (KeyError, IndexError, ValueError) as error:
        return fail(f"--replace: {error}: only {{node}} and {{address}} are filled in", EXIT_USAGE)
    return EXIT_OK


async def _print_plan(target: CommandRolloutTarget, addresses: dict[str, str]) -> None:
    from badgerseam.rollout.rolling_update import update_order

    for step, node in enumerate(await update_order(target, list(addresses)), 1):
        print(f"{step}. {node} ({addresses[node]}) leaves, is replaced, acts again")
    view = await target.view(next(iter(addresses)))
    if view is not None:
        print(describe(view))
