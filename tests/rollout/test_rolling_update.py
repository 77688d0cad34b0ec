"""A rolling update continues only while the site is healthy, and stops with a reason otherwise."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
import pytest

from badgerseam.rollout import rolling_update
from badgerseam.rollout.rolling_update import RollingUpdate, RolloutStoppedError, StepTimeouts
from badgerseam.wire.rollout import (
    ControllerView,
    MigrationProgress,
    OwnView,
    RefreshProgress,
    RolloutView,
)
from tests.support.scripted_peers import FakeClock

NODES = ["n-0", "n-1", "n-2"]
TIMEOUTS = StepTimeouts(20.0, 20.0, 1.0)


@dataclass
class ScriptedSite:
    """A simulated site whose controllers are healthy except for the faults that a test sets."""

    clock: FakeClock
    started: dict[str, float] = field(default_factory=lambda: dict.fromkeys(NODES, 0.0))
    down_until: dict[str, float] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    replaced: list[str] = field(default_factory=list)
    restart_s: float = 3.0
    drain_s: float = 6.0
    without_heartbeats: str | None = None
    refusal: str | None = None
    other_restarting: str | None = None
    resumes: bool = False

    def is_down(self, node: str) -> bool:
        return self.clock.now() < self.down_until.get(node, -1.0)

    def state_of(self, node: str) -> str:
        """Returns a controller's state as seen by its peers."""
        if self.is_down(node):
            return "missing"
        return "aside" if node in self.draining_since else "acting"

    async def view(self, node: str) -> RolloutView | None:
        now = self.clock.now()
        if self.is_down(node):
            return None
        acting = [name for name in NODES if self.state_of(name) == "acting"]
        state = "acting"
        may_end = False
        if self.resumes and now - self.draining_since.get(node, now) > 2.0:
            del self.draining_since[node]
        if node in self.draining_since:
            may_end = now - self.draining_since[node] >= self.drain_s
            state = "left" if may_end else "leaving"
        responsive = 0 if self.without_heartbeats == node else 100
        return RolloutView(
            1,
            "",
            [],
            None,
            None,
            [],
            [],
            acting[0],
            [
                ControllerView(
                    name,
                    self.state_of(name),
                    1,
                    2,
                    "",
                    [number] if name in acting else [],
                    name == acting[0],
                )
                for number, name in enumerate(NODES)
            ],
            OwnView(
                node,
                state,
                may_end,
                True,
                100,
                responsive,
                now - self.started[node],
                RefreshProgress(0, 0, 0),
                MigrationProgress(1, [], 0, 0, 0, 0, 0.0),
            ),
        )

    async def drain(self, node: str) -> str | None:
        if self.refusal is None:
            self.draining_since[node] = self.clock.now()
        return self.refusal

    async def replace(self, node: str) -> None:
        del self.draining_since[node]
        self.replaced.append(node)
        self.down_until[node] = self.clock.now() + self.restart_s
        self.started[node] = self.down_until[node]
        if self.other_restarting is not None:
            self.started[self.other_restarting] = self.clock.now() + 0.1
            self.other_restarting = None


def run_update(site: ScriptedSite, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Runs a rolling update with the fake clock; returns the lines that it reported."""
    reports: list[str] = []

    async def sleep(seconds: float) -> None:
        site.clock.time += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    asyncio.run(RollingUpdate(site, site.clock, reports.append, TIMEOUTS).run(NODES))
    return reports


@pytest.fixture
def site() -> ScriptedSite:
    return ScriptedSite(FakeClock())


def test_all_controllers_are_replaced_and_the_leader_last(
    site: ScriptedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    reports = run_update(site, monkeypatch)
    assert site.replaced == ["n-1", "n-2", "n-0"]
    assert reports[-1] == "all controllers are replaced"


@pytest.mark.parametrize(
    ("faults", "reason", "replaced"),
    [
        ({"restart_s": 1e9}, "n-1 is missing, as n-0 sees it", ["n-1"]),
        ({"without_heartbeats": "n-2"}, "n-2 receives heartbeats from 0 of its 100 machines", []),
        ({"refusal": "no other controller"}, "n-1 cannot leave: no other controller", []),
        ({"drain_s": 1e9}, "n-1 is not drained after 20 s", []),
        ({"resumes": True}, "n-1 acts again: its process was restarted", []),
        ({"other_restarting": "n-2"}, "n-2 was restarted unexpectedly", ["n-1"]),
    ],
    ids=["crash loop", "no heartbeats", "refused", "never drained", "resumes", "another ends"],
)
def test_the_update_stops_on_a_fault_and_reports_the_reason(
    site: ScriptedSite,
    monkeypatch: pytest.MonkeyPatch,
    faults: dict[str, object],
    reason: str,
    replaced: list[str],
) -> None:
    for name, value in faults.items():
        setattr(site, name, value)
    with pytest.raises(RolloutStoppedError, match=reason):
        run_update(site, monkeypatch)
    assert site.replaced == replaced, "no other controller is replaced"


def test_the_update_does_not_start_if_a_configured_controller_is_not_listed(
    site: ScriptedSite,
) -> None:
    with pytest.raises(RolloutStoppedError, match="n-2: configured, but not among the nodes"):
        asyncio.run(rolling_update.update_order(site, NODES[:2]))


def test_an_encoded_view_decodes_to_the_same_view(site: ScriptedSite) -> None:
    view = asyncio.run(site.view("n-0"))
    assert msgspec.json.decode(msgspec.json.encode(view), type=RolloutView) == view
