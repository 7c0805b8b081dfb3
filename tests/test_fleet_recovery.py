"""Recovery with real processes: members that cannot reach discovery get the server list from peers."""

from typing import Any

from larkcrank.fleet.asking import turn_order_key
from larkcrank.lab import bench
from larkcrank.lab.scenario import (
    DiscoverySettings,
    EndpointSettings,
    Fault,
    FleetSettings,
    LoadSettings,
    Scenario,
    SettleCheck,
)

FLEET_CONFIG: dict[str, Any] = {
    "name": "t",
    "listen": "{own}",
    "public": "{public}",
    "seeds": "{seed0},{seed1},{seed2}",
    "recovery": {"same_places": True},
}


def play_fleet(processes: int, seconds: float, **more: Any) -> bench.RunOutcome:
    scenario = Scenario(
        name="recovery",
        seconds=seconds,
        fleet=FleetSettings(
            processes=processes,
            datagrams=True,
            config={"fleet": FLEET_CONFIG},
            settings={"bounds": {"peers": True}},
        ),
        endpoints=EndpointSettings(count=4, service_ms=5.0, shared=True),
        load=LoadSettings(rate=5.0, classes={"look": 1.0, "order": 1.0}),
        slack_ms=15000.0,
        **more,
    )
    played = bench.run_scenario(scenario, lambda text: None)
    assert all(settled.took < 60.0 for settled in played.settled), played.settled
    assert played.breaches == []
    return played


def test_members_cut_off_from_discovery_use_the_list_of_their_peers() -> None:
    """Half of the members cannot reach discovery while three of four servers move to other addresses."""
    cut_off = ["sidecars:2-3"]
    play_fleet(
        4,
        16.0,
        faults=[
            Fault(at=6.0, what="cut", between=[cut_off, ["discovery"]]),
            Fault(at=7.0, what="replace", who=["endpoints:1-3"], address="new"),
        ],
        settles=[
            SettleCheck(at=0.0, call="VIEW", answer="200 live 4 ", alike=5),
            SettleCheck(at=7.0, counter="recovery.lists_taken", who=cut_off),
        ],
    )


def test_another_member_calls_discovery_if_the_first_one_in_turn_dies() -> None:
    """All members start without a list, and the first one to call is killed when discovery comes back."""
    first_caller = min(range(4), key=lambda index: turn_order_key(f"n{index}"))
    others = [f"sidecars:{index}" for index in range(4) if index != first_caller]
    played = play_fleet(
        4,
        20.0,
        discovery=DiscoverySettings(known=False),
        faults=[
            Fault(at=2.0, what="kill", who=["discovery"]),
            Fault(at=3.0, what="kill", who=["sidecars"], last=1.0, keeps="nothing"),
            Fault(at=8.0, what="kill", who=[f"sidecars:{first_caller}"]),
            Fault(at=8.0, what="restart", who=["discovery"]),
        ],
        settles=[SettleCheck(at=8.0, counter="served", least=3, who=others)],
    )
    # Four members that call independently, each with its own backoff, make about as many calls.
    assert len(played.ledger.list_calls) < 40


def test_without_a_fleet_there_are_no_fleet_or_recovery_counters() -> None:
    scenario = Scenario(
        name="plain",
        seconds=2.0,
        fleet=FleetSettings(processes=1),
        endpoints=EndpointSettings(count=1, service_ms=5.0),
        load=LoadSettings(rate=5.0, classes={"look": 1.0}),
        slack_ms=15000.0,
    )
    played = bench.run_scenario(scenario, lambda text: None)
    assert not [name for name in played.counters if name.startswith(("fleet.", "recovery."))]
