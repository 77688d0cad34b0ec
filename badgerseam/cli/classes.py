"""`badgerseam classes`: show or replace the priority classes in force."""

from __future__ import annotations

import argparse

from badgerseam.cli.client import (
    ServiceClient,
    UnreachableError,
    add_connection_options,
    print_response,
    read_input,
)
from badgerseam.cli.exits import EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import classes as wire

Commands = argparse._SubParsersAction
PATH = "/classes"


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declares `classes` and its subcommands."""
    classes = commands.add_parser("classes", help="priority classes: show or set them")
    subcommands = classes.add_subparsers(dest="order", required=True)
    subcommands.add_parser(
        "show", help="show the classes in force, and which controllers have different ones"
    )
    set_command = subcommands.add_parser(
        "set", help="replace the classes in force until the options change"
    )
    set_command.add_argument(
        "file", help="JSON as in section classes of the options; - for standard input"
    )
    for command in subcommands.choices.values():
        add_connection_options(command)


async def run(options: argparse.Namespace) -> int:
    """Runs one of these subcommands and returns its exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    method: str = "GET"
    body: bytes | None = None
    if options.order == "set":
        try:
            method, body = "POST", read_input(options.file)
        except (OSError, UnicodeDecodeError) as error:
            return fail(f"{options.file}: {error}", EXIT_USAGE)
    try:
        response = await ServiceClient(options.node, options.patience).request(method, PATH, body)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)
    not_enabled = "no classes are kept there (section classes of the options)"
    return print_response(
        response, options, not_enabled, lambda body: describe(wire.view_decoder.decode(body))
    )


def describe(view: wire.ClassesView) -> str:
    """Returns the classes in force and the controllers' objections to them as text."""
    lines = _class_lines(view)
    if view.pending:
        lines.append(f"the options ({view.digest}) are not in force yet")
    lines += [f"  {entry.node}: {entry.reason}" for entry in view.objections]
    lines.append(f"jumps here since the start: {view.jumps}; plans with room kept: {view.held}")
    return "\n".join(lines)


def _class_lines(view: wire.ClassesView) -> list[str]:
    classes = view.classes
    if classes is None:
        return ["no classes are in force yet"]
    lines = [f"in force since revision {view.revision}, by {view.by}"]
    last = classes.order[-1].name if classes.order else ""
    for number, entry in enumerate(classes.order, 1):
        parts = [f"jobs {' '.join(entry.jobs)}"] if entry.jobs else []
        parts += [f"teams {' '.join(entry.teams)}"] if entry.teams else []
        parts += ["all the rest"] if entry.name == (classes.default or last) else []
        waiting = view.waiting.get(entry.name, 0)
        lines.append(
            f"{number}. {entry.name}: {'; '.join(parts) or 'nothing'} ({waiting} tasks wait)"
        )
    age = f"one class higher each {classes.age_s:g} s" if classes.age_s else "never higher"
    lines.append(f"what waits counts {age}; room is kept for {classes.held_s:g} s after a takeover")
    return lines
