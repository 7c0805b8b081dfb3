"""Tests of endpoints that are replaced at the same host and port while a sidecar's process is replaced."""

import asyncio
from dataclasses import replace

import pytest

from tests.takeover_bed import Case, OldEntry, Processes, play

UPGRADES = [Processes.OLD_TOLD, Processes.NEW_TOLD, Processes.NEW_ALONE]


@pytest.mark.parametrize("processes", UPGRADES)
@pytest.mark.parametrize("only_draining_binds", [True, False])
def test_a_successor_does_not_give_a_host_and_port_back_to_the_old_id(
    only_draining_binds: bool, processes: Processes
) -> None:
    """Guards against late sends after a whole list that names both ids, of which no start is told."""
    case = Case(True, OldEntry.STILL_READY, processes, is_start_known=False, is_whole_list_told=True)
    assert asyncio.run(play(replace(case, only_draining_binds=only_draining_binds))) == []


def test_both_processes_of_an_upgrade_send_nothing_under_the_id_of_a_gone_endpoint() -> None:
    """Guards against late sends of either process, whichever one is told."""
    for processes in (Processes.OLD_TOLD, Processes.NEW_TOLD):
        assert asyncio.run(play(Case(True, OldEntry.GONE, processes))) == []
