"""`badgerseam lab up` and `demo`: run a site here, with its controllers in child processes."""

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
"""Seconds between checks for new notes of the running lab, which are printed."""
LAB_FILES = ("*.log", "history.jsonl", "options.json", "lab.lock")
"""Patterns of the files that a lab writes into its directory."""


def write_options_file(directory: Path, sections: dict[str, Any] | None = None) -> Path:
    """Writes the options file of a lab's controllers and returns its path.

    The features that a lab demonstrates are enabled by default; `sections` are an experiment's
    options, which take precedence.
    """
    path = directory / "options.json"
    defaults: dict[str, Any] = {"explain": {}, "batch": {}, "accounting": {}, "rollout": {}}
    path.write_text(json.dumps(defaults | (sections or {})) + "\n")
    return path


async def run_site(options: argparse.Namespace) -> int:
    """Runs a site until a signal; the exit code tells whether a rule was violated."""
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
    """Shows a job from start to end on a separate site and returns the exit code."""
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
    """Returns an event that SIGINT and SIGTERM set instead of ending the process."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


async def _start(lab: Lab, directory: Path) -> None:
    try:
        await lab.start()
    except BaseException:
        # Without a start, the files in the directory belong to another lab, which holds the lock.
        if lab.has_started:
            _remove_lab_files(directory)
        raise


def _publish_control_endpoint(control: ControlEndpoint, directory: Path) -> None:
    """Listens for the commands of `badgerseam lab`, and writes the address into `lab.json`."""
    port = free_ports(1)[0]
    control.listen(port)
    running_lab = read_running_lab(directory) | {"control": f"127.0.0.1:{port}"}
    (directory / "lab.json").write_text(json.dumps(running_lab))


def _print_addresses(lab: Lab, directory: Path) -> None:
    print(f"users      127.0.0.1:{lab.load_balancer_port}   (--node of the commands)")
    for node, address in lab.addresses.items():
        print(f"{node:<10} {address}   log {lab.controllers[node].log_path}")
    print(f"state service, cloud and workers are simulated; files in {directory}")


async def _run_until_stopped(lab: Lab, stop: asyncio.Event, load_factor: float | None) -> None:
    """Waits until the lab is ready, then prints its notes; returns as soon as `stop` is set."""
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
    """Removes the files that a lab has written, and the directory if it is empty then."""
    for pattern in LAB_FILES:
        for path in directory.glob(pattern):
            path.unlink(missing_ok=True)
    with contextlib.suppress(OSError):
        directory.rmdir()
