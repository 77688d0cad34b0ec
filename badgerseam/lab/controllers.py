"""Real controller processes: started, watched, started again, and ended with the lab."""

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
"""How long after its end a controller is started again, as on the users' platform."""
SHORT_S = 5.0
MAX_SHORT = 3
"""A controller that ends so often, each time shortly after its start, is not started again."""
END_S = 3.0
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None) if sys.platform == "linux" else None


def _die_with_parent() -> None:
    # A lab that is killed outright must leave no controller behind.
    if _libc is not None:
        _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ControllerProcess:
    """One controller: wanted or not, whatever its process does meanwhile."""

    def __init__(
        self,
        node: str,
        settings: Path,
        tree: Checkout,
        log_path: Path,
        clock: Clock,
        note: Callable[[str], None],
    ) -> None:
        self.node = node
        self._settings = settings
        self.checkout = tree
        """What it runs from when it is started the next time."""
        self.log_path = log_path
        self._clock = clock
        self._note = note
        self._process: subprocess.Popen[bytes] | None = None
        self._task: asyncio.Task[None] | None = None
        self._started_at = 0.0
        self._short_lives = 0
        self.starts = 0
        self.crashes = 0
        """Ends that nobody asked for."""
        self._expected = False
        self._back_s = BACK_S
        self.state = "stopped"

    @property
    def pid(self) -> int | None:
        return None if self._process is None else self._process.pid

    def start(self) -> None:
        """Have it run from now on."""
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
            lived = self._clock.now() - self._started_at
            if not self._expected:
                self.crashes += 1
                self._note(f"{self.node} ended by itself with code {code}; see {self.log_path}")
                self._short_lives = self._short_lives + 1 if lived < SHORT_S else 0
                if self._short_lives >= MAX_SHORT:
                    self.state = "given up"
                    self._note(f"{self.node} keeps ending at its start: not started again")
                    return
            self._expected = False
            back_s, self._back_s = self._back_s, BACK_S
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
        """End it without a warning; it comes back by itself after so many seconds. False if it is
        not running."""
        self._expected = True
        if self._signal(signal.SIGKILL):
            self._back_s = back_s
            return True
        self._expected = False
        return False

    def replace(self, tree: Checkout, back_s: float = BACK_S) -> bool:
        """End it, and have it come back from other sources; one that was given up as well."""
        self.checkout = tree
        self._short_lives = 0
        ended = self.kill(back_s)
        self.start()
        return ended

    def hang(self) -> bool:
        """Stop it in its tracks; its connections stay open."""
        if self._signal(signal.SIGSTOP):
            self.state = "hung"
            return True
        return False

    def resume(self) -> bool:
        """Let a hung one go on."""
        if self._signal(signal.SIGCONT):
            self.state = "running"
            return True
        return False

    async def stop(self) -> None:
        """End it for good."""
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
        until = self._clock.now() + END_S
        while process.poll() is None and self._clock.now() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        process.wait()
