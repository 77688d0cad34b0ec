"""`badgerseam runs`: reckoning runs, how their members stand, closing one."""

from __future__ import annotations

import argparse
import time
from urllib.parse import urlencode

from badgerseam.cli.client import ServiceClient, UnreachableError, ask_options, refusal
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.wire import runs as wire

Commands = argparse._SubParsersAction
PATH = "/runs"
PAGE = 500


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declare `runs` and its own commands."""
    runs = commands.add_parser("runs", help="reckoning runs")
    orders = runs.add_subparsers(dest="order", required=True)
    orders.add_parser("list", help="the latest runs of each plan")
    show = orders.add_parser("show", help="a run: its phase, and how many members stand how")
    members = orders.add_parser("members", help="the members of a run, one a line")
    members.add_argument(
        "--standing", help="only waiting, placed, running, aside, reckoned or withdrawn ones"
    )
    members.add_argument("--from", dest="after", default="", help="those behind this member")
    members.add_argument("--limit", type=int, help="no more than so many (default: all)")
    close = orders.add_parser("close", help="take no more members, and close it")
    for order in (show, members, close):
        order.add_argument("run", help="plan and number, such as renewal/12")
    for order in orders.choices.values():
        ask_options(order)


async def run(options: argparse.Namespace) -> int:
    """Carry out one of the commands; the exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    path = PATH
    if options.order != "list":
        plan, _, number = options.run.partition("/")
        if not plan or not number.isdecimal():
            return fail("run: plan and number, such as renewal/12", EXIT_USAGE)
        path = f"{PATH}/{plan}/{number}"
    front = ServiceClient(options.node, options.patience)
    try:
        if options.order == "members":
            return await _members(front, options, path)
        method = "POST" if options.order == "close" else "GET"
        body = b"{}" if options.order == "close" else None
        response = await front.ask(method, path + ("/close" if body else ""), body)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)
    if response.status != 200:
        return fail(_refusal(response.status, refusal(response)), EXIT_FAILED)
    if options.json:
        print(response.body.decode())
    elif options.order == "list":
        known = wire.list_decoder.decode(response.body)
        for view in known.runs:
            print(line(view))
        for name in known.without:
            print(f"{name}: no run yet")
    else:
        print(describe(wire.run_decoder.decode(response.body)))
    return EXIT_OK


def _refusal(status: int, text: str) -> str:
    if status == 404 and "no such path" in text:
        return "runs are switched off there (section runs of the options)"
    return text


async def _members(front: ServiceClient, options: argparse.Namespace, path: str) -> int:
    if options.limit is not None and options.limit < 1:
        return fail("--limit: 1 or more", EXIT_USAGE)
    left: int | None = options.limit
    after: str | None = options.after
    while after is not None and (left is None or left > 0):
        query = {"limit": str(PAGE if left is None else min(PAGE, left))}
        if after:
            query["from"] = after
        if options.standing is not None:
            query["standing"] = options.standing
        response = await front.ask("GET", f"{path}/members?{urlencode(query)}")
        if response.status != 200:
            return fail(_refusal(response.status, refusal(response)), EXIT_FAILED)
        page = wire.page_decoder.decode(response.body)
        if options.json:
            print(response.body.decode())
        else:
            for member in page.members:
                print(member_line(member))
        left = None if left is None else left - len(page.members)
        after = page.after
    return EXIT_OK


def _time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


def line(view: wire.RunView) -> str:
    """A run in a line."""
    counts = ", ".join(f"{count} {name}" for name, count in view.members.items() if count)
    return f"{view.plan}/{view.number:<6} {view.phase:<10} {_time(view.opened)}  {counts}"


def describe(view: wire.RunView) -> str:
    """A run for people."""
    lines = [
        f"{view.plan}/{view.number}: {view.phase} since {_time(view.since)} (by {view.by})",
        f"opened {_time(view.opened)}, to be closed by {_time(view.closes)}",
    ]
    lines += [f"  {name:<11} {count}" for name, count in view.members.items()]
    lines += [f"  unresolved, {name}: {count}" for name, count in view.reasons.items()]
    if view.next:
        lines.append(f"  {view.next} accepted for the next run")
    return "\n".join(lines)


def member_line(member: wire.MemberView) -> str:
    """A member in a line."""
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
