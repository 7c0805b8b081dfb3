"""Tiers on loopback: one way down, what is served when, and what a bad answer does."""

import asyncio
import json

from tests.bed import run, until
from tests.tiers_bed import Discovery, Receiver, Running, line, running, until_told, whole


def test_a_change_goes_from_discovery_by_way_of_three_tiers_to_a_door() -> None:
    async def work() -> None:
        source = await Discovery("s-1", "s-2").start()
        region = Running(
            name="region",
            own="127.0.0.1:0",
            sources=[{"discovery": source.place, "service": "svc-1"}],
            above=["127.0.0.1:1"],
        )
        async with running(region):
            origin = Running(name="origin", sources=[{"discovery": region.own}])
            async with running(origin):
                await region.stop()
                region.told["above"] = [origin.listen]
                region.told["own"] = origin.told["sources"][0]["discovery"]
                await region.start()
                zone = Running(
                    name="zone",
                    above=[region.listen],
                    doors=[{"listen": "127.0.0.1:0", "services": ["svc-1"]}],
                )
                async with running(zone):
                    sidecar = Receiver(zone.door())
                    await whole(sidecar)
                    assert sidecar.states == {"s-1": "Ready", "s-2": "Ready"}
                    source.tell(line("s-1", "Terminating"))
                    await until_told(sidecar, lambda: sidecar.states["s-1"] == "Terminating")
                    source.tell(line("s-1", "Gone"), line("s-3"))
                    await until_told(sidecar, lambda: sidecar.states == {"s-2": "Ready", "s-3": "Ready"})
                    upper = Receiver(origin.listen)
                    await whole(upper)
                    await until_told(upper, lambda: "s-3" in upper.lines)
                    told = {one["instanceId"]: one for one in upper.lines.values()}
                    assert told["s-3"]["owner"] == "region" and told["s-3"]["service"] == "svc-1"
                    sidecar.close()
                    upper.close()
        source.stop()

    run(work())
