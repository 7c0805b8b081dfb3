"""Tests of the decision which server owns a host and port."""

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.core.host_port_owners import HostPortOwners
from larkcrank.core.interface import Address, Endpoint, HostPort, ResolvedList, State

HERE, THERE = ("127.0.0.1", 1), ("127.0.0.1", 2)
OLD, NEW, THIRD = b"old", b"new", b"third"


@dataclass(frozen=True)
class Entry:
    """An entry of a list."""

    address: Address
    state: State = State.READY
    started_at: float = 0.0
    host_port: HostPort = HERE


class Usable:
    """The servers that may be used, as whoever applies the resolved lists knows them."""

    def __init__(self, only_draining_binds: bool = False) -> None:
        self.owners = HostPortOwners(only_draining_binds)
        self.host_ports: dict[Address, HostPort] = {}
        self._only_draining_binds = only_draining_binds

    def tell(self, *entries: Entry, is_complete: bool = False) -> ResolvedList:
        resolved = self.owners.resolve(
            [Endpoint(entry.address, entry.state, started_at=entry.started_at) for entry in entries],
            {entry.address: entry.host_port for entry in entries},
            is_complete,
        )
        listed = {endpoint.address for endpoint in resolved.endpoints}
        for address in list(self.host_ports):
            is_left_out = is_complete and address not in listed and not self._only_draining_binds
            if address in resolved.withheld or is_left_out:
                del self.host_ports[address]
        for endpoint in resolved.endpoints:
            if endpoint.state is State.READY:
                self.host_ports[endpoint.address] = resolved.host_ports[endpoint.address]
            elif endpoint.state is State.DRAINING or not self._only_draining_binds:
                self.host_ports.pop(endpoint.address, None)
        return resolved

    @property
    def addresses(self) -> set[Address]:
        return set(self.host_ports)


@pytest.mark.parametrize("started_at", [0.0, 5.0])
def test_the_server_that_was_told_last_owns_its_host_and_port(started_at: float) -> None:
    usable = Usable()
    usable.tell(Entry(OLD), is_complete=True)
    resolved = usable.tell(Entry(NEW, started_at=started_at))
    assert usable.addresses == {NEW} and resolved.withheld == {OLD}
    (withheld,) = resolved.newly_withheld
    assert (withheld.address, withheld.host_port, withheld.other) == (OLD, HERE, NEW)
    assert usable.tell(Entry(OLD)).newly_withheld == ()  # told again, unchanged
    assert usable.addresses == {NEW}


def test_of_two_servers_in_one_list_the_one_that_started_last_owns_the_host_and_port() -> None:
    usable = Usable()
    usable.tell(Entry(NEW, started_at=9.0), Entry(OLD, started_at=3.0), is_complete=True)
    assert usable.addresses == {NEW}
    usable.tell(Entry(OLD, State.DRAINING, 3.0))
    assert usable.addresses == {NEW}
    usable.tell(Entry(NEW, State.DRAINING, 9.0))
    usable.tell(Entry(OLD, State.READY, 3.0))
    assert usable.addresses == set()


@pytest.mark.parametrize("draining", [OLD, NEW])
def test_if_nothing_tells_two_servers_apart_a_drain_of_either_stops_both(draining: Address) -> None:
    usable = Usable()
    usable.tell(Entry(OLD), Entry(NEW), is_complete=True)
    assert len(usable.addresses) == 1
    usable.tell(Entry(draining, State.DRAINING))
    assert usable.addresses == set()
    usable.tell(Entry(draining, State.GONE))
    assert usable.addresses == {OLD, NEW} - {draining}


@pytest.mark.parametrize("draining", [OLD, NEW])
def test_if_start_times_and_lists_contradict_each_other_a_drain_of_either_stops_both(
    draining: Address,
) -> None:
    """The clock of the new server's machine was stepped back, or its entry comes late."""
    usable = Usable()
    usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    usable.tell(Entry(NEW, started_at=3.0))
    assert usable.addresses == {OLD}
    usable.tell(Entry(draining, State.DRAINING, 9.0 if draining == OLD else 3.0))
    assert usable.addresses == set()


@pytest.mark.parametrize("is_drained", [True, False])
@pytest.mark.parametrize("is_left_out", [True, False])
@pytest.mark.parametrize("only_draining_binds", [True, False])
def test_a_server_told_earlier_does_not_come_back_when_a_later_one_leaves(
    only_draining_binds: bool, is_left_out: bool, is_drained: bool
) -> None:
    """Guards against requests to a process that has left the list and still listens. Start times mislead."""
    usable = Usable(only_draining_binds)
    usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    usable.tell(Entry(NEW, started_at=3.0))
    if is_drained:
        usable.tell(Entry(NEW, State.DRAINING, 3.0))
    if is_left_out:
        usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    else:
        usable.tell(Entry(NEW, State.GONE, 3.0))
    assert usable.addresses == set()
    usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    assert OLD not in usable.addresses


@pytest.mark.parametrize("started_at", [3.0, 5.0, 9.0])
def test_a_server_that_is_told_only_as_gone_had_the_host_and_port_if_it_started_later(
    started_at: float,
) -> None:
    """Guards against requests to a process that came and left between two lists, and still listens."""
    usable = Usable()
    usable.tell(Entry(OLD, started_at=5.0), is_complete=True)
    usable.tell(Entry(NEW, State.GONE, started_at))
    assert usable.addresses == (set() if started_at > 5.0 else {OLD})


def test_a_server_told_later_comes_back_when_an_earlier_one_leaves() -> None:
    usable = Usable()
    usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    usable.tell(Entry(NEW, started_at=3.0))
    usable.tell(Entry(OLD, State.DRAINING, 9.0))
    assert usable.addresses == set()
    usable.tell(Entry(OLD, State.GONE, 9.0))
    assert usable.addresses == {NEW}


def test_a_listed_server_owns_the_host_and_port_of_one_that_is_gone_whatever_their_start_times() -> None:
    usable = Usable(only_draining_binds=True)
    usable.tell(Entry(OLD, started_at=9.0), is_complete=True)
    usable.tell(Entry(OLD, State.GONE, 9.0))
    assert usable.addresses == {OLD}
    usable.tell(Entry(NEW, started_at=3.0))
    assert usable.addresses == {NEW}


def test_servers_that_change_places_in_two_lists_are_both_used() -> None:
    usable = Usable()
    usable.tell(Entry(OLD), Entry(NEW, started_at=5.0, host_port=THERE), is_complete=True)
    usable.tell(Entry(OLD, host_port=THERE))
    usable.tell(Entry(NEW, started_at=5.0, host_port=HERE))
    assert usable.host_ports == {OLD: THERE, NEW: HERE}


@pytest.mark.parametrize("only_draining_binds", [True, False])
def test_an_id_listed_anew_after_it_was_gone_is_used_again(only_draining_binds: bool) -> None:
    usable = Usable(only_draining_binds)
    usable.tell(Entry(OLD), is_complete=True)
    usable.tell(Entry(OLD, State.GONE), Entry(NEW))
    usable.tell(Entry(NEW, State.GONE))
    usable.tell(Entry(OLD))
    assert usable.addresses == {OLD}


@pytest.mark.parametrize("has_list_before", [True, False])
def test_the_next_process_knows_the_order_in_which_servers_were_told(has_list_before: bool) -> None:
    """Guards against a whole list after an upgrade that gives the host and port back to the old id."""
    first, second = Usable(), Usable()
    first.tell(Entry(OLD), is_complete=True)
    first.tell(Entry(NEW))
    if has_list_before:
        second.tell(Entry(NEW), Entry(OLD), is_complete=True)
    second.owners.restore_servers(first.owners.export_servers())
    second.tell(Entry(NEW), Entry(OLD), is_complete=True)
    assert second.addresses == {NEW}
    second.tell(Entry(OLD, State.DRAINING))
    assert second.addresses == {NEW}
    second.tell(Entry(OLD), Entry(NEW), is_complete=True)
    second.tell(Entry(NEW, State.DRAINING))
    assert second.addresses == set()


def test_what_left_the_list_is_forgotten() -> None:
    for only_draining_binds in (True, False):
        usable = Usable(only_draining_binds)
        for number in range(200):
            usable.tell(Entry(b"%d" % number), is_complete=bool(number % 2))
            usable.tell(Entry(b"%d" % number, State.GONE))
        assert len(usable.owners.export_servers()) <= 1


ENTRIES = st.builds(
    Entry,
    st.sampled_from([OLD, NEW, THIRD]),
    st.sampled_from(list(State)),
    st.sampled_from([0.0, 1.0, 2.0]),
    st.sampled_from([HERE, THERE]),
)
LIST = st.lists(ENTRIES, max_size=3, unique_by=lambda entry: entry.address)
LISTS = st.lists(st.tuples(LIST, st.booleans()))


@given(LISTS, st.booleans())
def test_no_two_usable_servers_share_a_host_and_port(
    lists: list[tuple[list[Entry], bool]], only_draining_binds: bool
) -> None:
    usable = Usable(only_draining_binds)
    for entries, is_complete in lists:
        usable.tell(*entries, is_complete=is_complete)
        assert len(set(usable.host_ports.values())) == len(usable.host_ports)


@given(LISTS, st.booleans())
def test_nothing_is_used_where_a_new_server_drains(
    lists: list[tuple[list[Entry], bool]], only_draining_binds: bool
) -> None:
    """Whatever was told before, the newest server decides, until another one is told there."""
    usable = Usable(only_draining_binds)
    for entries, is_complete in lists:
        usable.tell(*entries, is_complete=is_complete)
    usable.tell(Entry(b"newest", started_at=3.0))
    usable.tell(Entry(b"newest", State.DRAINING, 3.0))
    assert HERE not in usable.host_ports.values()
    usable.tell(Entry(b"newest", State.GONE, 3.0))
    assert HERE not in usable.host_ports.values()
