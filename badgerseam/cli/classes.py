"""`badgerseam classes`: the priority classes in force, who disagrees, and setting others."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from badgerseam.cli.client import ServiceClient, UnreachableError, ask_options, tell
from badgerseam.cli.exits import EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import classes as wire

Commands = argparse._SubParsersAction
PATH = "/classes"


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declare `classes` and its own commands."""
    classes = commands.add_parser("classes", help="priority classes: show or set them")
    orders = classes.add_subparsers(dest="order", required=True)
    orders.add_parser("show", help="the classes in force, and which controllers disagree")
    setting = orders.add_parser("set", help="put others in force, until the options change")
    setting.add_argument("file", help="JSON as in the options' section classes; - for input")
    for order in orders.choices.values():
        ask_options(order)


async def run(options: argparse.Namespace) -> int:
    """Carry out one of the commands; the exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    method, body = "GET", None
    if options.order == "set":
        try:
            text = sys.stdin.read() if options.file == "-" else Path(options.file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            return fail(f"{options.file}: {error}", EXIT_USAGE)
        method, body = "POST", text.encode()
    try:
        response = await ServiceClient(options.node, options.patience).ask(method, PATH, body)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)
    absent = "no classes are kept there (section classes of the options)"
    return tell(response, options, absent, lambda b: describe(wire.view_decoder.decode(b)))


def describe(view: wire.ClassesView) -> str:
    """The classes for people."""
    lines = []
    classes = view.classes
    if classes is None:
        lines.append("no classes are in force yet")
    else:
        lines.append(f"in force since revision {view.revision}, by {view.by}")
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
        lines.append(
            f"what waits counts {age}; room is kept for {classes.held_s:g} s after a takeover"
        )
    if view.pending:
        lines.append(f"the options ({view.digest}) are not in force yet")
    lines += [f"  {entry.node}: {entry.reason}" for entry in view.objections]
    lines.append(f"jumps here since the start: {view.jumps}; plans with room kept: {view.held}")
    return "\n".join(lines)
