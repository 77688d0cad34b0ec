"""`badgerseam runs`: list the runs of plans, show a run or its members, close a run."""

from __future__ import annotations

import argparse
import time
from urllib.parse import urlencode

from badgerseam.cli.client import (
    ServiceClient,
    UnreachableError,
    add_connection_options,
    refusal_text,
)
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import runs as wire

Commands = argparse._SubParsersAction
PATH = "/runs"
PAGE_SIZE = 500


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declares `runs` and its subcommands."""
    runs = commands.add_parser("runs", help="reckoning runs")
    subcommands = runs.add_subparsers(dest="order", required=True)
    subcommands.add_parser("list", help="list the latest runs of each plan")
    show = subcommands.add_parser(
        "show", help="show a run: its phase, and its number of members by standing"
    )
    members = subcommands.add_parser("members", help="list the members of a run, one per line")
    members.add_argument(
        "--standing",
        help="only members with this standing: waiting, placed, running, aside, reckoned or "
        "withdrawn",
    )
    members.add_argument("--from", dest="after", default="", help="only members after this one")
    members.add_argument("--limit", type=int, help="maximum number of members (default: all)")
    close = subcommands.add_parser("close", help="accept no more members, and close the run")
    for command in (show, members, close):
        command.add_argument("run", help="plan and number, such as renewal/12")
    for command in subcommands.choices.values():
        add_connection_options(command)


async def run(options: argparse.Namespace) -> int:
    """Runs one of these subcommands and returns its exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    path = PATH
    if options.order != "list":
        plan, _, number = options.run.partition("/")
        if not plan or not number.isdecimal():
            return fail("run: plan and number, such as renewal/12", EXIT_USAGE)
        path = f"{PATH}/{plan}/{number}"
    service = ServiceClient(options.node, options.patience)
    try:
        if options.order == "members":
            return await _print_members(service, options, path)
        if options.order == "close":
            response = await service.request("POST", f"{path}/close", b"{}")
        else:
            response = await service.request("GET", path)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)
    if response.status != 200:
        return fail(_refusal_text(response.status, refusal_text(response)), EXIT_FAILED)
    if options.json:
        print(response.body.decode())
    elif options.order == "list":
        _print_runs(wire.list_decoder.decode(response.body))
    else:
        print(describe(wire.run_decoder.decode(response.body)))
    return EXIT_OK


def _print_runs(runs: wire.RunList) -> None:
    for view in runs.runs:
        print(run_line(view))
    for plan in runs.without:
        print(f"{plan}: no run yet")


def _refusal_text(status: int, text: str) -> str:
    """Returns the error text of a response, replaced if the path is not enabled on the node."""
    if status == 404 and "no such path" in text:
        return "runs are switched off there (section runs of the options)"
    return text


async def _print_members(service: ServiceClient, options: argparse.Namespace, path: str) -> int:
    """Prints the members of a run, read page by page, and returns the exit code."""
    if options.limit is not None and options.limit < 1:
        return fail("--limit: 1 or more", EXIT_USAGE)
    remaining: int | None = options.limit
    after: str | None = options.after
    while after is not None and (remaining is None or remaining > 0):
        query = {"limit": str(PAGE_SIZE if remaining is None else min(PAGE_SIZE, remaining))}
        if after:
            query["from"] = after
        if options.standing is not None:
            query["standing"] = options.standing
        response = await service.request("GET", f"{path}/members?{urlencode(query)}")
        if response.status != 200:
            return fail(_refusal_text(response.status, refusal_text(response)), EXIT_FAILED)
        page = wire.page_decoder.decode(response.body)
        if options.json:
            print(response.body.decode())
        else:
            for member in page.members:
                print(member_line(member))
        remaining = None if remaining is None else remaining - len(page.members)
        after = page.after
    return EXIT_OK


def _format_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


def run_line(view: wire.RunView) -> str:
    """Returns a run as one line of text."""
    counts = ", ".join(f"{count} {name}" for name, count in view.members.items() if count)
    return f"{view.plan}/{view.number:<6} {view.phase:<10} {_format_time(view.opened)}  {counts}"


def describe(view: wire.RunView) -> str:
    """Returns a run as text."""
    lines = [
        f"{view.plan}/{view.number}: {view.phase} since {_format_time(view.since)} (by {view.by})",
        f"opened {_format_time(view.opened)}, to be closed by {_format_time(view.closes)}",
    ]
    lines += [f"  {name:<11} {count}" for name, count in view.members.items()]
    lines += [f"  unresolved, {name}: {count}" for name, count in view.reasons.items()]
    if view.next:
        lines.append(f"  {view.next} accepted for the next run")
    return "\n".join(lines)


def member_line(member: wire.MemberView) -> str:
    """Returns a member of a run as one line of text."""
    parts = [f"{member.member:<24} {member.standing:<10}"]
    if member.count > 1:
        parts.append(f"{member.count} members")
    if member.machine is not None:
        parts.append(f"on {member.machine}, attempt {member.attempt}")
    if member.running_s is not None:
        parts.append(f"for {member.running_s:g} s, {member.kept_s or 0:g} s kept")
    if member.failures:
        parts.append(f"failed {member.failures} times")
    return "  ".join(parts).rstrip()
