"""Cancellations, stalled watches, refusals and outages in any order: every task of a cancelled job
is off the machines in time."""

from __future__ import annotations

import asyncio

from hypothesis import Phase, example, given
from hypothesis import settings as examples
from hypothesis import strategies as st

from badgerseam.lab.services import WATCH
from tests.cluster.test_cancellation_bound import CANCEL_S, JOB, running
from tests.support.simulated_site import SimulatedSite, with_simulated_site

Step = tuple[str, int, float, float]
"""The event, the controller that it affects (0: the owner), its duration in seconds, and the
seconds until the next event."""
steps = st.lists(
    st.tuples(
        st.sampled_from(["refused", "watch", "state-down", "late", "cancel"]),
        st.integers(0, 2),
        st.sampled_from([1.0, 4.0, 9.0, 46.0]),
        st.sampled_from([0.1, 0.6, 1.5, 5.0, 20.0]),
    ),
    min_size=4,
    max_size=7,
)


@given(steps, st.integers(1, 1000))
@example([("watch", 0, 46.0, 1.5), ("cancel", 1, 1.0, 0.6), ("state-down", 0, 9.0, 20.0)], 1)
@example([("refused", 0, 9.0, 0.6), ("cancel", 1, 1.0, 0.6), ("state-down", 0, 46.0, 50.0)], 2)
@examples(max_examples=12, phases=[Phase.explicit, Phase.generate])
@with_simulated_site
async def test_every_task_is_gone_in_time(
    site: SimulatedSite, order: list[Step], seed: int
) -> None:
    owner = await running(site)
    names = [owner, *(name for name in site.nodes if name != owner)]
    for action, node, for_s, pause_s in order:
        name = names[node]
        if action == "cancel":
            site.at_once(site.cancel(JOB, via=name))
        elif action == "watch":
            site.links.break_(name, WATCH, "cut")
            asyncio.get_running_loop().call_later(for_s, site.links.heal, name, WATCH)
        elif action == "state-down":
            site.inject_fault(action, for_s=for_s)
        else:
            site.inject_fault(action, target=name, to="state", for_s=for_s)
        await site.advance(pause_s)
    await site.cancel(JOB, via=names[1])
    await site.advance(CANCEL_S + 5.0)
    assert not site.running_tasks(JOB)
