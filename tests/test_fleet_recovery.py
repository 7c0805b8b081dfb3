"""Recovery on real processes: who can't hear discovery, or whose asker dies, has the list from fellows."""

from typing import Any

from larkcrank.fleet.asking import turn_of
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

FLEET: dict[str, Any] = {
    "name": "t",
    "listen": "{own}",
    "public": "{public}",
    "seeds": "{seed0},{seed1},{seed2}",
    "recovery": {"same_places": True},
}


def played(processes: int, seconds: float, **more: Any) -> bench.RunOutcome:
    one = Scenario(
        name="recovery",
        seconds=seconds,
        fleet=FleetSettings(
            processes=processes,
            datagrams=True,
            config={"fleet": FLEET},
            settings={"bounds": {"peers": True}},
        ),
        endpoints=EndpointSettings(count=4, service_ms=5.0, shared=True),
        load=LoadSettings(rate=5.0, classes={"look": 1.0, "order": 1.0}),
        slack_ms=15000.0,
        **more,
    )
    found = bench.run_scenario(one, lambda text: None)
    assert all(settled.took < 60.0 for settled in found.settled), found.settled
    assert found.breaches == []
    return found


def test_the_deaf_go_by_what_their_fellows_hear() -> None:
    """Half hear nothing of discovery while three of four servers are replaced by others elsewhere."""
    deaf = ["sidecars:2-3"]
    played(
        4,
        16.0,
        faults=[
            Fault(at=6.0, what="cut", between=[deaf, ["discovery"]]),
            Fault(at=7.0, what="replace", who=["endpoints:1-3"], address="new"),
        ],
        settles=[
            SettleCheck(at=0.0, call="VIEW", answer="200 live 4 ", alike=5),
            SettleCheck(at=7.0, counter="recovery.lists_taken", who=deaf),
        ],
    )


def test_another_asks_when_the_one_whose_turn_it_is_dies() -> None:
    """Everybody starts with nothing; the first to ask is killed as discovery comes back."""
    first = min(range(4), key=lambda index: turn_of(f"n{index}"))
    others = [f"sidecars:{index}" for index in range(4) if index != first]
    found = played(
        4,
        20.0,
        discovery=DiscoverySettings(known=False),
        faults=[
            Fault(at=2.0, what="kill", who=["discovery"]),
            Fault(at=3.0, what="kill", who=["sidecars"], last=1.0, keeps="nothing"),
            Fault(at=8.0, what="kill", who=[f"sidecars:{first}"]),
            Fault(at=8.0, what="restart", who=["discovery"]),
        ],
        settles=[SettleCheck(at=8.0, counter="served", least=3, who=others)],
    )
    assert len(found.ledger.list_calls) < 40  # four by themselves, with waits of their own, make as many


def test_without_recovery_nothing_of_it_is_counted() -> None:
    one = Scenario(
        name="plain",
        seconds=2.0,
        fleet=FleetSettings(processes=1),
        endpoints=EndpointSettings(count=1, service_ms=5.0),
        load=LoadSettings(rate=5.0, classes={"look": 1.0}),
        slack_ms=15000.0,
    )
    found = bench.run_scenario(one, lambda text: None)
    assert not [name for name in found.counters if name.startswith(("fleet.", "recovery."))]
