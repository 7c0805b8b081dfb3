"""Chooses the servers that an instance uses: all, or a subset if there are many instances and servers.

The servers are ordered in a circle, and a subset consists of consecutive ones, from a position that depends
on the instance. Every server is then in about the same number of subsets, and a change of the list only
shifts where the subsets begin and end.
"""

import zlib
from dataclasses import dataclass

from larkcrank.core.interface import Effect, Group, Settings
from larkcrank.core.state import Server

# If there are many instances, each uses only a subset of the servers, of about this size.
SUBSET_SERVERS = 4
UNSIZED_SUBSET_SERVERS = 64  # if the list gives no sizes; a subset of four might have only small servers
# Minimum number of instances that use each server: the first value in small fleets, rising to the
# second in large ones.
MIN_INSTANCES_PER_SERVER = (4, 6)
MIN_SUBSET_SERVERS = 4  # minimum number of ready servers in a subset


@dataclass(slots=True, frozen=True)
class Subset:
    """The servers that one instance uses."""

    servers: list[Server]
    instances_per_server: float  # average number of instances that use each of them


def choose_subset(ready: list[Server], settings: Settings, now: float) -> Subset:
    """Choose among the ready servers. `now` is in ms."""
    instance_count, server_count = max(settings.instances, 1), len(ready)
    max_instances = max(instance_count, settings.most)
    instances_per_server = _target_instances_per_server(settings, server_count)
    if instances_per_server >= instance_count or server_count <= MIN_SUBSET_SERVERS:
        return Subset(ready, float(max_instances))
    circle = _in_circle(ready, settings)
    subset_size = max(round(instances_per_server * server_count / instance_count), MIN_SUBSET_SERVERS)
    first_index = settings.ordinal * server_count // instance_count
    subset, warm_count = list[Server](), 0
    # Cold servers do not count towards the size of the subset, because they take hardly any load.
    while warm_count < subset_size and len(subset) < server_count:
        subset.append(circle[(first_index + len(subset)) % server_count])
        started_at = subset[-1].endpoint.started_at
        warm_count += not started_at or now - started_at >= settings.warm_after_ms
    return Subset(subset, max(max_instances * len(subset) / server_count, 1.0))


def _target_instances_per_server(settings: Settings, server_count: int) -> int:
    """Return how many instances are to use each server."""
    instance_count = max(settings.instances, 1)
    least, most = MIN_INSTANCES_PER_SERVER
    min_instances_per_server = min(max(instance_count // most, least), most)
    target_servers = SUBSET_SERVERS if settings.listed_sizes else UNSIZED_SUBSET_SERVERS
    return max(round(target_servers / max(server_count, 1) * instance_count), min_instances_per_server)


def _in_circle(ready: list[Server], settings: Settings) -> list[Server]:
    """Return the servers in an order that is the same at every instance, where needed cell by cell."""
    keep_cells_together = any(
        request_class.effect is Effect.KEYED and request_class.group is Group.CELL
        for request_class in settings.classes
    )
    if not keep_cells_together:
        return sorted(ready, key=lambda server: server.mark)
    return sorted(ready, key=lambda server: (zlib.crc32(b"%d" % server.endpoint.cell), server.mark))
