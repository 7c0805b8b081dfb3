"""Fleet of sidecars: membership, ordinals and shared server lists. It is optional and off by default.

Only `speaker` (datagrams) and `snapshot` (files) do I/O.
"""
