"""`badgerseam lab up` and `demo`: a site in this process, its controllers in processes below it."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
from pathlib import Path
from random import Random
from typing import Any

from badgerseam import logs
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK
from badgerseam.clock import Clock
from badgerseam.lab.control_endpoint import ControlEndpoint
from badgerseam.lab.demo import demo
from badgerseam.lab.fault_injector import FaultInjector
from badgerseam.lab.lab import Lab
from badgerseam.lab.lab_directory import read_running_lab
from badgerseam.lab.ports import free_ports
from badgerseam.lab.site import SiteSpec, load_site

NOTES_INTERVAL_S = 0.5
"""How often new notes of a running lab are printed."""
LAB_FILES = ("*.log", "history.jsonl", "options.json", "lab.lock")
"""What a lab writes into its directory, as patterns."""


def write_options_file(directory: Path, sections: dict[str, Any] | None = None) -> Path:
    """Write the operators' settings of a lab's controllers; the file's path.

    All that a lab shows is switched on; `sections` are those of an experiment and go before.
    """
    path = directory / "options.json"
    shown: dict[str, Any] = {"explain": {}, "batch": {}, "accounting": {}, "rollout": {}}
    path.write_text(json.dumps(shown | (sections or {})) + "\n")
    return path


async def run_site(options: argparse.Namespace) -> int:
    """Start a site and stay until a signal; the exit code says whether a rule was broken."""
    logs.configure("error")
    site = load_site(options.site)
    options.dir.mkdir(parents=True, exist_ok=True)
    options_file = write_options_file(options.dir)
    lab = Lab(site, options.dir, Clock(), Random(options.seed), options.port, options_file)
    stop = _stop_on_signals()
    await _start(lab, options.dir)
    control = ControlEndpoint(lab, FaultInjector(lab))
    try:
        _publish_control_endpoint(control, options.dir)
        _print_addresses(lab, options.dir)
        await _run_until_stopped(lab, stop, options.load)
        violations = lab.violations()
    finally:
        control.stop()
        await lab.stop()
        if not options.keep:
            _remove_lab_files(options.dir)
    for violation in violations:
        print(f"broken rule: {violation}")
    print("ended")
    return EXIT_FAILED if violations else EXIT_OK


async def run_demo(options: argparse.Namespace) -> int:
    """Show a job from end to end on a site of its own; the exit code."""
    logs.configure("error")
    options.dir.mkdir(parents=True, exist_ok=True)
    lab = Lab(SiteSpec(), options.dir, Clock(), Random(1), 0, write_options_file(options.dir))
    try:
        await lab.start()
        await demo(lab, lambda text: print(f"{text}\n", flush=True))
    finally:
        await lab.stop()
        _remove_lab_files(options.dir)
    return EXIT_OK


def _stop_on_signals() -> asyncio.Event:
    """An event that SIGINT or SIGTERM sets, in place of their usual effect."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


async def _start(lab: Lab, directory: Path) -> None:
    try:
        await lab.start()
    except BaseException:
        # Another lab's files are left alone; it holds the lock.
        if lab.has_started:
            _remove_lab_files(directory)
        raise


def _publish_control_endpoint(control: ControlEndpoint, directory: Path) -> None:
    """Listen for the commands of this module's caller, and add the address to the lab's card."""
    port = free_ports(1)[0]
    control.listen(port)
    card = read_running_lab(directory) | {"control": f"127.0.0.1:{port}"}
    (directory / "lab.json").write_text(json.dumps(card))


def _print_addresses(lab: Lab, directory: Path) -> None:
    print(f"users      127.0.0.1:{lab.load_balancer_port}   (--node of the commands)")
    for node, address in lab.addresses.items():
        print(f"{node:<10} {address}   log {lab.controllers[node].log_path}")
    print(f"state service, cloud and workers are simulated; files in {directory}")


async def _run_until_stopped(lab: Lab, stop: asyncio.Event, load_factor: float | None) -> None:
    """Wait until the lab is ready, then print its notes; returns as soon as `stop` is set."""
    ready = asyncio.ensure_future(lab.wait_until_ready())
    stopped = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait({ready, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if ready.done():
            ready.result()
            print("ready; Ctrl-C ends it", flush=True)
            if load_factor is not None:
                lab.start_load(load_factor)
            await _print_notes(lab, stop)
        ready.cancel()
    finally:
        stopped.cancel()


async def _print_notes(lab: Lab, stop: asyncio.Event) -> None:
    printed = 0
    while not stop.is_set():
        for note in lab.notes[printed:]:
            print(note, flush=True)
        printed = len(lab.notes)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), NOTES_INTERVAL_S)


def _remove_lab_files(directory: Path) -> None:
    """Remove what a lab has written, and the directory if nothing else is in it."""
    for pattern in LAB_FILES:
        for path in directory.glob(pattern):
            path.unlink(missing_ok=True)
    with contextlib.suppress(OSError):
        directory.rmdir()
