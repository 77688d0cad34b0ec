"""Controller processes of a lab, which are supervised, restarted, and stopped with the lab."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import logging
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from badgerseam.clock import Clock
from badgerseam.lab.checkouts import Checkout

log = logging.getLogger("badgerseam.lab")

BACK_S = 3.0
"""Seconds from the end of a controller to its restart, as on the production platform."""
SHORT_RUN_S = 5.0
"""A controller that exits sooner than this after its start has failed to start."""
MAX_SHORT_RUNS = 3
"""A controller that failed to start this many times in a row is not restarted."""
TERMINATE_TIMEOUT_S = 3.0
"""Seconds from SIGTERM to SIGKILL when the lab stops."""
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None) if sys.platform == "linux" else None


def _die_with_parent() -> None:
    # The kernel kills the controller when the lab's process ends, even if that gets SIGKILL.
    if _libc is not None:
        _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ControllerProcess:
    """Supervises the process of one controller, and restarts it when it exits."""

    def __init__(
        self,
        node: str,
        settings: Path,
        checkout: Checkout,
        log_path: Path,
        clock: Clock,
        add_note: Callable[[str], None],
    ) -> None:
        self.node = node
        self._settings = settings
        self.checkout = checkout
        """The source tree that the next start uses."""
        self.log_path = log_path
        self._clock = clock
        self._add_note = add_note
        self._process: subprocess.Popen[bytes] | None = None
        self._task: asyncio.Task[None] | None = None
        self._started_at = 0.0
        self._short_runs = 0
        self.starts = 0
        self.crashes = 0
        """Number of exits that no fault or stop caused."""
        self._expects_exit = False
        self._restart_delay_s = BACK_S
        self.state = "stopped"

    @property
    def pid(self) -> int | None:
        """The number of the process; None if none was started."""
        return None if self._process is None else self._process.pid

    def start(self) -> None:
        """Starts to run and supervise the process."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._supervise())

    async def _supervise(self) -> None:
        while True:
            self._launch()
            assert self._process is not None
            while self._process.poll() is None:
                await asyncio.sleep(0.05)
            code = self._process.returncode
            self._process = None
            self.state = "down"
            run_time_s = self._clock.now() - self._started_at
            if not self._expects_exit:
                self.crashes += 1
                self._add_note(f"{self.node} ended by itself with code {code}; see {self.log_path}")
                self._short_runs = self._short_runs + 1 if run_time_s < SHORT_RUN_S else 0
                if self._short_runs >= MAX_SHORT_RUNS:
                    self.state = "given up"
                    self._add_note(f"{self.node} keeps ending at its start: not started again")
                    return
            self._expects_exit = False
            back_s, self._restart_delay_s = self._restart_delay_s, BACK_S
            await asyncio.sleep(back_s)

    def _launch(self) -> None:
        arguments = [*self.checkout.command, str(self._settings)]
        paths = [str(self.checkout.root), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, paths))}
        environment.setdefault("LOG_LEVEL", "info")
        with self.log_path.open("ab") as output:
            self._process = subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=self.checkout.root,
                process_group=0,
                preexec_fn=_die_with_parent,
            )
        self.starts += 1
        self._started_at = self._clock.now()
        self.state = "running"

    def _signal(self, number: int) -> bool:
        if self._process is None or self._process.poll() is not None:
            return False
        self._process.send_signal(number)
        return True

    def kill(self, back_s: float = BACK_S) -> bool:
        """Kills the process with SIGKILL; it is restarted after `back_s` seconds.

        Returns False if it is not running.
        """
        self._expects_exit = True
        if self._signal(signal.SIGKILL):
            self._restart_delay_s = back_s
            return True
        self._expects_exit = False
        return False

    def replace(self, checkout: Checkout, back_s: float = BACK_S) -> bool:
        """Kills the process and restarts it from another source tree, also in state `given up`."""
        self.checkout = checkout
        self._short_runs = 0
        has_ended = self.kill(back_s)
        self.start()
        return has_ended

    def hang(self) -> bool:
        """Suspends the process with SIGSTOP; its connections stay open."""
        if self._signal(signal.SIGSTOP):
            self.state = "hung"
            return True
        return False

    def resume(self) -> bool:
        """Resumes a suspended process."""
        if self._signal(signal.SIGCONT):
            self.state = "running"
            return True
        return False

    async def stop(self) -> None:
        """Ends the process and its supervision: SIGTERM, then SIGKILL after a timeout."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        process, self._process = self._process, None
        self.state = "stopped"
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        until = self._clock.now() + TERMINATE_TIMEOUT_S
        while process.poll() is None and self._clock.now() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        process.wait()
