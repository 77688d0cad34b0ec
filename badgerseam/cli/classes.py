"""`badgerseam classes`: show the priority classes in force, or set others."""

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
    """Declare `classes` and its own commands."""
    classes = commands.add_parser("classes", help="priority classes: show or set them")
    subcommands = classes.add_subparsers(dest="order", required=True)
    subcommands.add_parser("show", help="the classes in force, and which controllers disagree")
    set_command = subcommands.add_parser(
        "set", help="put others in force, until the options change"
    )
    set_command.add_argument("file", help="JSON as in the options' section classes; - for input")
    for command in subcommands.choices.values():
        add_connection_options(command)


async def run(options: argparse.Namespace) -> int:
    """Run one of these commands; the exit code."""
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
    absent = "no classes are kept there (section classes of the options)"
    return print_response(
        response, options, absent, lambda b: describe(wire.view_decoder.decode(b))
    )


def describe(view: wire.ClassesView) -> str:
    """The classes in force and the controllers that object, as text."""
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
