"""Sites whose answered direct commands are delivered again late, among other faults."""

from __future__ import annotations

import pytest

from tests.support.command_copies_soak import soak
from tests.support.fault_interactions import JOB, run_job
from tests.support.simulated_site import SimulatedSite, run_on_site


def test_copies_of_answered_commands_are_delivered_again_and_are_no_failure() -> None:
    async def steps(site: SimulatedSite) -> None:
        site.inject_fault("command-copies", factor=1.0)
        await run_job(site)
        await site.until(lambda: site.late_commands.copies_executed >= 2, 400.0)
        assert len(site.running_tasks(JOB)) == 4
        site.fault_injector.revert_all()
        await site.until(lambda: not site.late_commands.copies_in_flight, 500.0)
        assert not any(event.kind == "trouble" for event in site.history.events)

    run_on_site(steps)


# Guards against a second start by a copy of a launch, whatever else fails.
@pytest.mark.parametrize("seed", range(1, 13))
def test_sites_get_through_copies_of_commands_among_other_faults(seed: int) -> None:
    site = soak(seed)
    assert site.late_commands.copies_executed + site.late_commands.copies_refused > 0
