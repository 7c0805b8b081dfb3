"""Adapter between the simulator's binary protocol and the balancer. It makes no routing decisions itself."""
